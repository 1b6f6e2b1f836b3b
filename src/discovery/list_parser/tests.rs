//! Tests of the list parser with streams that are split at arbitrary bytes.
use super::*;
use proptest::prelude::*;
use rstest::rstest;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// Parses a stream that arrives in these pieces. Returns the version of each list, and `None` for each keep-alive.
fn events<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<Option<u64>>, ListTooLong> {
    let mut parser = ListParser::new(MAX_VALUE_BYTES);
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
    fn parses_all_lists_for_any_split_indentation_and_noise_between_them(
        parts in prop::collection::vec(0..7u8, 1..8), piece_lengths in prop::collection::vec(1..200usize, 1..12),
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
        let (mut pieces, mut remaining, mut index) = (Vec::new(), text.as_bytes(), 0);
        while !remaining.is_empty() {
            let length = piece_lengths[index % piece_lengths.len()].min(remaining.len());
            let (piece, after) = remaining.split_at(length);
            pieces.push(piece);
            (remaining, index) = (after, index + 1);
        }
        prop_assert_eq!(versions(events(pieces).expect("lists within the size limit")), expected);
    }
}

#[rstest]
#[case::no_line_feed_between(format!("{}{}", list(1, false), list(2, true)), vec![1, 2])]
#[case::truncated_then_complete(format!("{}\n{}\n", &list(1, false)[..60], list(2, false)), vec![2])]
#[case::truncated_indented_then_complete(format!("{}\n{}\n", &list(1, true)[..60], list(2, true)), vec![2])]
#[case::unknown_field(list(3, true).replacen("\"rev\"", "\"more\": [{}], \"rev\"", 1) + "\n", vec![3])]
#[case::byte_order_mark(format!("\u{feff}\n{}", list(4, false)), vec![4])]
fn parses_lists_in_unusual_streams(#[case] text: String, #[case] expected: Vec<u64>) {
    assert_eq!(versions(events([text.as_bytes()]).expect("lists within the size limit")), expected);
    let byte_by_byte = events(text.as_bytes().chunks(1)).expect("lists within the size limit");
    assert_eq!(versions(byte_by_byte), expected, "one byte at a time");
}

#[test]
fn rejects_an_endless_object_and_skips_an_endless_line_without_buffering_it() {
    let endless_object = [br#"{"rev":1,"all":true,"targets":["#.as_slice(), &vec![b' '; MAX_VALUE_BYTES]];
    assert_eq!(events(endless_object), Err(ListTooLong(MAX_VALUE_BYTES)));
    // Not an object, so each piece is skipped when it arrives.
    let noise = vec![b'x'; MAX_VALUE_BYTES];
    let end = format!("\n{}", list(9, true));
    let events = events([&noise[..], &noise, &noise, end.as_bytes()]).expect("lists within the size limit");
    assert_eq!(versions(events), [9]);
}

#[test]
fn a_piece_from_the_middle_of_a_list_does_not_trigger_parsing() {
    let target = &list(1, true)[40..200];
    assert!(!may_end_list(target.as_bytes()), "{target}");
    assert!(may_end_list(b"}\n  ]\n}"), "the end of a list");
    assert!(may_end_list(b"}{"), "a list directly followed by another");
}
