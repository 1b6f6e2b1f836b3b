//! Tests of `takeover`.
use super::*;
use crate::journal::{self, Record};
use std::io::Write;

#[test]
fn a_lock_belongs_to_one_process_until_it_is_released() {
    let temp = tempfile::tempdir().expect("a folder");
    let folder = SharedFolder::open(&temp.path().join("state")).expect("made");
    let lock = folder.try_lock(LockName::Owner).expect("a file");
    assert!(lock.is_some() && folder.is_locked(LockName::Owner) && !folder.is_locked(LockName::Next));
    assert!(folder.try_lock(LockName::Owner).expect("a file").is_none());
    drop(lock);
    assert!(!folder.is_locked(LockName::Owner));
    assert!(folder.try_lock(LockName::Owner).expect("a file").is_some());
}

#[test]
fn late_outcomes_are_read_as_they_come_and_an_incomplete_record_is_waited_for() {
    let temp = tempfile::tempdir().expect("a folder");
    let folder = SharedFolder::open(temp.path()).expect("made");
    assert!(folder.open_late_outcomes().is_none());
    let mut writer = folder.create_late_outcomes().expect("made");
    assert!(folder.create_late_outcomes().is_err(), "one writer at a time");
    let mut reader = folder.open_late_outcomes().expect("there");
    let first = Record::CallbackAcknowledged { id: 1 };
    let second = Record::CallbackAcknowledged { id: 2 };
    writer.append(&first);
    assert_eq!(reader.read(), (vec![first], false));
    let bytes = journal::encode(&second);
    writer.file.write_all(&bytes[..5]).expect("written");
    assert_eq!(reader.read(), (vec![], false));
    writer.file.write_all(&bytes[5..]).expect("written");
    drop(writer);
    assert_eq!(reader.read(), (vec![second], true));
    reader.remove();
    assert!(folder.open_late_outcomes().is_none());
}
