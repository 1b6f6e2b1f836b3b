//! Tests of `frame`.
use super::*;
use proptest::prelude::*;

fn finding() -> impl Strategy<Value = Finding> {
    let span = || (0..u64::MAX / 4).prop_map(Nanos);
    let value = || 0.0..1e6f64;
    prop_oneof![
        (span(), any::<bool>()).prop_map(|(since, risky)| Finding::Outage { since, risky }),
        span().prop_map(|since| Finding::Recovering { since }),
        (value(), value()).prop_map(|(mean, dev)| Finding::Healthy { mean, dev }),
        span().prop_map(|left| Finding::RetryAfter { left }),
        value().prop_map(|rate| Finding::RateLimit { rate }),
        value().prop_map(|calls| Finding::ConnectionCapacity { calls }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let observation = ("[a-z0-9-]{0,40}", finding(), any::<u64>());
    let observation =
        observation.prop_map(|(uid, finding, age)| EndpointObservation { uid, finding, age: Nanos(age) });
    let batch = (any::<u64>(), any::<u64>(), any::<bool>(), prop::collection::vec(observation, 0..20));
    prop_oneof![
        ("[a-z]{0,20}", "[a-z]{0,20}", prop::option::of(any::<(u16, u64)>())).prop_map(
            |(name, group, identity)| {
                let member = identity.map(|(port, incarnation)| MemberIdentity {
                    address: ([127, 0, 0, 1], port).into(),
                    incarnation,
                });
                Message::Hello { name, group, member }
            }
        ),
        Just(Message::ViewRequest),
        (prop::collection::vec(any::<u8>(), 0..99), any::<bool>())
            .prop_map(|(bytes, is_last)| Message::ViewPart { bytes, is_last }),
        any::<u64>().prop_map(Message::Ping),
        batch.prop_map(|(ping, ping_age, completes_snapshot, observations)| {
            let ping_age = Nanos(ping_age);
            Message::Observations(ObservationBatch { ping, ping_age, completes_snapshot, observations })
        }),
    ]
}

fn decode_all(reader: &mut FrameReader) -> Result<Vec<Message>, FrameError> {
    std::iter::from_fn(|| reader.next_message().transpose()).collect()
}

proptest! {
    #[test]
    fn decodes_encoded_messages_from_chunks_of_any_size(
        messages in prop::collection::vec(message(), 0..6), chunk_bytes in 1..40usize,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
        let (mut reader, mut decoded) = (FrameReader::default(), Vec::new());
        for chunk in bytes.chunks(chunk_bytes) {
            reader.push(chunk);
            decoded.extend(decode_all(&mut reader).expect("valid frames"));
        }
        prop_assert_eq!(decoded, messages);
    }

    #[test]
    fn a_frame_with_a_flipped_bit_is_never_decoded(message in message(), index in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = encode(&message);
        let index = index.index(bytes.len());
        bytes[index] ^= 1 << bit;
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        // The frame is skipped, rejected or incomplete.
        let decoded = decode_all(&mut reader).unwrap_or_default();
        prop_assert!(decoded.is_empty(), "{decoded:?}");
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic_and_do_not_grow_the_buffer(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        let _ = decode_all(&mut reader);
        prop_assert!(reader.bytes.len() <= bytes.len());
    }
}

#[test]
fn skips_unknown_versions_types_and_fields() {
    let hello = Message::Hello { name: "n1".into(), group: "g".into(), member: None };
    let mut reader = FrameReader::default();
    reader.push(&encode_frame(VERSION + 1, b"a later version"));
    reader.push(&encode_frame(VERSION, &[99, 1, 2, 3]));
    // A hello of a version without the view of the fleet, which sends no member identity.
    reader.push(&encode_frame(
        VERSION,
        &typed_payload(message_type::HELLO, &WireHello { name: "n1".into(), group: "g".into() }),
    ));
    // An unknown field after the known ones.
    let mut extended_ping = typed_payload(message_type::PING, &7u64);
    extended_ping.extend([1, 2, 3]);
    reader.push(&encode_frame(VERSION, &extended_ping));
    let known_observation = encode_observation(&EndpointObservation {
        uid: "s-1".into(),
        finding: Finding::Recovering { since: Nanos(5) },
        age: Nanos(1),
    });
    let batch = WireBatch {
        ping: 1,
        ping_age: 2,
        completes_snapshot: true,
        observations: vec![(77, vec![9]), known_observation],
    };
    reader.push(&encode_frame(VERSION, &typed_payload(message_type::OBSERVATIONS, &batch)));
    let decoded = decode_all(&mut reader).expect("valid frames");
    assert_eq!(decoded[..2], [hello, Message::Ping(7)]);
    assert!(
        matches!(&decoded[2], Message::Observations(batch) if batch.observations.len() == 1 && batch.observations[0].uid == "s-1")
    );
}

/// These bytes define version 1. A change to them requires a new protocol version.
#[test]
fn the_encoding_of_version_1_does_not_change() {
    let bytes = [
        0, 0, 0, 27, 1, 225, 22, 127, 70, 3, 5, 9, 1, 1, 1, 15, 3, b's', b'-', b'1', 128, 148, 235, 220, 3,
        128, 168, 214, 185, 7, 1,
    ];
    let observation = EndpointObservation {
        uid: "s-1".into(),
        finding: Finding::Outage { since: Nanos(2_000_000_000), risky: true },
        age: Nanos(1_000_000_000),
    };
    let message = Message::Observations(ObservationBatch {
        ping: 5,
        ping_age: Nanos(9),
        completes_snapshot: true,
        observations: vec![observation],
    });
    assert_eq!(encode(&message), bytes);
    let mut reader = FrameReader::default();
    reader.push(&bytes);
    assert_eq!(reader.next_message(), Ok(Some(message)));
}

#[test]
fn rejects_invalid_values_and_oversized_frames() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let invalid =
            EndpointObservation { uid: "s".into(), finding: Finding::RateLimit { rate }, age: Nanos(0) };
        let mut reader = FrameReader::default();
        reader.push(&encode(&Message::Observations(ObservationBatch {
            observations: vec![invalid],
            ..ObservationBatch::default()
        })));
        assert_eq!(reader.next_message(), Err(FrameError::Malformed));
    }
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert_eq!(reader.next_message(), Err(FrameError::TooLong(u32::MAX as usize)));
}

#[test]
fn splits_a_large_batch_into_frames_within_the_size_limit() {
    let observation = |n: u32| EndpointObservation {
        uid: format!("{n:0>200}"),
        finding: Finding::Recovering { since: Nanos(1) },
        age: Nanos(1),
    };
    let parts = split_observations((0..5000).map(observation).collect());
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 5000);
    for observations in parts {
        assert!(
            encode(&Message::Observations(ObservationBatch { observations, ..ObservationBatch::default() }))
                .len()
                <= MAX_FRAME_BYTES
        );
    }
}

/// Earlier versions encode the identity as a pair without a struct.
#[test]
fn a_member_identity_is_encoded_as_a_pair() {
    let address: SocketAddr = ([127, 0, 0, 1], 9300).into();
    let identity = Some(MemberIdentity { address, incarnation: 7 });
    assert_eq!(serialize(&identity), serialize(&Some((address, 7u64))));
}
