//! A thin wrapper round an endpoint's socket. It records what hyper does not show of an answer that it cannot parse: whether
//! anything came, and what the status line says. It reports each header line as it comes, whatever becomes of the call, and
//! shuts down the sending side of a call that is cancelled.
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

/// Bytes of each head line that are recorded; status lines and the headers of interest are shorter.
const MAX_LINE_BYTES: usize = 64;
/// How long the rest of a head is waited for after its first byte. An endpoint writes the head of an answer at once.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Called for each header line of an answer, with the answer's status code.
pub(super) type HeaderListener = Box<dyn Fn(u16, &str) + Send>;

/// What passed on a connection since its present call began.
#[derive(Default)]
struct CallState {
    /// The number of the call on this connection, from 1.
    call: u64,
    /// A byte of the call was given to the socket.
    is_written: bool,
    /// A byte of its answer has come.
    has_answer_bytes: bool,
    /// The head line that is being read.
    line: Vec<u8>,
    /// In the head of an interim (1xx) answer, which the final one follows (RFC 9110, section 15.2).
    in_interim_head: bool,
    /// The status code of the final answer; 0 where its first line is no status line of HTTP/1.
    status: Option<u16>,
    is_head_complete: bool,
    listener: Option<HeaderListener>,
    /// Bytes came before any of this call were written: they are no answer to it.
    has_unsolicited_bytes: bool,
    /// The sending side is to be shut down by the task that reads.
    is_shutdown_requested: bool,
    /// The task that reads.
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
            self.has_answer_bytes = true;
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

    /// Only what follows an interim answer is the answer itself.
    fn interim_line(&mut self, text: &str) {
        let is_end_of_head = text.is_empty();
        self.in_interim_head = !is_end_of_head;
        self.has_answer_bytes = !is_end_of_head;
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

/// The code in a status line of HTTP/1 (RFC 9112, section 4).
fn parse_status(line: &str) -> Option<u16> {
    let mut words = line.split(' ');
    let version = words.next()?;
    if !version.starts_with("HTTP/1.") {
        return None;
    }
    words.next()?.parse().ok()
}

/// What a connection and its calls share.
#[derive(Default)]
struct Shared {
    state: Mutex<CallState>,
    /// Notified whenever bytes have come.
    bytes_read: Notify,
}

/// The record of what passes on one connection.
#[derive(Clone, Default)]
pub(super) struct StreamMonitor(Arc<Shared>);

impl StreamMonitor {
    /// Starts the record of the next call on this connection; the listener is called for the header lines of its answer.
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

/// The record of one call on its connection. Once the connection carries the next call, it reads as empty.
#[derive(Clone)]
pub(super) struct CallMonitor {
    stream: StreamMonitor,
    call: u64,
}

impl CallMonitor {
    fn read(&self, field: impl Fn(&CallState) -> bool) -> bool {
        let state = self.stream.lock();
        state.call == self.call && field(&state)
    }

    /// Whether this is the first call on its connection.
    pub(super) fn is_first_on_connection(&self) -> bool {
        self.call == 1
    }

    /// Whether no byte of the call was given to the socket.
    pub(super) fn is_unwritten(&self) -> bool {
        self.read(|state| !state.is_written)
    }

    /// Whether any byte of an answer came.
    pub(super) fn has_answer_bytes(&self) -> bool {
        self.read(|state| state.has_answer_bytes)
    }

    /// Whether the status line of the answer says 200.
    pub(super) fn has_status_ok(&self) -> bool {
        self.read(|state| state.status == Some(200))
    }

    /// Shuts down the sending side, by which the endpoint learns that the call is cancelled. What it has answered by then
    /// still comes.
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

    /// Returns when nothing more needs to be known of the answer: its status line says 200, or the rest of its head has not
    /// come within [`HEAD_TIMEOUT`].
    pub(super) async fn answer_decided(&self) {
        let mut head_deadline = None;
        while !self.has_status_ok() {
            // An interim answer may set this back.
            if !self.has_answer_bytes() {
                head_deadline = None;
            } else if head_deadline.is_none() {
                head_deadline = Some(Instant::now() + HEAD_TIMEOUT);
            }
            let more = self.stream.0.bytes_read.notified();
            let Some(deadline) = head_deadline else {
                more.await;
                continue;
            };
            if timeout_at(deadline, more).await.is_err() {
                return;
            }
        }
    }
}

/// A socket with the record of what passes on it.
pub(super) struct MonitoredStream {
    io: TcpStream,
    monitor: StreamMonitor,
}

impl MonitoredStream {
    pub(super) fn new(io: TcpStream) -> MonitoredStream {
        MonitoredStream { io, monitor: StreamMonitor::default() }
    }

    /// Its record.
    pub(super) fn monitor(&self) -> StreamMonitor {
        self.monitor.clone()
    }

    /// Guards a call against a connection on which bytes came while it was idle, or which was closed meanwhile: the call would
    /// be lost on it, or would take for its answer what is none. Asks the operating system and not the runtime, which learns of
    /// it later. Nothing of the call is written then, so it has surely not run.
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

    /// Registers who reads, and returns whether the sending side is to be shut down first.
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
            // It fails on a broken connection, which the read reports as well.
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
