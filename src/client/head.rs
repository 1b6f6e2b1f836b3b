//! Scans request heads in parallel with hyper, which removes a `Content-Length` beside a `Transfer-Encoding` before a
//! service can see it. Guards against request smuggling (RFC 9112, section 11.2).

/// Bytes of a header line that are stored: enough for the one name that is compared.
const LINE_PREFIX: usize = 24;

/// What has arrived of the present request head.
#[derive(Default)]
pub(super) struct HeadScanner {
    line: Vec<u8>,
    /// A line that is not empty has ended.
    started: bool,
    has_content_length: bool,
    complete: bool,
    /// Bytes that arrived after the head: its body, and further requests.
    bytes_after: usize,
    /// The end of an earlier request is not certain, so neither is the start of this head.
    unreliable: bool,
}

impl HeadScanner {
    /// Reads the next bytes of the connection.
    pub(super) fn scan(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.complete {
                self.bytes_after += bytes.len() - at;
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ if self.line.len() < LINE_PREFIX => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        // Empty lines before a request line are ignored (RFC 9112, section 2.2).
        self.complete = self.started && self.line.is_empty();
        self.started |= !self.line.is_empty();
        self.has_content_length |= self.line.starts_with(b"content-length:");
        self.line.clear();
    }

    /// Whether part of a head has arrived, and not all of it.
    pub(super) fn is_partial(&self) -> bool {
        !self.complete && (self.started || !self.line.is_empty())
    }

    /// Whether the head certainly has no `Content-Length`, so that its `Transfer-Encoding` alone delimits the body.
    pub(super) fn has_transfer_encoding_alone(&self) -> bool {
        self.complete && !self.unreliable && !self.has_content_length
    }

    /// Prepares for the next head after a request whose body had this size. Returns whether bytes of a further request have
    /// arrived.
    pub(super) fn next_request(&mut self, body_size: usize) -> bool {
        let unreliable = self.unreliable || !self.complete || self.bytes_after != body_size;
        let more_arrived = self.bytes_after > body_size;
        *self = HeadScanner { unreliable, ..HeadScanner::default() };
        more_arrived
    }
}
