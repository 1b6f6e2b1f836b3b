//! Parses the byte stream from discovery incrementally into lists, each on one line or spread over several, and the empty
//! keep-alive lines between them. The stream may be split at any byte. Input that is not a list is skipped: a JSON object as a
//! whole, anything else up to the end of its line. Memory use is bounded.
use crate::settings::EndpointListUpdate;
use serde::de::IgnoredAny;
use serde_json::{Deserializer, Error};

/// Number of bytes of a skipped value that are logged.
const MAX_LOGGED_BYTES: usize = 80;

/// A received value is longer than any list.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("endpoint list longer than {0} bytes; check limits.memory_mb, and that the setting \"discovery\" is the address of discovery")]
pub(super) struct ListTooLong(usize);

/// One event of a watch.
pub(super) enum WatchEvent {
    /// An empty line, sent while nothing changes.
    KeepAlive,
    /// The complete list, or changes to it.
    List(EndpointListUpdate),
}

/// The result of one parsing step.
enum Step {
    Event(WatchEvent),
    /// Input was skipped, and more may be buffered.
    Skipped,
    /// The buffer contains no further complete value.
    Incomplete,
}

/// An incremental parser with the received bytes that are not parsed yet.
pub(super) struct ListParser {
    max_value_bytes: usize,
    bytes: Vec<u8>,
    /// The value at the front is incomplete, and no bytes that may complete it have been added since that was found.
    is_known_incomplete: bool,
    /// The rest of the current line is skipped.
    is_skipping_line: bool,
}

impl ListParser {
    /// Creates a parser of values of at most `max_value_bytes` bytes.
    pub(super) fn new(max_value_bytes: usize) -> ListParser {
        ListParser { max_value_bytes, bytes: Vec::new(), is_known_incomplete: false, is_skipping_line: false }
    }

    /// Appends received bytes.
    pub(super) fn push(&mut self, data: &[u8]) {
        // A long list that arrives in small pieces is parsed only when it may be complete. Parsing it again after each piece
        // would waste CPU time.
        self.is_known_incomplete &= !may_end_list(data);
        self.bytes.extend_from_slice(data);
    }

    /// Returns the next event, or `None` if the buffer contains no complete value.
    ///
    /// # Errors
    ///
    /// Returns [`ListTooLong`] if an incomplete value exceeds the maximum size.
    pub(super) fn next(&mut self) -> Result<Option<WatchEvent>, ListTooLong> {
        loop {
            match self.step() {
                Step::Event(event) => return Ok(Some(event)),
                Step::Skipped => {}
                Step::Incomplete if self.bytes.len() > self.max_value_bytes => {
                    return Err(ListTooLong(self.max_value_bytes));
                }
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
            Some(_) => {
                self.start_skipping_line("expected a JSON object");
                Step::Skipped
            }
        }
    }

    /// Removes whitespace at the front. Returns whether it contained a line feed.
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

    /// Skips an object that is not a list, once it is complete. Skips the whole object if it is valid JSON, otherwise the rest
    /// of its line.
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

    /// Removes the buffered part of a line that is skipped. Returns whether the end of the line was reached.
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
        log::warn!("discovery: ignored a value that is not an endpoint list: {}: {reason}", text.trim());
    }
}

/// Returns whether a list may end in this piece: whether it contains a closing brace that is not followed by `,` or `]`, which
/// would continue or end one of the list's arrays.
fn may_end_list(piece: &[u8]) -> bool {
    let mut is_after_brace = false;
    for byte in piece.iter().filter(|byte| !byte.is_ascii_whitespace()) {
        if is_after_brace && !matches!(byte, b',' | b']') {
            return true;
        }
        is_after_brace = *byte == b'}';
    }
    // A brace at the end of the piece may be the last byte of a list before its line feed.
    is_after_brace
}

#[cfg(test)]
mod tests;
