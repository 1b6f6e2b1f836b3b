//! A thin wrapper round an endpoint's socket. It keeps what hyper does not show of an answer that it cannot
//! read: whether anything came, and what the first line says. It passes on each line of a head as it comes, whatever
//! becomes of the call, and ends the sending of a call that is given up.
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

/// A line of a head is kept so far.
const LINE_MOST: usize = 64;
/// An endpoint writes the head of an answer at once. So long after its first byte, the rest is not waited for.
const HEAD_FOR: Duration = Duration::from_millis(300);

/// Hears the lines of an answer's head, each with the answer's status.
pub type Listener = Box<dyn Fn(u16, &str) + Send>;

/// What passed on a connection since its present call began.
#[derive(Default)]
struct Passed {
    call: u64,
    written: bool,
    heard: bool,
    line: Vec<u8>,
    /// In the head of a 1xx answer: the next one counts.
    ahead: bool,
    status: Option<u16>,
    /// The head has ended.
    whole: bool,
    listener: Option<Listener>,
    /// Bytes came before any of this call were written: they are no answer to it.
    stale: bool,
    /// The sending is to be ended; and who waits to read.
    ending: bool,
    reader: Option<Waker>,
}

#[derive(Clone, Default)]
pub struct Tap(Arc<(Mutex<Passed>, Notify)>);

/// One call's view of its connection.
#[derive(Clone)]
pub struct Watch {
    tap: Tap,
    call: u64,
}

pub struct Tapped {
    io: TcpStream,
    tap: Tap,
}

impl Tap {
    /// Watches the next call on this connection, of whose answer this hears.
    pub fn watch(&self, listener: Listener) -> Watch {
        let mut passed = self.passed();
        let (call, reader) = (passed.call + 1, passed.reader.take());
        *passed = Passed { call, reader, listener: Some(listener), ..Passed::default() };
        Watch { tap: self.clone(), call: passed.call }
    }

    fn passed(&self) -> MutexGuard<'_, Passed> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Passed {
    fn read(&mut self, bytes: &[u8]) {
        if !self.written {
            self.stale = true;
            return;
        }
        for byte in bytes {
            if self.whole {
                return;
            }
            self.heard = true;
            match byte {
                b'\n' => self.end_line(),
                _ if self.line.len() < LINE_MOST => self.line.push(*byte),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let text = std::str::from_utf8(&line).unwrap_or_default().trim_end();
        if self.ahead {
            // Only what comes behind a 1xx answer is the answer itself.
            (self.ahead, self.heard) = (!text.is_empty(), !text.is_empty());
        } else if let Some(status) = self.status {
            self.whole = text.is_empty();
            self.listener.iter().for_each(|hear| hear(status, text));
        } else if !text.is_empty() {
            let version = text.split(' ').next().filter(|v| v.starts_with("HTTP/1."));
            let status = version.and_then(|_| text.split(' ').nth(1)?.parse().ok()).unwrap_or(0);
            self.ahead = (100..200).contains(&status);
            self.status = Some(status).filter(|_| !self.ahead);
        }
    }
}

impl Watch {
    fn look<T: Default>(&self, at: impl Fn(&Passed) -> T) -> T {
        Some(self.tap.passed()).filter(|p| p.call == self.call).map(|p| at(&p)).unwrap_or_default()
    }

    /// Whether this is the first call on its connection.
    pub fn is_first(&self) -> bool {
        self.call == 1
    }

    /// Whether no byte of the call was given to the socket.
    pub fn unsent(&self) -> bool {
        self.look(|p| !p.written)
    }

    /// Whether anything of an answer came.
    pub fn heard(&self) -> bool {
        self.look(|p| p.heard)
    }

    /// Whether the answer's first line says 200.
    pub fn says_ok(&self) -> bool {
        self.look(|p| p.status == Some(200))
    }

    /// Ends the sending, by which the endpoint knows that the call is given up. What it has said by then still comes.
    pub fn give_up(&self) {
        let mut passed = self.tap.passed();
        if passed.call == self.call {
            passed.ending = true;
            passed.reader.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Returns when nothing more needs to be known of the answer: its first line says 200, or its head should
    /// have come long ago.
    pub async fn settled(&self) {
        let mut late = None;
        while !self.says_ok() {
            late = self.heard().then(|| late.unwrap_or_else(|| Instant::now() + HEAD_FOR));
            let more = self.tap.0 .1.notified();
            let Some(at) = late else {
                more.await;
                continue;
            };
            if timeout_at(at, more).await.is_err() {
                return;
            }
        }
    }
}

impl Tapped {
    pub fn new(io: TcpStream) -> Tapped {
        Tapped { io, tap: Tap::default() }
    }

    pub fn tap(&self) -> Tap {
        self.tap.clone()
    }
}

impl AsyncRead for Tapped {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let ending = {
            let mut passed = self.tap.passed();
            passed.reader = Some(cx.waker().clone());
            passed.ending
        };
        if ending {
            // It has failed on a connection that is broken, which the read says as well.
            let _ = ready!(Pin::new(&mut self.io).poll_shutdown(cx));
            self.tap.passed().ending = false;
        }
        let before = buf.filled().len();
        let done = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.tap.passed().read(&buf.filled()[before..]);
            self.tap.0 .1.notify_one();
        }
        done
    }
}

impl Tapped {
    /// Guards a call against a connection on which something came while it stood idle, or which was closed meanwhile: the
    /// call would be lost on it, or take for its answer what is none. Asked of the operating system and not of the runtime,
    /// which hears of it later. Nothing of the call is written then, so it has surely not run.
    fn before_first_byte(&self) -> io::Result<()> {
        let mut passed = self.tap.passed();
        if passed.written {
            return Ok(());
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.io).peek(&mut byte);
        let is_quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        if passed.stale || !is_quiet {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        passed.written = true;
        Ok(())
    }
}

impl AsyncWrite for Tapped {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.before_first_byte()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_first_byte()?;
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
