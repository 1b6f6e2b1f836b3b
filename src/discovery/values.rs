//! What discovery says, cut into values as they come: lists, over one line or many, and the empty lines between them.
//! Whole at any cut of the bytes. What is no list is passed over, up to the end of its line; memory is bounded.
use crate::settings::GroupUpdate;
use serde::de::IgnoredAny;
use serde_json::{Deserializer, Error};

/// A longer value is no list of any deployment: some ten thousand endpoints.
const VALUE_MOST: usize = 4 << 20;
/// What is passed over is logged so far.
const SHOWN: usize = 80;

#[derive(Debug, PartialEq, thiserror::Error)]
#[error("a list without end: over {VALUE_MOST} bytes; is that address discovery's?")]
pub struct Endless;

/// One thing that was said.
pub enum Said {
    /// Nothing has changed.
    Nothing,
    List(GroupUpdate),
}

/// The bytes of an answer, of which so much has been read.
#[derive(Default)]
pub struct Values {
    bytes: Vec<u8>,
    /// The value at the front is known to be incomplete, and nothing that may end it has come since.
    partial: bool,
    /// In the midst of a line that is passed over.
    noise: bool,
}

impl Values {
    pub fn push(&mut self, data: &[u8]) {
        // Guards the CPU against a long list that comes in small pieces: it is read once, when it may be whole, and
        // not with each of them.
        self.partial &= !may_end(data);
        self.bytes.extend_from_slice(data);
    }

    /// The next thing that is whole.
    pub fn next(&mut self) -> Result<Option<Said>, Endless> {
        loop {
            if self.noise && !self.pass_line() {
                return Ok(None);
            }
            let blank = self.bytes.iter().take_while(|b| b.is_ascii_whitespace()).count();
            if self.bytes.drain(..blank).any(|b| b == b'\n') {
                return Ok(Some(Said::Nothing));
            }
            match self.bytes.first() {
                None => return Ok(None),
                Some(b'{') if self.partial => return self.more(),
                Some(b'{') => {}
                // A list is an object.
                Some(_) => {
                    self.pass_over("is no list");
                    continue;
                }
            }
            let mut stream = Deserializer::from_slice(&self.bytes).into_iter::<GroupUpdate>();
            let read = stream.next();
            let size = stream.byte_offset();
            match read {
                Some(Ok(update)) => {
                    self.bytes.drain(..size);
                    return Ok(Some(Said::List(update)));
                }
                Some(Err(fault)) if !fault.is_eof() => {
                    if !self.pass_value(&fault) {
                        return self.more();
                    }
                }
                Some(Err(_)) | None => {
                    self.partial = true;
                    return self.more();
                }
            }
        }
    }

    fn more(&self) -> Result<Option<Said>, Endless> {
        if self.bytes.len() > VALUE_MOST {
            return Err(Endless);
        }
        Ok(None)
    }

    /// Passes over an object that is no list: all of it where it can be read, else its line. Not before it is whole.
    fn pass_value(&mut self, fault: &Error) -> bool {
        let mut stream = Deserializer::from_slice(&self.bytes).into_iter::<IgnoredAny>();
        match stream.next() {
            Some(Ok(_)) => {
                let size = stream.byte_offset();
                self.log(&fault.to_string());
                self.bytes.drain(..size);
            }
            Some(Err(e)) if e.is_eof() => {
                self.partial = true;
                return false;
            }
            Some(Err(e)) => self.pass_over(&e.to_string()),
            None => return false,
        }
        true
    }

    fn pass_over(&mut self, why: &str) {
        self.log(why);
        self.noise = true;
    }

    /// Drops what is left of a line that is passed over; true if its end has come.
    fn pass_line(&mut self) -> bool {
        let end = self.bytes.iter().position(|b| *b == b'\n');
        self.bytes.drain(..end.map_or(self.bytes.len(), |e| e + 1));
        (self.noise, self.partial) = (end.is_none(), false);
        end.is_some()
    }

    fn log(&self, why: &str) {
        let text = String::from_utf8_lossy(&self.bytes[..self.bytes.len().min(SHOWN)]).into_owned();
        log::warn!("discovery: passed over a value that is no list: {}: {why}", text.trim());
    }
}

/// Whether a list may end in this piece: with a brace behind which none of its lists goes on.
fn may_end(piece: &[u8]) -> bool {
    let mut last = false;
    for byte in piece.iter().filter(|b| !b.is_ascii_whitespace()) {
        if last && !matches!(byte, b',' | b']') {
            return true;
        }
        last = *byte == b'}';
    }
    // Also one whose line feed is all that is missing.
    last
}

#[cfg(test)]
mod tests {
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
                    Said::List(update) => Some(update.rev),
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
}
