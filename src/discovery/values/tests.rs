//! What is said, cut anywhere.
use super::*;
use proptest::prelude::*;
use rstest::rstest;

/// All that is said when the text comes in these pieces.
fn said<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<Option<u64>>, Endless> {
    let (mut values, mut said) = (Values::default(), Vec::new());
    for piece in pieces {
        values.push(piece);
        while let Some(one) = values.next()? {
            said.push(match one {
                Said::Nothing => None,
                Said::List(update) => Some(update.revision),
            });
        }
        assert!(values.bytes.len() <= VALUE_MOST + piece.len(), "{} bytes are kept", values.bytes.len());
    }
    Ok(said)
}

fn revs(said: Vec<Option<u64>>) -> Vec<u64> {
    said.into_iter().flatten().collect()
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
    fn lists_are_whole_at_any_cut_indented_or_not_and_with_noise_between(
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
        prop_assert_eq!(revs(said(pieces).expect("an end")), expected);
    }
}

#[rstest]
#[case::glued(format!("{}{}", list(1, false), list(2, true)), vec![1, 2])]
#[case::half_then_whole(format!("{}\n{}\n", &list(1, false)[..60], list(2, false)), vec![2])]
#[case::half_indented_then_whole(format!("{}\n{}\n", &list(1, true)[..60], list(2, true)), vec![2])]
#[case::a_field_too_many(list(3, true).replacen("\"rev\"", "\"more\": [{}], \"rev\"", 1) + "\n", vec![3])]
#[case::no_text(format!("\u{feff}\n{}", list(4, false)), vec![4])]
fn odd_texts(#[case] text: String, #[case] expected: Vec<u64>) {
    assert_eq!(revs(said([text.as_bytes()]).expect("an end")), expected);
    assert_eq!(revs(said(text.as_bytes().chunks(1)).expect("an end")), expected, "a byte at a time");
}

#[test]
fn what_never_ends_is_not_kept() {
    let open = [br#"{"rev":1,"all":true,"targets":["#.as_slice(), &vec![b' '; VALUE_MOST]];
    assert_eq!(said(open), Err(Endless));
    // No object: passed over as it comes.
    let noise = vec![b'x'; VALUE_MOST];
    let end = format!("\n{}", list(9, true));
    assert_eq!(revs(said([&noise[..], &noise, &noise, end.as_bytes()]).expect("an end")), [9]);
}

#[test]
fn a_long_list_in_small_pieces_is_read_few_times() {
    let target = &list(1, true)[40..200];
    assert!(!may_end(target.as_bytes()), "{target}");
    assert!(may_end(b"}\n  ]\n}"), "its end");
    assert!(may_end(b"}{"), "another one behind it");
}
