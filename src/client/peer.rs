//! The TCP socket of a client, shared by its connection and by the handler of its requests, which asks whether the client is still
//! there.
//!
//! hyper notices the end of a connection by reading it, and does not read while it holds bytes of a further request. A client that has
//! sent several requests at once and closed would have them handled one after the other.
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Interval of the checks for the end of a connection on which unread bytes wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The stream of a client connection.
pub(super) struct PeerStream(Arc<TcpStream>);

/// Tells whether the client has closed its side.
#[derive(Clone)]
pub(super) struct Peer(Arc<TcpStream>);

/// Splits a socket into its stream and the handle that tells whether the client has closed.
pub(super) fn share(socket: TcpStream) -> (PeerStream, Peer) {
    let socket = Arc::new(socket);
    (PeerStream(socket.clone()), Peer(socket))
}

impl Peer {
    /// Waits until the client has closed its side or the connection is broken, also if bytes of it are unread.
    pub(super) async fn closed(&self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(CHECK_INTERVAL).await,
                Ok(_) | Err(_) => return,
            }
        }
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(length) => {
                    buf.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl PeerStream {
    /// Waits until the socket is writable and writes, again if it was not writable after all.
    fn poll_write_with(
        &self, cx: &mut Context<'_>, write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
