//! What discovery says, cut into values as they come: lists, over one line or many, and the empty lines between them.
//! Whole at any cut of the bytes. What is no list is passed over, up to the end of its line; memory is bounded.
use crate::settings::EndpointListUpdate;
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
    List(EndpointListUpdate),
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
            let mut stream = Deserializer::from_slice(&self.bytes).into_iter::<EndpointListUpdate>();
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
mod tests;
