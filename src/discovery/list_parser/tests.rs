//! What comes on a watch, cut anywhere.
use super::*;
use proptest::prelude::*;
use rstest::rstest;

/// The events of a text that comes in these pieces: the version of a list, or nothing for a keep-alive.
fn events<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<Option<u64>>, ListTooLong> {
    let mut parser = ListParser::default();
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(piece);
        while let Some(event) = parser.next()? {
            events.push(match event {
                WatchEvent::KeepAlive => None,
                WatchEvent::List(update) => Some(update.revision),
            });
        }
        let buffered = parser.bytes.len();
        assert!(buffered <= MAX_VALUE_BYTES + piece.len(), "{buffered} bytes are buffered");
    }
    Ok(events)
}

fn versions(events: Vec<Option<u64>>) -> Vec<u64> {
    events.into_iter().flatten().collect()
}

fn list(rev: u64, indent: bool) -> String {
    let target = r#"{"uid":"s-1","endpoint":"127.0.0.1:9000","az":"a","model":"m","pod_group":3,"state":"Ready","capacity_hint":1.0,"boot_ms":0}"#;
    let text = format!(r#"{{"rev":{rev},"all":true,"targets":[{target},{target}]}}"#);
    let value: serde_json::Value = serde_json::from_str(&text).expect("a list");
    if indent {
        format!("{value:#}")
    } else {
        value.to_string()
    }
}

proptest! {
    #[test]
    fn lists_are_complete_at_any_cut_indented_or_not_and_with_noise_between(
        parts in prop::collection::vec(0..7u8, 1..8), cuts in prop::collection::vec(1..200usize, 1..12),
    ) {
        let (mut text, mut expected) = (String::new(), Vec::new());
        for (n, part) in parts.iter().enumerate() {
            let rev = n as u64 + 1;
            match part {
                0 => text += "\n",
                1 => text += "\r\n\r\n",
                2 => text += "no list \"at\" {all}\n",
                3 => text += "{\"rev\":\"x\",\n \"all\":3}\n",
                4 => text += "{\"rev\":7,\"all\":tr#ue}\n",
                indent => {
                    text += &list(rev, *indent == 5);
                    text += if n % 2 == 0 { "\n" } else { "\r\n" };
                    expected.push(rev);
                }
            }
        }
        let (mut pieces, mut rest, mut at) = (Vec::new(), text.as_bytes(), 0);
        while !rest.is_empty() {
            let (piece, more) = rest.split_at(cuts[at % cuts.len()].min(rest.len()));
            pieces.push(piece);
            (rest, at) = (more, at + 1);
        }
        prop_assert_eq!(versions(events(pieces).expect("an end")), expected);
    }
}

#[rstest]
#[case::glued(format!("{}{}", list(1, false), list(2, true)), vec![1, 2])]
#[case::half_then_complete(format!("{}\n{}\n", &list(1, false)[..60], list(2, false)), vec![2])]
#[case::half_indented_then_complete(format!("{}\n{}\n", &list(1, true)[..60], list(2, true)), vec![2])]
#[case::a_field_too_many(list(3, true).replacen("\"rev\"", "\"more\": [{}], \"rev\"", 1) + "\n", vec![3])]
#[case::no_text(format!("\u{feff}\n{}", list(4, false)), vec![4])]
fn unusual_texts_are_read(#[case] text: String, #[case] expected: Vec<u64>) {
    assert_eq!(versions(events([text.as_bytes()]).expect("an end")), expected);
    assert_eq!(versions(events(text.as_bytes().chunks(1)).expect("an end")), expected, "a byte at a time");
}

#[test]
fn a_value_without_end_is_not_buffered() {
    let open = [br#"{"rev":1,"all":true,"targets":["#.as_slice(), &vec![b' '; MAX_VALUE_BYTES]];
    assert_eq!(events(open), Err(ListTooLong));
    // No object: skipped as it comes.
    let noise = vec![b'x'; MAX_VALUE_BYTES];
    let end = format!("\n{}", list(9, true));
    assert_eq!(versions(events([&noise[..], &noise, &noise, end.as_bytes()]).expect("an end")), [9]);
}

#[test]
fn a_long_list_in_small_pieces_is_parsed_few_times() {
    let target = &list(1, true)[40..200];
    assert!(!may_end_list(target.as_bytes()), "{target}");
    assert!(may_end_list(b"}\n  ]\n}"), "its end");
    assert!(may_end_list(b"}{"), "another one behind it");
}
