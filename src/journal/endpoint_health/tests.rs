//! Tests of the stored health: its bytes, and files that a kill or a full disk leaves.
use super::super::state_file::encode;
use super::*;
use crate::journal::Journal;
use std::fs;
use std::path::Path;

const CAPACITY: u64 = 100_000;

fn entry(uid: &str, health: StoredHealth) -> StoredEndpointHealth {
    StoredEndpointHealth { uid: uid.into(), health, served_rate: 0.5 }
}

fn open_journal(folder: &Path) -> Journal {
    Journal::open(folder, CAPACITY).expect("the journal opens").0
}

/// The format is frozen, because later versions read what this one wrote.
#[test]
fn an_entry_has_these_bytes() {
    let bytes = encode(&vec![entry("s-1", StoredHealth::SlowStart)]).expect("encoded");
    assert_eq!(bytes[..5], [1, 14, 0, 0, 0], "version and length");
    assert_eq!(bytes[9..], [1, 3, 115, 45, 49, 2, 0, 0, 0, 0, 0, 0, 224, 63]);
}

#[test]
fn later_entries_replace_earlier_ones() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open_journal(folder.path());
    let (failing, slow) = (entry("s-1", StoredHealth::Failing), entry("s-2", StoredHealth::SlowStart));
    assert!(!journal.append_endpoint_health(&failing).expect("no file yet"));
    journal.write_endpoint_health(&[failing, slow.clone()]).expect("written");
    assert!(journal.append_endpoint_health(&entry("s-1", StoredHealth::Healthy)).expect("appended"));
    assert_eq!(open_journal(folder.path()).read_endpoint_health(), [slow]);
}

/// Guards against a process that does not start, or forgets everything: a kill may leave half an entry.
#[test]
fn a_file_cut_at_any_byte_is_read_up_to_the_last_complete_part() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open_journal(folder.path());
    let failing = entry("s-1", StoredHealth::Failing);
    journal.write_endpoint_health(std::slice::from_ref(&failing)).expect("written");
    let path = folder.path().join(FILE.name);
    let first_part = fs::read(&path).expect("the file").len();
    assert!(journal.append_endpoint_health(&entry("s-2", StoredHealth::Failing)).expect("appended"));
    let whole = fs::read(&path).expect("the file");
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).expect("cut");
        let read = open_journal(folder.path()).read_endpoint_health();
        let expected = if length < first_part { Vec::new() } else { vec![failing.clone()] };
        assert_eq!(read, expected, "cut at byte {length}");
    }
}

/// Guards against a folder over its limit: changes are appended only as long as they fit into what is reserved.
#[test]
fn changes_are_appended_up_to_the_limit_of_the_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open_journal(folder.path());
    let failing = entry("s-1", StoredHealth::Failing);
    journal.write_endpoint_health(std::slice::from_ref(&failing)).expect("written");
    let appended = (0..CAPACITY).take_while(|_| journal.append_endpoint_health(&failing).expect("appended"));
    assert!((10..1000).contains(&appended.count()));
}
