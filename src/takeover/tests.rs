//! Tests of `handover`.
use super::*;

#[test]
fn a_hold_is_one_process_s_until_it_goes() {
    let temp = tempfile::tempdir().expect("a folder");
    let folder = Folder::open(&temp.path().join("state")).expect("made");
    let held = folder.hold(Name::Owner).expect("a file");
    assert!(held.is_some() && folder.is_held(Name::Owner) && !folder.is_held(Name::Next));
    assert!(folder.hold(Name::Owner).expect("a file").is_none());
    drop(held);
    assert!(!folder.is_held(Name::Owner) && folder.hold(Name::Owner).expect("a file").is_some());
}

#[test]
fn what_is_late_is_read_as_it_comes_and_a_torn_end_is_waited_for() {
    let temp = tempfile::tempdir().expect("a folder");
    let folder = Folder::open(temp.path()).expect("made");
    assert!(folder.left().is_none());
    let mut late = folder.late().expect("made");
    assert!(folder.late().is_err(), "one at a time");
    let mut left = folder.left().expect("there");
    let (first, second) = (Record::CallbackAcknowledged { id: 1 }, Record::CallbackAcknowledged { id: 2 });
    late.add(&first);
    assert_eq!(left.read(), (vec![first], false));
    let whole = journal::encode(&second);
    late.file.write_all(&whole[..5]).expect("written");
    assert_eq!(left.read(), (vec![], false));
    late.file.write_all(&whole[5..]).expect("written");
    drop(late);
    assert_eq!(left.read(), (vec![second], true));
    left.remove();
    assert!(folder.left().is_none());
}
