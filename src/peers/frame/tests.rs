//! Tests of `frame`.
use super::*;
use proptest::prelude::*;

fn finding() -> impl Strategy<Value = Finding> {
    let span = || (0..u64::MAX / 4).prop_map(Nanos);
    let figure = || 0.0..1e6f64;
    prop_oneof![
        (span(), any::<bool>()).prop_map(|(since, risky)| Finding::Outage { since, risky }),
        span().prop_map(|since| Finding::Recovering { since }),
        (figure(), figure()).prop_map(|(mean, dev)| Finding::Healthy { mean, dev }),
        span().prop_map(|left| Finding::RetryAfter { left }),
        figure().prop_map(|rate| Finding::RateLimit { rate }),
        figure().prop_map(|calls| Finding::ConnectionCapacity { calls }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let observation = ("[a-z0-9-]{0,40}", finding(), any::<u64>());
    let observation =
        observation.prop_map(|(uid, finding, age)| EndpointObservation { uid, finding, age: Nanos(age) });
    let batch = (any::<u64>(), any::<u64>(), any::<bool>(), prop::collection::vec(observation, 0..20));
    prop_oneof![
        ("[a-z]{0,20}", "[a-z]{0,20}", prop::option::of(any::<(u16, u64)>())).prop_map(|(name, group, m)| {
            let member = m.map(|(port, incarnation)| MemberIdentity {
                address: ([127, 0, 0, 1], port).into(),
                incarnation,
            });
            Message::Hello { name, group, member }
        }),
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
    std::iter::from_fn(|| reader.message().transpose()).collect()
}

proptest! {
    #[test]
    fn messages_survive_encoding_however_the_stream_is_split(
        messages in prop::collection::vec(message(), 0..6), cut in 1..40usize,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
        let (mut reader, mut decoded) = (FrameReader::default(), Vec::new());
        for part in bytes.chunks(cut) {
            reader.push(part);
            decoded.extend(decode_all(&mut reader).expect("valid frames"));
        }
        prop_assert_eq!(decoded, messages);
    }

    #[test]
    fn a_flipped_bit_never_yields_a_message(message in message(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = encode(&message);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        // Skipped, rejected, or incomplete: never another message.
        let decoded = decode_all(&mut reader).unwrap_or_default();
        prop_assert!(decoded.is_empty(), "{decoded:?}");
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_grow_the_buffer(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        let _ = decode_all(&mut reader);
        prop_assert!(reader.bytes.len() <= bytes.len());
    }
}

#[test]
fn unknown_versions_types_and_fields_are_skipped() {
    let hello = Message::Hello { name: "n1".into(), group: "g".into(), member: None };
    let mut reader = FrameReader::default();
    reader.push(&encode_frame(VERSION + 1, b"a later version"));
    reader.push(&encode_frame(VERSION, &[99, 1, 2, 3]));
    // From a program without the view of the fleet.
    reader.push(&encode_frame(
        VERSION,
        &typed_payload(message_type::HELLO, &WireHello { name: "n1".into(), group: "g".into() }),
    ));
    // A field after those that are known.
    let mut longer = typed_payload(message_type::PING, &7u64);
    longer.extend([1, 2, 3]);
    reader.push(&encode_frame(VERSION, &longer));
    let known = encode_observation(&EndpointObservation {
        uid: "s-1".into(),
        finding: Finding::Recovering { since: Nanos(5) },
        age: Nanos(1),
    });
    let batch = WireBatch {
        ping: 1,
        ping_age: 2,
        completes_snapshot: true,
        observations: vec![(77, vec![9]), known],
    };
    reader.push(&encode_frame(VERSION, &typed_payload(message_type::OBSERVATIONS, &batch)));
    let decoded = decode_all(&mut reader).expect("valid frames");
    assert_eq!(decoded[..2], [hello, Message::Ping(7)]);
    assert!(
        matches!(&decoded[2], Message::Observations(t) if t.observations.len() == 1 && t.observations[0].uid == "s-1")
    );
}

/// These bytes define version 1. A change that breaks them needs a version of its own.
#[test]
fn version_1_bytes_stay_the_same() {
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
    assert_eq!(reader.message(), Ok(Some(message)));
}

#[test]
fn invalid_figures_are_rejected() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let bad =
            EndpointObservation { uid: "s".into(), finding: Finding::RateLimit { rate }, age: Nanos(0) };
        let mut reader = FrameReader::default();
        reader.push(&encode(&Message::Observations(ObservationBatch {
            observations: vec![bad],
            ..ObservationBatch::default()
        })));
        assert_eq!(reader.message(), Err(FrameError::Malformed));
    }
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert_eq!(reader.message(), Err(FrameError::TooLong(u32::MAX as usize)));
}

#[test]
fn a_large_batch_is_split_into_frames_within_the_limit() {
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

/// The identity is encoded as the bare pair that earlier programs send.
#[test]
fn a_member_identity_is_encoded_as_a_pair() {
    let address: SocketAddr = ([127, 0, 0, 1], 9300).into();
    let identity = Some(MemberIdentity { address, incarnation: 7 });
    assert_eq!(serialize(&identity), serialize(&Some((address, 7u64))));
}
