//! Tests of `wire`.
use super::*;
use crate::fleet::member::tests::member;
use proptest::prelude::*;

const HEADED: Head = Head { digest: 77, side: PartitionSide::Majority };

fn says() -> Vec<Say> {
    let facts =
        Attributes { zone: "z1".into(), version: "0.2.0".into(), settings_epoch: 1, ..Attributes::default() };
    let record = Record { of: member(2, 7), count: 3, age: 250, gone: false, facts: Some(facts) };
    vec![
        Say::Members(vec![1, 2, 3]),
        Say::Parts { from: member(1, 1), sums: vec![u64::MAX; PARTS], back: true },
        Say::Records { from: member(1, 1), records: vec![record] },
        Say::Doubt { from: member(1, 1), of: member(2, 7), number: 3 },
    ]
}

#[test]
fn what_is_said_is_read_by_its_own_group_alone() {
    for say in says() {
        let bytes = encode(tag("a"), HEADED, &say);
        assert!(bytes.len() <= DATAGRAM);
        assert_eq!(decode(tag("a"), &bytes), Some((HEADED, say)));
        assert_eq!(decode(tag("b"), &bytes), None);
    }
    let mut long = encode(tag("a"), HEADED, &Say::Members(vec![0; DATAGRAM]));
    assert_eq!(decode(tag("a"), &long), None, "too long");
    long.truncate(DATAGRAM);
    long[0] = FORM + 1;
    assert_eq!(decode(tag("a"), &long), None, "of another version");
}

#[test]
fn the_longest_record_is_as_long_as_is_reckoned() {
    let text = |n| "x".repeat(n);
    let of = Member {
        address: "[ffff::1]:65535".parse().expect("one"),
        name: text(MAX_NAME_BYTES),
        incarnation: u64::MAX,
    };
    let facts = Attributes {
        zone: text(MAX_TEXT_BYTES),
        version: text(MAX_TEXT_BYTES),
        settings_digest: u64::MAX,
        settings_epoch: u64::MAX,
        list_version: u64::MAX,
        started: u64::MAX,
        draining: true,
    };
    let record = Record { of: of.clone(), count: u32::MAX, age: u32::MAX, gone: true, facts: Some(facts) };
    assert!(postcard::to_stdvec(&record).expect("bytes").len() <= MAX_RECORD_BYTES);
    let two = Say::Records { from: of, records: vec![record.clone(), record] };
    assert!(encode(1, HEADED, &two).len() <= DATAGRAM);
}

proptest! {
    #[test]
    fn noise_is_read_as_nothing_and_breaks_nothing(
        which in 0..4usize, cut in any::<prop::sample::Index>(), noise in prop::collection::vec(any::<u8>(), 0..600),
    ) {
        let mut bytes = encode(tag("a"), HEADED, &says()[which]);
        bytes.truncate(HEAD + cut.index(bytes.len() - HEAD + 1));
        bytes.extend(&noise);
        let _ = decode(tag("a"), &bytes);
        prop_assert_eq!(decode(tag("a"), &noise).filter(|_| noise.first() != Some(&FORM)), None);
    }
}
