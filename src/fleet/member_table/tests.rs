//! Tests of `member_table`.
use super::*;
use crate::fleet::member::tests::{address, member};

fn table_of(count: u16) -> MemberTable {
    let mut table = MemberTable::new(member(0, 1), Duration::ZERO);
    for n in 1..count {
        table.mark_present(Duration::ZERO, &member(n, 1));
    }
    table
}

fn attributes(list_version: u64) -> Attributes {
    Attributes { list_version, ..Attributes::default() }
}

#[test]
fn digests_are_equal_if_and_only_if_the_views_are_equal() {
    let mut one = table_of(3);
    let mut other = MemberTable::new(member(2, 1), Duration::ZERO);
    for n in [1, 0] {
        other.mark_present(Duration::from_secs(9), &member(n, 1));
    }
    assert_eq!(one.digest(), other.digest());
    one.publish(Duration::ZERO, &member(0, 1), attributes(4), 0);
    assert_ne!(one.digest(), other.digest());
    let record = one.local_entry().to_record(Duration::ZERO);
    assert!(other.apply_record(Duration::from_secs(9), &record));
    assert_eq!(one.digest(), other.digest());
    other.mark_departed(Duration::from_secs(9), &member(1, 1));
    assert_ne!(one.digest(), other.digest());
    one.mark_departed(Duration::from_secs(3), &member(1, 1));
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn accepts_only_newer_attributes_of_the_known_incarnation_and_none_of_the_local_member() {
    let mut table = table_of(3);
    let record = |n, incarnation, revision| Record {
        member: member(n, incarnation),
        revision,
        age_millis: 2000,
        departed: false,
        attributes: Some(attributes(u64::from(revision))),
    };
    let now = Duration::from_secs(10);
    assert!(table.apply_record(now, &record(1, 1, 5)));
    assert_eq!(table.get(address(1)).map(|e| e.published_at), Some(Duration::from_secs(8)));
    for old in [record(1, 1, 5), record(1, 1, 4), record(1, 2, 9), record(0, 1, 9), record(7, 1, 9)] {
        assert!(!table.apply_record(now, &old), "{old:?}");
    }
    // A new incarnation has not published attributes yet.
    table.mark_present(now, &member(1, 2));
    assert_eq!(table.get(address(1)).and_then(|e| e.attributes.clone()), None);
}

#[test]
fn only_records_of_differing_buckets_are_returned() {
    let one = table_of(100);
    let mut other = table_of(100);
    other.mark_present(Duration::ZERO, &member(40, 2));
    let records = other.differing_records(Duration::ZERO, one.bucket_digests(), 3);
    assert!(records.iter().any(|r| r.member == member(40, 2)));
    assert!(records.len() < 20, "{} of 100", records.len());
    assert!(one.differing_records(Duration::ZERO, one.bucket_digests(), 0).is_empty());
}

#[test]
fn entries_of_departed_members_are_bounded() {
    let mut table = table_of(1);
    for n in 1..=(MAX_DEPARTED as u16 + 9) {
        table.mark_present(Duration::ZERO, &member(n, 1));
        table.mark_departed(Duration::from_secs(u64::from(n)), &member(n, 1));
    }
    assert_eq!(table.departed().count(), MAX_DEPARTED);
    assert!(table.get(address(1)).is_none() && table.get(address(10)).is_some());
}
