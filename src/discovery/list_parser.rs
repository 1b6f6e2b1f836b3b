//! Cuts what discovery sends into values as they come: lists, over one line or many, and the empty lines between them.
//! Works wherever the bytes are cut. What is no list is skipped, up to the end of its line; memory is bounded.
use crate::settings::EndpointListUpdate;
use serde::de::IgnoredAny;
use serde_json::{Deserializer, Error};

/// Bytes of the longest value: some ten thousand endpoints, more than any deployment has.
const MAX_VALUE_BYTES: usize = 4 << 20;
/// Bytes of a skipped value that are logged.
const MAX_LOGGED_BYTES: usize = 80;

/// What came is longer than any list.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("endpoint list longer than {MAX_VALUE_BYTES} bytes; see whether that address is discovery's")]
pub(super) struct ListTooLong;

/// One event of a watch.
pub(super) enum WatchEvent {
    /// An empty line: nothing has changed.
    KeepAlive,
    /// The list, or changes of it.
    List(EndpointListUpdate),
}

/// What one step through the bytes came to.
enum Step {
    Event(WatchEvent),
    /// Something was skipped, and more may follow.
    Skipped,
    /// Nothing more is complete.
    Incomplete,
}

/// The bytes of an answer that have not been read.
#[derive(Default)]
pub(super) struct ListParser {
    bytes: Vec<u8>,
    /// The value at the front is known to be incomplete, and nothing that may end it has come since.
    is_known_incomplete: bool,
    /// In the middle of a line that is skipped.
    is_skipping_line: bool,
}

impl ListParser {
    /// Adds bytes that have come.
    pub(super) fn push(&mut self, data: &[u8]) {
        // Guards the CPU against a long list that comes in small pieces: it is parsed once, when it may be complete, and not
        // with each of them.
        self.is_known_incomplete &= !may_end_list(data);
        self.bytes.extend_from_slice(data);
    }

    /// The next event that is complete.
    ///
    /// # Errors
    ///
    /// A value is longer than any list.
    pub(super) fn next(&mut self) -> Result<Option<WatchEvent>, ListTooLong> {
        loop {
            match self.step() {
                Step::Event(event) => return Ok(Some(event)),
                Step::Skipped => {}
                Step::Incomplete if self.bytes.len() > MAX_VALUE_BYTES => return Err(ListTooLong),
                Step::Incomplete => return Ok(None),
            }
        }
    }

    fn step(&mut self) -> Step {
        if self.is_skipping_line && !self.skip_line() {
            return Step::Incomplete;
        }
        if self.skip_whitespace() {
            return Step::Event(WatchEvent::KeepAlive);
        }
        match self.bytes.first() {
            None => Step::Incomplete,
            Some(b'{') if self.is_known_incomplete => Step::Incomplete,
            Some(b'{') => self.parse_list(),
            // A list is an object.
            Some(_) => {
                self.start_skipping_line("is no list");
                Step::Skipped
            }
        }
    }

    /// Drops white space at the front; true if a line ended in it.
    fn skip_whitespace(&mut self) -> bool {
        let length = self.bytes.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.bytes.drain(..length).any(|byte| byte == b'\n')
    }

    fn parse_list(&mut self) -> Step {
        let mut stream = Deserializer::from_slice(&self.bytes).into_iter::<EndpointListUpdate>();
        let parsed = stream.next();
        let length = stream.byte_offset();
        match parsed {
            Some(Ok(update)) => {
                self.bytes.drain(..length);
                Step::Event(WatchEvent::List(update))
            }
            Some(Err(error)) if !error.is_eof() => self.skip_object(&error),
            Some(Err(_)) | None => {
                self.is_known_incomplete = true;
                Step::Incomplete
            }
        }
    }

    /// Skips an object that is no list: all of it where it is JSON, else its line. Not before it is complete.
    fn skip_object(&mut self, error: &Error) -> Step {
        let mut stream = Deserializer::from_slice(&self.bytes).into_iter::<IgnoredAny>();
        match stream.next() {
            Some(Ok(_)) => {
                let length = stream.byte_offset();
                self.log_skipped(&error.to_string());
                self.bytes.drain(..length);
                Step::Skipped
            }
            Some(Err(e)) if e.is_eof() => {
                self.is_known_incomplete = true;
                Step::Incomplete
            }
            Some(Err(e)) => {
                self.start_skipping_line(&e.to_string());
                Step::Skipped
            }
            None => Step::Incomplete,
        }
    }

    fn start_skipping_line(&mut self, reason: &str) {
        self.log_skipped(reason);
        self.is_skipping_line = true;
    }

    /// Drops what has come of a line that is skipped; true if its end has come.
    fn skip_line(&mut self) -> bool {
        self.is_known_incomplete = false;
        let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') else {
            self.bytes.clear();
            return false;
        };
        self.bytes.drain(..=end);
        self.is_skipping_line = false;
        true
    }

    fn log_skipped(&self, reason: &str) {
        let shown = &self.bytes[..self.bytes.len().min(MAX_LOGGED_BYTES)];
        let text = String::from_utf8_lossy(shown).into_owned();
        log::warn!("discovery: ignored a value that is no endpoint list: {}: {reason}", text.trim());
    }
}

/// Whether a list may end in this piece: with a brace after which none of its arrays goes on.
fn may_end_list(piece: &[u8]) -> bool {
    let mut is_after_brace = false;
    for byte in piece.iter().filter(|byte| !byte.is_ascii_whitespace()) {
        if is_after_brace && !matches!(byte, b',' | b']') {
            return true;
        }
        is_after_brace = *byte == b'}';
    }
    // Also one of which the line feed alone is missing.
    is_after_brace
}

#[cfg(test)]
mod tests;
