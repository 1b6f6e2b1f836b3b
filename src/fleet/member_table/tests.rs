//! Tests of `rows`.
use super::*;
use crate::fleet::member::tests::{address, member};

fn rows(count: u16) -> Rows {
    let mut rows = Rows::new(member(0, 1), Duration::ZERO);
    (1..count).for_each(|n| rows.up(Duration::ZERO, &member(n, 1)));
    rows
}

fn facts(list: u64) -> Attributes {
    Attributes { list_version: list, ..Attributes::default() }
}

#[test]
fn two_views_are_the_same_if_their_numbers_are() {
    let (mut one, mut other) = (rows(3), Rows::new(member(2, 1), Duration::ZERO));
    [1, 0].into_iter().for_each(|n| other.up(Duration::from_secs(9), &member(n, 1)));
    assert_eq!(one.digest(), other.digest());
    one.write(Duration::ZERO, &member(0, 1), facts(4), 0);
    assert_ne!(one.digest(), other.digest());
    let record = one.own().record(Duration::ZERO);
    assert!(other.take(Duration::from_secs(9), &record));
    assert_eq!(one.digest(), other.digest());
    other.down(Duration::from_secs(9), &member(1, 1));
    assert_ne!(one.digest(), other.digest());
    one.down(Duration::from_secs(3), &member(1, 1));
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn only_newer_facts_of_the_same_life_are_taken_and_none_of_its_own() {
    let mut rows = rows(3);
    let record = |n, life, count| Record {
        of: member(n, life),
        count,
        age: 2000,
        gone: false,
        facts: Some(facts(u64::from(count))),
    };
    let now = Duration::from_secs(10);
    assert!(rows.take(now, &record(1, 1, 5)));
    assert_eq!(rows.get(address(1)).map(|r| r.written), Some(Duration::from_secs(8)));
    for old in [record(1, 1, 5), record(1, 1, 4), record(1, 2, 9), record(0, 1, 9), record(7, 1, 9)] {
        assert!(!rows.take(now, &old), "{old:?}");
    }
    // A later life has written nothing yet.
    rows.up(now, &member(1, 2));
    assert_eq!(rows.get(address(1)).and_then(|r| r.facts.clone()), None);
}

#[test]
fn parts_name_what_differs() {
    let (one, mut other) = (rows(100), rows(100));
    other.up(Duration::ZERO, &member(40, 2));
    let told = other.differing(Duration::ZERO, one.parts(), 3);
    assert!(told.iter().any(|r| r.of == member(40, 2)));
    assert!(told.len() < 20, "{} of 100", told.len());
    assert!(one.differing(Duration::ZERO, one.parts(), 0).is_empty());
}

#[test]
fn rows_of_those_that_are_gone_are_bounded() {
    let mut rows = rows(1);
    for n in 1..=(GONE_MOST as u16 + 9) {
        rows.up(Duration::ZERO, &member(n, 1));
        rows.down(Duration::from_secs(u64::from(n)), &member(n, 1));
    }
    assert_eq!(rows.gone().count(), GONE_MOST);
    assert!(rows.get(address(1)).is_none() && rows.get(address(10)).is_some());
}
