//! Tests of the stored endpoint list: its bytes, and files that a crash or an old disk limit leaves.
use super::*;
use crate::journal::{Folder, Journal};
use std::fs;
use std::path::Path;

const CAPACITY: u64 = 100_000;

fn list(endpoints: usize) -> StoredEndpointList {
    let endpoint = |n: usize| StoredEndpoint {
        uid: format!("s-{n}"),
        address: "10.1.0.18:9000".into(),
        zone: "a".into(),
        kind: "m2".into(),
        dest: 3,
        is_draining: n % 2 == 1,
        rate: 40.0,
    };
    StoredEndpointList {
        source: "10.2.0.1:8500".into(),
        revision: 43,
        configured_revision: 41,
        endpoints: (0..endpoints).map(endpoint).collect(),
        destinations: vec![3, 300],
    }
}

fn open_journal(folder: &Path) -> Journal {
    Journal::open(folder, CAPACITY).expect("the journal opens").0
}

/// The format is frozen, because later versions read what this one wrote.
#[test]
fn a_list_has_these_bytes() {
    let expected = [
        1, 55, 0, 0, 0, 143, 167, 40, 18, 13, 49, 48, 46, 50, 46, 48, 46, 49, 58, 56, 53, 48, 48, 43, 41, 1,
        3, 115, 45, 48, 14, 49, 48, 46, 49, 46, 48, 46, 49, 56, 58, 57, 48, 48, 48, 1, 97, 2, 109, 50, 3, 0,
        0, 0, 0, 0, 0, 0, 68, 64, 2, 3, 172, 2,
    ];
    assert_eq!(encode(&list(1)).expect("encoded"), expected);
    assert_eq!(decode(&expected), Some(list(1)));
}

#[test]
fn a_list_survives_the_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open_journal(folder.path());
    assert_eq!(journal.read_endpoint_list(), None);
    journal.write_endpoint_list(&list(2)).expect("written");
    journal.write_endpoint_list(&list(3)).expect("replaced");
    assert_eq!(open_journal(folder.path()).read_endpoint_list(), Some(list(3)));
}

/// Guards against a process that starts with half a list, or does not start: the file may be cut or altered at any byte.
#[test]
fn an_incomplete_or_altered_file_counts_as_none() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = encode(&list(2)).expect("encoded");
    let mut damaged: Vec<Vec<u8>> = (0..bytes.len()).map(|length| bytes[..length].to_vec()).collect();
    damaged.extend((0..bytes.len()).map(|n| {
        let mut altered = bytes.clone();
        altered[n] ^= 0x40;
        altered
    }));
    damaged.push([&bytes[..], &[0]].concat());
    for file in damaged {
        fs::write(folder.path().join(LIST_FILE), &file).expect("written");
        assert_eq!(open_journal(folder.path()).read_endpoint_list(), None, "{file:?}");
    }
}

#[test]
fn a_write_that_a_kill_interrupted_leaves_the_old_list_in_use() {
    let folder = tempfile::tempdir().expect("a folder");
    open_journal(folder.path()).write_endpoint_list(&list(2)).expect("written");
    fs::write(folder.path().join(NEW_LIST_FILE), [1, 2, 3]).expect("written");
    assert_eq!(open_journal(folder.path()).read_endpoint_list(), Some(list(2)));
    let names: Vec<_> = fs::read_dir(folder.path()).expect("a folder").collect();
    assert_eq!(names.len(), 2, "the journal and the list: {names:?}");
}

/// Guards the size limit of the folder: the journal gives up the space that the list takes.
#[test]
fn a_list_takes_its_space_from_the_journal() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open_journal(folder.path());
    let without_list = journal.pending_capacity();
    journal.write_endpoint_list(&list(50)).expect("written");
    assert!(journal.pending_capacity() < without_list);
    let mut reopened = open_journal(folder.path());
    reopened.read_endpoint_list();
    assert_eq!(reopened.pending_capacity(), journal.pending_capacity());
}

/// Guards against an old list that stays behind when a longer one no longer fits.
#[test]
fn a_list_beyond_its_share_of_the_folder_is_not_stored() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = open_journal(folder.path());
    let without_list = journal.pending_capacity();
    journal.write_endpoint_list(&list(2)).expect("written");
    journal.write_endpoint_list(&list(1_000)).expect_err("too long");
    assert_eq!(journal.pending_capacity(), without_list);
    assert_eq!(open_journal(folder.path()).read_endpoint_list(), None);
    assert!(Folder::open(folder.path()).expect("a folder").read(LIST_FILE).expect("readable").is_none());
}
