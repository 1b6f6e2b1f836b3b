//! The socket of a client connection: bounds how long a client may take to read, and closes in an order in which no
//! answer is lost.
use super::limiter::{ConnectionState, Phase};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Clients read at full speed. One that takes nothing of its answer for so long is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long input is read and discarded after the write side was shut. A client that is there closes its side as soon as
/// it has seen the end: one round trip.
pub(super) const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// How many bytes are discarded at most. Bounds the work for a client that goes on sending.
const DISCARD_LIMIT: usize = 256 * 1024;
const DISCARD_CHUNK: usize = 4 * 1024;

/// How far the closing of a socket has come.
enum CloseProgress {
    Open,
    /// The write side is shut; input is discarded until its end, or until this time.
    Discarding {
        until: Pin<Box<Sleep>>,
        left: usize,
    },
    Closed,
}

/// A client's socket.
pub(super) struct ClientSocket<S> {
    io: S,
    state: Arc<ConnectionState>,
    /// Runs while the client takes nothing.
    write_timeout: Option<Pin<Box<Sleep>>>,
    close: CloseProgress,
}

impl<S> ClientSocket<S> {
    pub(super) fn new(io: S, state: Arc<ConnectionState>) -> ClientSocket<S> {
        ClientSocket { io, state, write_timeout: None, close: CloseProgress::Open }
    }

    /// Guards against clients that do not read: their answers would be kept for good.
    fn bound_write<T>(&mut self, cx: &mut Context<'_>, progress: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.write_timeout = None;
            return progress;
        }
        let timeout = self.write_timeout.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timeout.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> ClientSocket<S> {
    /// Reads and discards input; ready at its end, at the time-out or at the limit.
    fn discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let CloseProgress::Discarding { until, left } = &mut self.close else { return Poll::Ready(()) };
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        while *left > 0 {
            let mut chunk = [0; DISCARD_CHUNK];
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut self.io).poll_read(cx, &mut buf));
            let size = buf.filled().len();
            if read.is_err() || size == 0 {
                break;
            }
            *left = left.saturating_sub(size);
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Guards against a request that is read after the write side was shut: it could not be answered.
        if !matches!(self.close, CloseProgress::Open) {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        self.state.bytes_read(&buf.filled()[before..]);
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientSocket<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.state.bytes_written();
        self.bound_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.state.bytes_written();
        self.bound_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.bound_write(cx, flushed)
    }

    /// The one way in which a client connection is closed: the write side is shut, then input is read and discarded until
    /// the client has closed its side or a short time is over. Guards the last answer: a close over input that was not
    /// read resets the connection (RFC 9112, section 9.6).
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.close, CloseProgress::Open) {
            let shut = Pin::new(&mut self.io).poll_shutdown(cx);
            ready!(self.bound_write(cx, shut))?;
            self.state.enter(Phase::Closing);
            let until = Box::pin(sleep(DISCARD_TIMEOUT));
            self.close = CloseProgress::Discarding { until, left: DISCARD_LIMIT };
        }
        ready!(self.discard(cx));
        self.close = CloseProgress::Closed;
        Poll::Ready(Ok(()))
    }
}
