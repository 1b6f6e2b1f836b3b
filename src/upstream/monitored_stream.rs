//! A wrapper around the socket of a connection to an endpoint. It records what hyper does not expose of a response that it cannot
//! parse: whether any bytes arrived, and the status code. It reports each header line on arrival, regardless of the outcome of
//! the call, and shuts down the sending side when a call is cancelled.
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// Number of bytes of each head line that are recorded. The relevant status lines and headers are shorter.
const MAX_LINE_BYTES: usize = 64;
/// How long to wait for the rest of a response head after its first byte. Endpoints write the head at once.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// A callback for each header line of a response. Its first argument is the status code of the response.
pub(super) type HeaderListener = Box<dyn Fn(u16, &str) + Send>;

/// The state of the current call on a connection.
#[derive(Default)]
struct CallState {
    /// The number of the call on this connection, from 1.
    call: u64,
    /// Whether a byte of the call was passed to the socket.
    is_written: bool,
    /// Whether a byte of the response has arrived, not counting interim responses that are complete.
    has_response_bytes: bool,
    /// The received part of the current head line.
    line: Vec<u8>,
    /// Whether the current line belongs to an interim (1xx) response, which the final one follows (RFC 9110, section 15.2).
    in_interim_head: bool,
    /// The status code of the final response, or 0 if its first line is not an HTTP/1 status line.
    status: Option<u16>,
    is_head_complete: bool,
    listener: Option<HeaderListener>,
    /// Whether bytes arrived before the first byte of the call was written. They cannot be a response to it.
    has_unsolicited_bytes: bool,
    /// Whether the reading task must shut down the sending side.
    is_shutdown_requested: bool,
    /// Wakes the reading task.
    reader: Option<Waker>,
}

impl CallState {
    fn read(&mut self, bytes: &[u8]) {
        if !self.is_written {
            self.has_unsolicited_bytes = true;
            return;
        }
        for byte in bytes {
            if self.is_head_complete {
                return;
            }
            self.has_response_bytes = true;
            match byte {
                b'\n' => self.end_line(),
                _ if self.line.len() < MAX_LINE_BYTES => self.line.push(*byte),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&line).unwrap_or_default().trim_end();
        if self.in_interim_head {
            self.interim_line(text);
        } else if let Some(status) = self.status {
            self.header_line(status, text);
        } else if !text.is_empty() {
            self.status_line(text);
        }
    }

    /// Handles a line of an interim response. Once its head is complete, its bytes no longer count as response bytes.
    fn interim_line(&mut self, text: &str) {
        let is_end_of_head = text.is_empty();
        self.in_interim_head = !is_end_of_head;
        self.has_response_bytes = !is_end_of_head;
    }

    fn header_line(&mut self, status: u16, text: &str) {
        self.is_head_complete = text.is_empty();
        if let Some(listener) = &self.listener {
            listener(status, text);
        }
    }

    fn status_line(&mut self, text: &str) {
        let status = parse_status(text).unwrap_or(0);
        if (100..200).contains(&status) {
            self.in_interim_head = true;
        } else {
            self.status = Some(status);
        }
    }
}

/// Parses the status code of an HTTP/1 status line (RFC 9112, section 4).
fn parse_status(line: &str) -> Option<u16> {
    let mut words = line.split(' ');
    let version = words.next()?;
    if !version.starts_with("HTTP/1.") {
        return None;
    }
    words.next()?.parse().ok()
}

/// The state shared by a connection and the monitors of its calls.
#[derive(Default)]
struct Shared {
    state: Mutex<CallState>,
    /// Notified whenever bytes have been read.
    bytes_read: Notify,
}

/// Monitors the bytes on one connection.
#[derive(Clone, Default)]
pub(super) struct StreamMonitor(Arc<Shared>);

impl StreamMonitor {
    /// Starts to monitor the next call on this connection. Calls the listener for each header line of the response.
    pub(super) fn start_call(&self, listener: HeaderListener) -> CallMonitor {
        let mut state = self.lock();
        let call = state.call + 1;
        let reader = state.reader.take();
        *state = CallState { call, reader, listener: Some(listener), ..CallState::default() };
        CallMonitor { stream: self.clone(), call }
    }

    fn lock(&self) -> MutexGuard<'_, CallState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Monitors one call. Once the connection carries the next call, the recorded state of this one reads as `false`.
#[derive(Clone)]
pub(super) struct CallMonitor {
    stream: StreamMonitor,
    call: u64,
}

impl CallMonitor {
    fn query(&self, predicate: impl Fn(&CallState) -> bool) -> bool {
        let state = self.stream.lock();
        state.call == self.call && predicate(&state)
    }

    /// Returns whether this is the first call on its connection.
    pub(super) fn is_first_on_connection(&self) -> bool {
        self.call == 1
    }

    /// Returns whether no byte of the call was passed to the socket.
    pub(super) fn is_unwritten(&self) -> bool {
        self.query(|state| !state.is_written)
    }

    /// Returns whether any byte of a response has arrived, not counting interim responses that are complete.
    pub(super) fn has_response_bytes(&self) -> bool {
        self.query(|state| state.has_response_bytes)
    }

    /// Returns whether the status code of the final response is 200.
    pub(super) fn has_status_ok(&self) -> bool {
        self.query(|state| state.status == Some(200))
    }

    /// Shuts down the sending side, which signals the cancellation of the call to the endpoint. A response that the endpoint has
    /// already sent can still be read.
    pub(super) fn cancel(&self) {
        let mut state = self.stream.lock();
        if state.call != self.call {
            return;
        }
        state.is_shutdown_requested = true;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    /// Waits until the outcome can be decided without the complete head: either the status code is 200, or the rest of the head
    /// has not arrived within [`HEAD_TIMEOUT`] after its first byte.
    pub(super) async fn outcome_decided(&self) {
        let mut head_deadline = None;
        while !self.has_status_ok() {
            // The end of an interim response resets `has_response_bytes`.
            if !self.has_response_bytes() {
                head_deadline = None;
            } else if head_deadline.is_none() {
                head_deadline = Some(Instant::now() + HEAD_TIMEOUT);
            }
            let bytes_read = self.stream.0.bytes_read.notified();
            let Some(deadline) = head_deadline else {
                bytes_read.await;
                continue;
            };
            if timeout_at(deadline, bytes_read).await.is_err() {
                return;
            }
        }
    }
}

/// A socket whose traffic is monitored.
pub(super) struct MonitoredStream {
    io: TcpStream,
    monitor: StreamMonitor,
}

impl MonitoredStream {
    pub(super) fn new(io: TcpStream) -> MonitoredStream {
        MonitoredStream { io, monitor: StreamMonitor::default() }
    }

    /// Returns the monitor of this stream.
    pub(super) fn monitor(&self) -> StreamMonitor {
        self.monitor.clone()
    }

    /// Rejects the first write of a call if bytes arrived while the connection was idle or if the endpoint has closed it. On such
    /// a connection the call could be lost, or the unsolicited bytes could be mistaken for its response. Peeks at the socket,
    /// because the runtime may not have noticed the event yet. On rejection no byte of the call is written, so the call has not
    /// run.
    fn check_before_first_byte(&self) -> io::Result<()> {
        let mut state = self.monitor.lock();
        if state.is_written {
            return Ok(());
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.io).peek(&mut byte);
        let is_quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        if state.has_unsolicited_bytes || !is_quiet {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.is_written = true;
        Ok(())
    }

    /// Registers the reading task. Returns whether the task must shut down the sending side first.
    fn register_reader(&self, cx: &Context<'_>) -> bool {
        let mut state = self.monitor.lock();
        state.reader = Some(cx.waker().clone());
        state.is_shutdown_requested
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.register_reader(cx) {
            // Fails on a broken connection, which the following read reports as well.
            let _ = ready!(Pin::new(&mut self.io).poll_shutdown(cx));
            self.monitor.lock().is_shutdown_requested = false;
        }
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.monitor.lock().read(&buf.filled()[filled_before..]);
            self.monitor.0.bytes_read.notify_one();
        }
        result
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_before_first_byte()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_first_byte()?;
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
