//! Tests of `wire`.
use super::*;
use crate::fleet::member::tests::member;
use proptest::prelude::*;

const HEADER: Header = Header { digest: 77, side: PartitionSide::Majority };

/// Returns one message of each kind.
fn messages() -> Vec<Message> {
    let attributes =
        Attributes { zone: "z1".into(), version: "0.2.0".into(), settings_epoch: 1, ..Attributes::default() };
    let record = Record {
        member: member(2, 7),
        revision: 3,
        age_millis: 250,
        departed: false,
        attributes: Some(attributes),
    };
    vec![
        Message::Swim(vec![1, 2, 3]),
        Message::Digests { from: member(1, 1), digests: vec![u64::MAX; DIGEST_BUCKETS], is_reply: true },
        Message::Records { from: member(1, 1), records: vec![record] },
        Message::Suspicion { from: member(1, 1), suspect: member(2, 7), swim_incarnation: 3 },
    ]
}

#[test]
fn a_datagram_is_decoded_only_within_its_group() {
    for message in messages() {
        let bytes = encode(group_tag("a"), HEADER, &message);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(decode(group_tag("a"), &bytes).expect("the same group"), (HEADER, message));
        assert!(matches!(decode(group_tag("b"), &bytes), Err(FleetError::ForeignGroup)));
    }
    let mut long = encode(group_tag("a"), HEADER, &Message::Swim(vec![0; MAX_DATAGRAM_BYTES]));
    let too_long = decode(group_tag("a"), &long);
    assert!(matches!(too_long, Err(FleetError::DatagramSize { .. })), "{too_long:?}");
    long.truncate(MAX_DATAGRAM_BYTES);
    long[0] = FORMAT_VERSION + 1;
    let newer = decode(group_tag("a"), &long);
    assert!(matches!(newer, Err(FleetError::DatagramVersion { found: 3, expected: 2 })), "{newer:?}");
}

#[test]
fn the_longest_record_is_within_the_size_limit() {
    let text = |length| "x".repeat(length);
    let longest = Member {
        address: "[ffff::1]:65535".parse().expect("an address"),
        name: text(MAX_NAME_BYTES),
        incarnation: u64::MAX,
    };
    let attributes = Attributes {
        zone: text(MAX_TEXT_BYTES),
        version: text(MAX_TEXT_BYTES),
        settings_digest: u64::MAX,
        settings_epoch: u64::MAX,
        list_version: u64::MAX,
        started: u64::MAX,
        draining: true,
    };
    let record = Record {
        member: longest.clone(),
        revision: u32::MAX,
        age_millis: u32::MAX,
        departed: true,
        attributes: Some(attributes),
    };
    assert!(postcard::to_stdvec(&record).expect("bytes").len() <= MAX_RECORD_BYTES);
    let two = Message::Records { from: longest, records: vec![record.clone(), record] };
    assert!(encode(1, HEADER, &two).len() <= MAX_DATAGRAM_BYTES);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The expected bytes were written by the program of commit 19f93fd, so members of both versions can form one fleet.
#[test]
fn encodes_the_same_bytes_as_the_previous_version() {
    let header = "02e8b7be43000000000000004d02";
    let all_digests = "ffffffffffffffffff01".repeat(DIGEST_BUCKETS);
    let expected = [
        "01010203".to_string(),
        format!("02007f000001e907026e310140{all_digests}01"),
        "03007f000001e907026e310101007f000001ea07026e320703fa010001027a3105302e322e300001000000".into(),
        "04007f000001e907026e3101007f000001ea07026e320703".into(),
    ];
    for (message, expected) in messages().iter().zip(expected) {
        let bytes = encode(group_tag("a"), HEADER, message);
        assert_eq!(hex(&bytes), format!("{header}{expected}"), "{message:?}");
    }
}

proptest! {
    #[test]
    fn malformed_datagrams_are_rejected_without_a_panic(
        kind in 0..4usize, body_length in any::<prop::sample::Index>(), noise in prop::collection::vec(any::<u8>(), 0..600),
    ) {
        let mut bytes = encode(group_tag("a"), HEADER, &messages()[kind]);
        bytes.truncate(HEADER_BYTES + body_length.index(bytes.len() - HEADER_BYTES + 1));
        bytes.extend(&noise);
        let _ = decode(group_tag("a"), &bytes);
        let is_other_format = noise.first() != Some(&FORMAT_VERSION);
        prop_assert!(!is_other_format || decode(group_tag("a"), &noise).is_err());
    }
}
