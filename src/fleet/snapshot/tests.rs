//! Tests of `memory`.
use super::*;
use crate::fleet::member::tests::member;
use crate::journal::Folder;
use rstest::rstest;
use std::path::Path;

fn open(at: &Path, most: u64) -> SnapshotStore {
    SnapshotStore::open(Box::new(Folder::open(at).expect("a folder")), most)
}

fn members(count: u16) -> Vec<Member> {
    (1..=count).map(|n| member(n, 1)).collect()
}

fn fleet() -> BTreeSet<String> {
    ["n0", "n1"].map(String::from).into()
}

/// A file of the program before this one.
#[test]
fn the_form_before_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let seen = vec![KnownMember { name: "n1".into(), address: member(1, 1).address, at: 9 }];
    let body = postcard::to_stdvec(&(41u64, &seen)).expect("bytes");
    let bytes = [&[FORM_BEFORE][..], &crc32fast::hash(&body).to_le_bytes(), &body].concat();
    std::fs::write(folder.path().join(NAME), bytes).expect("written");
    let mut memory = open(folder.path(), 3_000_000);
    assert_eq!((memory.known_members(), memory.agreed_fleet().len()), (&seen[..], 0));
    assert_eq!(memory.begin_incarnation(7), 42);
}

#[test]
fn the_agreed_fleet_and_a_life_that_rose_are_there_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut memory = open(folder.path(), 3_000_000);
    memory.begin_incarnation(7);
    memory.record(&members(1), &fleet(), 1);
    memory.raise_incarnation(90);
    memory.raise_incarnation(5);
    let mut memory = open(folder.path(), 3_000_000);
    assert_eq!(memory.agreed_fleet(), &fleet());
    assert_eq!(memory.begin_incarnation(1), 91);
}

#[test]
fn lives_rise_whatever_the_clock_says_and_who_was_there_stays_known() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut memory = open(folder.path(), 3_000_000);
    assert_eq!(memory.begin_incarnation(5000), 5000);
    memory.record(&members(3), &fleet(), 1_000_000);
    let mut memory = open(folder.path(), 3_000_000);
    assert_eq!(memory.begin_incarnation(10), 5001, "an earlier clock");
    assert_eq!(memory.known_members().len(), 3);
    // Only one is there now, and the clock is an hour behind: the others stay known.
    memory.record(&members(1), &fleet(), 1_000_000 - 3600);
    assert_eq!(open(folder.path(), 3_000_000).known_members().len(), 3);
    memory.record(&members(1), &fleet(), 1_000_000 + AGE_MOST);
    assert_eq!(open(folder.path(), 3_000_000).known_members().len(), 1, "forgotten by age");
}

#[rstest]
#[case::torn(|b: &mut Vec<u8>| b.truncate(b.len() - 1))]
#[case::altered(|b: &mut Vec<u8>| b[9] ^= 1)]
#[case::another_form(|b: &mut Vec<u8>| b[0] = 9)]
#[case::empty(|b: &mut Vec<u8>| b.clear())]
fn a_file_that_is_not_whole_is_as_none(#[case] spoil: fn(&mut Vec<u8>)) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut memory = open(folder.path(), 3_000_000);
    memory.begin_incarnation(7);
    memory.record(&members(3), &fleet(), 1);
    let file = folder.path().join(NAME);
    let mut bytes = std::fs::read(&file).expect("it is there");
    spoil(&mut bytes);
    std::fs::write(&file, bytes).expect("written");
    let mut memory = open(folder.path(), 3_000_000);
    assert_eq!((memory.known_members().len(), memory.begin_incarnation(9)), (0, 9));
}

/// In a small folder it keeps the last ones, and within what the journal leaves; in none at all it keeps nothing.
#[test]
fn it_stays_within_its_share() {
    let folder = tempfile::tempdir().expect("a folder");
    for (most, share) in [(3_000_000, 29_696), (100_000, 512), (20_000, 0)] {
        let mut memory = open(folder.path(), most);
        memory.record(&members(2000), &BTreeSet::new(), 1);
        let size = std::fs::metadata(folder.path().join(NAME)).map_or(0, |m| m.len());
        assert!(size <= share, "{size} of {share} bytes");
        assert!(share == 0 || memory.known_members().first().is_some_and(|s| s.name == "n1"));
        let _ = std::fs::remove_file(folder.path().join(NAME));
    }
}
