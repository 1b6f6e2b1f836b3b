//! Tests of `handover`.
use super::*;

#[test]
fn a_hold_is_one_process_s_until_it_goes() {
    let temp = tempfile::tempdir().expect("a folder");
    let folder = SharedFolder::open(&temp.path().join("state")).expect("made");
    let held = folder.try_lock(LockName::Owner).expect("a file");
    assert!(held.is_some() && folder.is_locked(LockName::Owner) && !folder.is_locked(LockName::Next));
    assert!(folder.try_lock(LockName::Owner).expect("a file").is_none());
    drop(held);
    assert!(
        !folder.is_locked(LockName::Owner) && folder.try_lock(LockName::Owner).expect("a file").is_some()
    );
}

#[test]
fn what_is_late_is_read_as_it_comes_and_a_torn_end_is_waited_for() {
    let temp = tempfile::tempdir().expect("a folder");
    let folder = SharedFolder::open(temp.path()).expect("made");
    assert!(folder.open_late_outcomes().is_none());
    let mut late = folder.create_late_outcomes().expect("made");
    assert!(folder.create_late_outcomes().is_err(), "one at a time");
    let mut left = folder.open_late_outcomes().expect("there");
    let (first, second) = (Record::CallbackAcknowledged { id: 1 }, Record::CallbackAcknowledged { id: 2 });
    late.append(&first);
    assert_eq!(left.read(), (vec![first], false));
    let whole = journal::encode(&second);
    late.file.write_all(&whole[..5]).expect("written");
    assert_eq!(left.read(), (vec![], false));
    late.file.write_all(&whole[5..]).expect("written");
    drop(late);
    assert_eq!(left.read(), (vec![second], true));
    left.remove();
    assert!(folder.open_late_outcomes().is_none());
}
