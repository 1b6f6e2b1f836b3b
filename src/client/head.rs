//! Scans the bytes of request heads as a guard against request smuggling (RFC 9112, section 11.2). hyper cannot report
//! a `Content-Length` next to a `Transfer-Encoding`: it removes the header before a service sees the request.

/// Number of bytes of a header line that are stored: enough to compare it with `content-length:`.
const LINE_PREFIX: usize = 24;

/// How far a request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// Its head is not complete.
    Head,
    /// Its body has the length that the head gives, or there is none.
    PlainBody,
    /// Its body is in chunks.
    EncodedBody {
        /// Bytes received after the head.
        bytes: usize,
    },
}

/// Scans the head of the current request, byte by byte as it arrives.
#[derive(Default)]
pub(super) struct HeadScanner {
    /// The start of the current line, in lower case.
    line: Vec<u8>,
    /// A non-empty line has been read to its end.
    started: bool,
    has_content_length: bool,
    has_transfer_encoding: bool,
    complete: bool,
    /// Number of bytes that arrived after the head: the body and further requests.
    bytes_after: usize,
    /// The end of an earlier request is not certain, so the start of this head is not certain either.
    unreliable: bool,
}

impl HeadScanner {
    /// Scans the next bytes of the connection.
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
        self.has_transfer_encoding |= self.line.starts_with(b"transfer-encoding:");
        self.line.clear();
    }

    /// Returns how far the current request has been received.
    pub(super) fn progress(&self) -> RequestProgress {
        match (self.complete, self.has_transfer_encoding) {
            (false, _) => RequestProgress::Head,
            (true, false) => RequestProgress::PlainBody,
            (true, true) => RequestProgress::EncodedBody { bytes: self.bytes_after },
        }
    }

    /// Returns whether part of a head, but not all of it, has arrived.
    pub(super) fn is_partial(&self) -> bool {
        !self.complete && (self.started || !self.line.is_empty())
    }

    /// Returns whether the head certainly has no `Content-Length`, so that `Transfer-Encoding` alone delimits the body.
    pub(super) fn has_no_content_length(&self) -> bool {
        self.complete && !self.unreliable && !self.has_content_length
    }

    /// Prepares to scan the next head, after a request whose body had `body_size` bytes. Returns whether bytes of a further
    /// request have arrived.
    pub(super) fn next_request(&mut self, body_size: usize) -> bool {
        let unreliable = self.unreliable || !self.complete || self.bytes_after != body_size;
        let more_arrived = self.bytes_after > body_size;
        *self = HeadScanner { unreliable, ..HeadScanner::default() };
        more_arrived
    }
}
