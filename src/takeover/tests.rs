//! Tests of `takeover`.
use super::*;
use crate::journal::{self, Record};
use std::io::Write;

#[test]
fn a_lock_has_one_holder_until_it_is_released() {
    let temp = tempfile::tempdir().expect("temporary folder is created");
    let folder = SharedFolder::open(&temp.path().join("state")).expect("created");
    let lock = folder.try_lock(LockName::Owner).expect("lock file opens");
    assert!(lock.is_some() && folder.is_locked(LockName::Owner) && !folder.is_locked(LockName::Next));
    assert!(folder.try_lock(LockName::Owner).expect("lock file opens").is_none());
    drop(lock);
    assert!(!folder.is_locked(LockName::Owner));
    assert!(folder.try_lock(LockName::Owner).expect("lock file opens").is_some());
}

#[test]
fn reads_late_outcomes_as_they_are_written_and_waits_for_the_rest_of_an_incomplete_record() {
    let temp = tempfile::tempdir().expect("temporary folder is created");
    let folder = SharedFolder::open(temp.path()).expect("created");
    assert!(folder.open_late_outcomes().is_none());
    let mut writer = folder.create_late_outcomes().expect("created");
    assert!(folder.create_late_outcomes().is_err(), "a second writer is rejected");
    let mut reader = folder.open_late_outcomes().expect("late outcomes exist");
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
