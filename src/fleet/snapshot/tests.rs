//! Tests of `snapshot`.
use super::*;
use crate::fleet::member::tests::member;
use crate::journal::Folder;
use rstest::rstest;
use std::path::Path;

fn open(at: &Path, folder_bytes: u64) -> SnapshotStore {
    SnapshotStore::open(Box::new(Folder::open(at).expect("a folder")), folder_bytes)
}

fn members(count: u16) -> Vec<Member> {
    (1..=count).map(|n| member(n, 1)).collect()
}

fn agreed_names() -> BTreeSet<String> {
    ["n0", "n1"].map(String::from).into()
}

/// Reads a file in the format that had no agreed fleet.
#[test]
fn reads_the_previous_format() {
    let folder = tempfile::tempdir().expect("a folder");
    let known_members = vec![KnownMember { name: "n1".into(), address: member(1, 1).address, last_seen: 9 }];
    let body = postcard::to_stdvec(&(41u64, &known_members)).expect("bytes");
    let bytes = [&[PREVIOUS_FORMAT_VERSION][..], &crc32fast::hash(&body).to_le_bytes(), &body].concat();
    std::fs::write(folder.path().join(FILE_NAME), bytes).expect("written");
    let mut store = open(folder.path(), 3_000_000);
    assert_eq!((store.known_members(), store.agreed_fleet().len()), (&known_members[..], 0));
    assert_eq!(store.begin_incarnation(7), 42);
}

/// The expected bytes were written by the program of commit 19f93fd, so both versions can read each other's file.
#[test]
fn writes_the_same_bytes_as_the_previous_version() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path(), 3_000_000);
    store.begin_incarnation(7);
    store.record(&members(1), &agreed_names(), 9);
    let bytes = std::fs::read(folder.path().join(FILE_NAME)).expect("the file was written");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "02d736e0390701026e31007f000001e9070902026e30026e31");
}

#[test]
fn a_restart_keeps_the_agreed_fleet_and_a_raised_incarnation() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path(), 3_000_000);
    store.begin_incarnation(7);
    store.record(&members(1), &agreed_names(), 1);
    store.raise_incarnation(90);
    store.raise_incarnation(5);
    let mut store = open(folder.path(), 3_000_000);
    assert_eq!(store.agreed_fleet(), &agreed_names());
    assert_eq!(store.begin_incarnation(1), 91);
}

#[test]
fn incarnations_increase_when_the_clock_is_set_back_and_absent_members_are_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path(), 3_000_000);
    assert_eq!(store.begin_incarnation(5000), 5000);
    store.record(&members(3), &agreed_names(), 1_000_000);
    let mut store = open(folder.path(), 3_000_000);
    assert_eq!(store.begin_incarnation(10), 5001, "an earlier clock");
    assert_eq!(store.known_members().len(), 3);
    // One member is present and the clock is an hour behind: the other members are kept.
    store.record(&members(1), &agreed_names(), 1_000_000 - 3600);
    assert_eq!(open(folder.path(), 3_000_000).known_members().len(), 3);
    store.record(&members(1), &agreed_names(), 1_000_000 + MAX_AGE_SECS);
    assert_eq!(open(folder.path(), 3_000_000).known_members().len(), 1, "removed by age");
}

#[rstest]
#[case::truncated(|b: &mut Vec<u8>| b.truncate(b.len() - 1))]
#[case::altered(|b: &mut Vec<u8>| b[9] ^= 1)]
#[case::unknown_format(|b: &mut Vec<u8>| b[0] = 9)]
#[case::empty(|b: &mut Vec<u8>| b.clear())]
fn ignores_a_corrupt_file(#[case] corrupt: fn(&mut Vec<u8>)) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path(), 3_000_000);
    store.begin_incarnation(7);
    store.record(&members(3), &agreed_names(), 1);
    let file = folder.path().join(FILE_NAME);
    let mut bytes = std::fs::read(&file).expect("the file was written");
    corrupt(&mut bytes);
    std::fs::write(&file, bytes).expect("written");
    let mut store = open(folder.path(), 3_000_000);
    assert_eq!((store.known_members().len(), store.begin_incarnation(9)), (0, 9));
}

/// A small folder limit keeps the most recent members within the share that the journal leaves. A tiny one writes no file.
#[test]
fn the_file_stays_within_its_share_of_the_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    for (folder_bytes, share) in [(3_000_000, 29_696), (100_000, 512), (20_000, 0)] {
        let mut store = open(folder.path(), folder_bytes);
        store.record(&members(2000), &BTreeSet::new(), 1);
        let size = std::fs::metadata(folder.path().join(FILE_NAME)).map_or(0, |m| m.len());
        assert!(size <= share, "{size} of {share} bytes");
        assert!(share == 0 || store.known_members().first().is_some_and(|m| m.name == "n1"));
        let _ = std::fs::remove_file(folder.path().join(FILE_NAME));
    }
}
