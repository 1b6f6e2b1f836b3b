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
    let item = ("[a-z0-9-]{0,40}", finding(), any::<u64>());
    let item = item.prop_map(|(uid, finding, age)| EndpointObservation { uid, finding, age: Nanos(age) });
    let told = (any::<u64>(), any::<u64>(), any::<bool>(), prop::collection::vec(item, 0..20));
    prop_oneof![
        ("[a-z]{0,20}", "[a-z]{0,20}", prop::option::of(any::<(u16, u64)>())).prop_map(|(name, group, m)| {
            let member = m.map(|(port, life)| (([127, 0, 0, 1], port).into(), life));
            Message::Hello { name, group, member }
        }),
        Just(Message::Look),
        (prop::collection::vec(any::<u8>(), 0..99), any::<bool>())
            .prop_map(|(part, last)| Message::View { part, last }),
        any::<u64>().prop_map(Message::Ping),
        told.prop_map(|(ping, held, whole, items)| {
            Message::Told(Told { ping, held: Nanos(held), whole, items })
        }),
    ]
}

fn all(reader: &mut FrameReader) -> Result<Vec<Message>, FrameError> {
    std::iter::from_fn(|| reader.message().transpose()).collect()
}

proptest! {
    #[test]
    fn what_is_said_is_heard_wherever_the_stream_is_cut(
        messages in prop::collection::vec(message(), 0..6), cut in 1..40usize,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
        let (mut reader, mut heard) = (FrameReader::default(), Vec::new());
        for part in bytes.chunks(cut) {
            reader.push(part);
            heard.extend(all(&mut reader).expect("no fault"));
        }
        prop_assert_eq!(heard, messages);
    }

    #[test]
    fn a_flipped_bit_is_never_taken_for_news(message in message(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = encode(&message);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        // Passed over, refused, or waited for: never another message.
        let heard = all(&mut reader).unwrap_or_default();
        prop_assert!(heard.is_empty(), "{heard:?}");
    }

    #[test]
    fn no_bytes_make_it_panic_or_hold_more_than_came(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        let _ = all(&mut reader);
        prop_assert!(reader.bytes.len() <= bytes.len());
    }
}

#[test]
fn what_is_not_known_is_passed_over() {
    let hello = Message::Hello { name: "n1".into(), group: "g".into(), member: None };
    let mut reader = FrameReader::default();
    reader.push(&frame(VERSION + 1, b"a later version"));
    reader.push(&frame(VERSION, &[99, 1, 2, 3]));
    // Of a program that knows no view of the fleet.
    reader.push(&frame(VERSION, &kind(HELLO, &WireHello { name: "n1".into(), group: "g".into() })));
    // A field behind those that are known.
    let mut longer = kind(PING, &7u64);
    longer.extend([1, 2, 3]);
    reader.push(&frame(VERSION, &longer));
    let known = item(&EndpointObservation {
        uid: "s-1".into(),
        finding: Finding::Recovering { since: Nanos(5) },
        age: Nanos(1),
    });
    let told = WireTold { ping: 1, held: 2, whole: true, items: vec![(77, vec![9]), known] };
    reader.push(&frame(VERSION, &kind(TOLD, &told)));
    let heard = all(&mut reader).expect("no fault");
    assert_eq!(heard[..2], [hello, Message::Ping(7)]);
    assert!(matches!(&heard[2], Message::Told(t) if t.items.len() == 1 && t.items[0].uid == "s-1"));
}

/// These bytes are what version 1 is. A change that breaks them needs a version of its own.
#[test]
fn version_1_stays_readable() {
    let bytes = [
        0, 0, 0, 27, 1, 225, 22, 127, 70, 3, 5, 9, 1, 1, 1, 15, 3, b's', b'-', b'1', 128, 148, 235, 220, 3,
        128, 168, 214, 185, 7, 1,
    ];
    let item = EndpointObservation {
        uid: "s-1".into(),
        finding: Finding::Outage { since: Nanos(2_000_000_000), risky: true },
        age: Nanos(1_000_000_000),
    };
    let told = Message::Told(Told { ping: 5, held: Nanos(9), whole: true, items: vec![item] });
    assert_eq!(encode(&told), bytes);
    let mut reader = FrameReader::default();
    reader.push(&bytes);
    assert_eq!(reader.message(), Ok(Some(told)));
}

#[test]
fn figures_that_are_none_are_refused() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let bad =
            EndpointObservation { uid: "s".into(), finding: Finding::RateLimit { rate }, age: Nanos(0) };
        let mut reader = FrameReader::default();
        reader.push(&encode(&Message::Told(Told { items: vec![bad], ..Told::default() })));
        assert_eq!(reader.message(), Err(FrameError::Garbled));
    }
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert_eq!(reader.message(), Err(FrameError::TooLong(u32::MAX as usize)));
}

#[test]
fn a_large_table_goes_in_parts_that_fit() {
    let item = |n: u32| EndpointObservation {
        uid: format!("{n:0>200}"),
        finding: Finding::Recovering { since: Nanos(1) },
        age: Nanos(1),
    };
    let parts = parts((0..5000).map(item).collect());
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 5000);
    for items in parts {
        assert!(encode(&Message::Told(Told { items, ..Told::default() })).len() <= MAX_FRAME_BYTES);
    }
}
