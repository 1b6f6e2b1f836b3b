//! Scans request heads beside hyper, which drops a `Content-Length` that stands beside a `Transfer-Encoding` before
//! anybody can see it. Guards against a request hidden in the body of another (RFC 9112, section 11.2).

/// Bytes of a header line that are kept: enough for the names that are looked for.
const NAME_KEPT: usize = 24;

/// What has been read of the present request head.
#[derive(Default)]
pub(super) struct HeadScanner {
    line: Vec<u8>,
    /// A line that is not empty has ended.
    started: bool,
    has_content_length: bool,
    complete: bool,
    /// Bytes that came behind this head.
    bytes_behind: usize,
    /// Heads came in pieces that cannot be told apart any more.
    unreliable: bool,
}

impl HeadScanner {
    /// Reads the next bytes of the connection.
    pub(super) fn scan(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.complete {
                self.bytes_behind += bytes.len() - at;
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ if self.line.len() < NAME_KEPT => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        // Empty lines ahead of a head belong to none.
        self.complete = self.started && self.line.is_empty();
        self.started |= !self.line.is_empty();
        self.has_content_length |= self.line.starts_with(b"content-length:");
        self.line.clear();
    }

    /// Whether part of a head has come, and not all of it.
    pub(super) fn is_partial(&self) -> bool {
        !self.complete && (self.started || !self.line.is_empty())
    }

    /// Whether the head names its body's length in one way only: by its transfer encoding.
    pub(super) fn has_transfer_encoding_alone(&self) -> bool {
        self.complete && !self.unreliable && !self.has_content_length
    }

    /// The request was answered, with a body of this size. Returns whether bytes of a further request have come.
    pub(super) fn next_request(&mut self, body_size: usize) -> bool {
        let unreliable = self.unreliable || !self.complete || self.bytes_behind != body_size;
        let more = self.bytes_behind > body_size;
        *self = HeadScanner { unreliable, ..HeadScanner::default() };
        more
    }
}
