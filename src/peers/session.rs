//! Sessions between two forwarders over one connection. A subscriber connects to a publisher and receives its
//! observations; a client authenticates itself or reads the view of the fleet. This module and its submodules contain only
//! the I/O: `publish` selects the observations to send, `frame` encodes them, and `aggregation` evaluates the received ones.
//! Each side closes a session with a silent, slow or misbehaving peer; the forwarder never waits for a session.
mod client;
mod publisher;
mod subscriber;

pub use client::{authenticate, watch_view, WatchControl};
pub use publisher::publish;
pub use subscriber::subscribe;

use super::error::{CloseReason, RejectReason, SessionEnd};
use super::frame::{self, FrameReader, MemberIdentity, Message};
use crate::fleet::gossip::FleetHandle;
use crate::fleet::member::Member;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{timeout, Instant};

/// Time without a message after which a peer is considered dead: six heartbeat intervals, so that a few heartbeats may be
/// late.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the TLS handshake, and separately of the peer's hello. Limits how long a silent connection occupies one of
/// the concurrent sessions.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for writing one message, so that a peer that does not read cannot block a task.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum burst that a peer may send, in bytes. The snapshot of a thousand endpoints during an outage is a tenth of it.
const RECEIVE_BURST_BYTES: f64 = 2e6;
/// Average rate at which a peer may send, in bytes per second.
const RECEIVE_BYTES_PER_SECOND: f64 = 256e3;
/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Identity that this forwarder sends in its hello.
#[derive(Clone)]
pub struct LocalIdentity {
    /// This forwarder's name.
    pub name: String,
    /// This forwarder's group; sessions with peers of another group are rejected.
    pub group: String,
    /// Handle to the fleet; `None` for a client, which is not a member.
    pub fleet: Option<FleetHandle>,
}

impl LocalIdentity {
    fn hello(&self) -> Message {
        let local = self.fleet.as_ref().and_then(|fleet| fleet.known_members.borrow().local.clone());
        let member = local.map(|m| MemberIdentity { address: m.address, incarnation: m.incarnation });
        Message::Hello { name: self.name.clone(), group: self.group.clone(), member }
    }

    /// Marks the peer as authenticated in the fleet. Only authenticated members are counted.
    async fn mark_authenticated(&self, peer: &RemoteIdentity) {
        if let (Some(fleet), Some(MemberIdentity { address, incarnation })) = (&self.fleet, peer.member) {
            fleet.mark_authenticated(Member { address, name: peer.name.clone(), incarnation }).await;
        }
    }
}

/// Identity that the peer sent in its hello.
#[derive(Debug, PartialEq)]
struct RemoteIdentity {
    name: String,
    member: Option<MemberIdentity>,
}

/// Reads messages and limits the peer's sending rate with a token bucket (one token for each byte).
struct MessageReader<R> {
    stream: R,
    frames: FrameReader,
    buffer: Box<[u8]>,
    /// Number of bytes that the peer may send, as of `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    fn new(stream: R) -> MessageReader<R> {
        MessageReader {
            stream,
            frames: FrameReader::default(),
            buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            tokens: RECEIVE_BURST_BYTES,
            refilled_at: Instant::now(),
        }
    }

    /// Returns the next message. Cancel safe: a partial frame stays buffered.
    async fn next(&mut self) -> Result<Message, SessionEnd> {
        loop {
            if let Some(message) = self.frames.next_message().map_err(RejectReason::Frame)? {
                return Ok(message);
            }
            let read = self.stream.read(&mut self.buffer).await?;
            if read == 0 {
                return Err(CloseReason::ClosedByPeer.into());
            }
            self.consume_tokens(read)?;
            self.frames.push(&self.buffer[..read]);
        }
    }

    /// Consumes a token for each received byte; rejects the peer if there are not enough.
    fn consume_tokens(&mut self, bytes: usize) -> Result<(), RejectReason> {
        let now = Instant::now();
        self.tokens += (now - self.refilled_at).as_secs_f64() * RECEIVE_BYTES_PER_SECOND - bytes as f64;
        self.tokens = self.tokens.min(RECEIVE_BURST_BYTES);
        self.refilled_at = now;
        if self.tokens < 0.0 {
            return Err(RejectReason::ReceiveRateExceeded);
        }
        Ok(())
    }

    /// Reads the peer's hello, which must be its first message and of the same group.
    async fn read_hello(&mut self, local: &LocalIdentity) -> Result<RemoteIdentity, SessionEnd> {
        let Ok(message) = timeout(HELLO_TIMEOUT, self.next()).await else {
            return Err(CloseReason::HelloTimeout.into());
        };
        match message? {
            Message::Hello { name, group, member } if group == local.group => {
                Ok(RemoteIdentity { name, member })
            }
            Message::Hello { group, .. } => Err(RejectReason::OtherGroup(group).into()),
            Message::ViewRequest | Message::ViewPart { .. } | Message::Ping(_) | Message::Observations(_) => {
                Err(RejectReason::NoHello.into())
            }
        }
    }
}

/// Writes one message and flushes it.
async fn write_message<W: AsyncWrite + Unpin>(writer: &mut W, message: &Message) -> Result<(), SessionEnd> {
    let bytes = frame::encode(message);
    let write = async {
        writer.write_all(&bytes).await?;
        writer.flush().await
    };
    match timeout(WRITE_TIMEOUT, write).await {
        Ok(written) => Ok(written?),
        Err(_) => Err(CloseReason::WriteTimeout.into()),
    }
}

#[cfg(test)]
mod tests;
