//! The socket of a client connection. It times out writes to a client that does not read, and closes the connection
//! without losing a response.
use super::head::RequestProgress;
use super::limiter::{ConnectionState, Phase};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Timeout of a write. Clients read at full speed, so a client that reads nothing for this long is treated as
/// disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long input is read and discarded after the write side is shut down. A client closes its side as soon as it reads
/// the end of the stream, which takes one round trip.
pub(super) const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// The most bytes that are discarded. Bounds the work for a client that does not stop sending.
const DISCARD_LIMIT: usize = 256 * 1024;
/// Buffer size, in bytes, of each read that discards input.
const DISCARD_CHUNK: usize = 4 * 1024;

/// Reads of fewer bytes than this count as small.
const SMALL_READ_BYTES: usize = 512;
/// Number of small reads of a request that are not delayed. A client sends a request in a few writes.
const PROMPT_SMALL_READS: u32 = 16;
/// Delay of each further small read of a request: what a client writes byte by byte is read in larger pieces, so that hundreds of such
/// clients leave the processor to others.
const SMALL_READ_DELAY: Duration = Duration::from_millis(10);

/// Maximum size of a read while the head is not complete, in bytes; most requests are shorter as a whole.
const HEAD_READ_BYTES: usize = 2 * 1024;
/// Maximum size of a read of a body in chunks, in bytes. hyper parses the framing of chunks byte by byte.
const CHUNKED_READ_BYTES: usize = 1024;
/// Framing of chunks, in bytes, that is not delayed, in addition to as many bytes as the body itself has.
const PROMPT_FRAMING_BYTES: usize = 1024;
/// Delay of each read of a body that consists mostly of framing.
const FRAMING_READ_DELAY: Duration = Duration::from_millis(250);

/// Limits how much of a request is read at once, and delays the reads of one that arrives in very small pieces or consists of
/// framing, so that hundreds of such requests leave the processor to others.
#[derive(Default)]
struct ReadPacing {
    /// Small reads since the last response.
    small_reads: u32,
    /// Runs while the next read is delayed.
    delay: Option<Pin<Box<Sleep>>>,
}

impl ReadPacing {
    /// Waits until the next read may begin.
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(delay) = &mut self.delay {
            ready!(delay.as_mut().poll(cx));
            self.delay = None;
        }
        Poll::Ready(())
    }

    /// Returns the maximum size of the next read; `None` if it is not limited.
    fn read_limit(progress: RequestProgress) -> Option<usize> {
        match progress {
            RequestProgress::Head => Some(HEAD_READ_BYTES),
            RequestProgress::PlainBody => None,
            RequestProgress::EncodedBody { .. } => Some(CHUNKED_READ_BYTES),
        }
    }

    /// Records a read, and decides whether the next one is delayed.
    fn record(&mut self, bytes: usize, progress: RequestProgress, body_bytes: usize) {
        if bytes == 0 {
            return;
        }
        if let RequestProgress::EncodedBody { bytes: received } = progress {
            let is_mostly_framing = received > 2 * body_bytes + PROMPT_FRAMING_BYTES;
            let delay = if is_mostly_framing { FRAMING_READ_DELAY } else { Duration::ZERO };
            // A delay of no length still lets other tasks run.
            self.delay = Some(Box::pin(sleep(delay)));
            return;
        }
        if bytes >= SMALL_READ_BYTES {
            return;
        }
        self.small_reads += 1;
        if self.small_reads > PROMPT_SMALL_READS {
            self.delay = Some(Box::pin(sleep(SMALL_READ_DELAY)));
        }
    }

    /// Begins to count anew, after bytes of a response.
    fn reset(&mut self) {
        self.small_reads = 0;
    }
}

/// How far the socket is closed.
enum CloseState {
    Open,
    /// The write side is shut down; input is discarded.
    Discarding {
        /// When discarding stops.
        until: Pin<Box<Sleep>>,
        /// Bytes that may still be discarded.
        remaining: usize,
    },
    Closed,
}

/// A client's socket, which reports its reads and writes to the [`ConnectionState`].
pub(super) struct ClientSocket<S> {
    io: S,
    state: Arc<ConnectionState>,
    /// Runs while a write is blocked because the client does not read.
    write_timeout: Option<Pin<Box<Sleep>>>,
    read_pacing: ReadPacing,
    close: CloseState,
}

impl<S> ClientSocket<S> {
    pub(super) fn new(io: S, state: Arc<ConnectionState>) -> ClientSocket<S> {
        ClientSocket {
            io,
            state,
            write_timeout: None,
            read_pacing: ReadPacing::default(),
            close: CloseState::Open,
        }
    }

    /// Fails a write that makes no progress for [`WRITE_TIMEOUT`]. Without this limit, the responses to a client that does
    /// not read would stay in memory.
    fn limit_write_time<T>(
        &mut self, cx: &mut Context<'_>, progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
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
    /// Reads and discards input. Ready at the end of the input, at the timeout or at the limit.
    fn discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let CloseState::Discarding { until, remaining } = &mut self.close else { return Poll::Ready(()) };
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        while *remaining > 0 {
            let mut chunk = [0; DISCARD_CHUNK];
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut self.io).poll_read(cx, &mut buf));
            let size = buf.filled().len();
            if read.is_err() || size == 0 {
                break;
            }
            *remaining = remaining.saturating_sub(size);
        }
        Poll::Ready(())
    }
}

/// Reads at most `limit` bytes.
fn poll_read_some<S: AsyncRead>(
    io: Pin<&mut S>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>, limit: usize,
) -> Poll<io::Result<()>> {
    let size = limit.min(buf.remaining());
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
    let read = io.poll_read(cx, &mut part);
    let length = part.filled().len();
    buf.advance(length);
    read
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Reports the end of the stream once the write side is shut down, because a request that is read then could not
        // be answered.
        if !matches!(self.close, CloseState::Open) {
            return Poll::Ready(Ok(()));
        }
        ready!(self.read_pacing.poll_ready(cx));
        let limit = ReadPacing::read_limit(self.state.head().progress());
        let before = buf.filled().len();
        let read = match limit {
            Some(limit) => poll_read_some(Pin::new(&mut self.io), cx, buf, limit),
            None => Pin::new(&mut self.io).poll_read(cx, buf),
        };
        self.state.bytes_read(&buf.filled()[before..]);
        let progress = self.state.head().progress();
        let body_bytes = self.state.body_bytes();
        self.read_pacing.record(buf.filled().len() - before, progress, body_bytes);
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientSocket<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.state.bytes_written();
        self.read_pacing.reset();
        self.limit_write_time(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.state.bytes_written();
        self.read_pacing.reset();
        self.limit_write_time(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.limit_write_time(cx, flushed)
    }

    /// Closes the connection: shuts down the write side, then reads and discards input until the client has closed its
    /// side, [`DISCARD_TIMEOUT`] is over or [`DISCARD_LIMIT`] is reached. A close with unread input would reset the
    /// connection, and the client could lose the last response (RFC 9112, section 9.6).
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.close, CloseState::Open) {
            let shut = Pin::new(&mut self.io).poll_shutdown(cx);
            ready!(self.limit_write_time(cx, shut))?;
            self.state.enter(Phase::Closing);
            let until = Box::pin(sleep(DISCARD_TIMEOUT));
            self.close = CloseState::Discarding { until, remaining: DISCARD_LIMIT };
        }
        ready!(self.discard(cx));
        self.close = CloseState::Closed;
        Poll::Ready(Ok(()))
    }
}
