//! One connection between two forwarders. A subscriber connects to a publisher and receives its observations; a client
//! authenticates itself or reads the view of the fleet. This module and its parts hold the I/O only: `publish` decides
//! what is sent, `frame` encodes it, `aggregation` decides what counts of it. Each side ends a session with a silent,
//! slow or misbehaving peer; nothing in the forwarder waits for a session.
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

/// A peer that sends nothing for so long is considered dead: six heartbeats, so a few may be late.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the TLS handshake, and again for the peer's hello: a connection that does not speak holds a permit for no
/// longer.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a peer to accept the bytes of one message; a peer that does not read must not hold a task.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that a peer may send in a burst. A snapshot of a thousand endpoints in a bad minute is a tenth of it.
const RECEIVE_BURST_BYTES: f64 = 2e6;
/// Bytes per second that a peer may send in the long run.
const RECEIVE_BYTES_PER_SECOND: f64 = 256e3;
/// Bytes read from the socket at once.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// What this forwarder states about itself in its hello.
#[derive(Clone)]
pub struct LocalIdentity {
    /// This forwarder's name.
    pub name: String,
    /// Its group; sessions with peers of another group are rejected.
    pub group: String,
    /// Its membership of the fleet; none for a client that only inspects.
    pub fleet: Option<FleetHandle>,
}

impl LocalIdentity {
    fn hello(&self) -> Message {
        let local = self.fleet.as_ref().and_then(|fleet| fleet.known_members.borrow().local.clone());
        let member = local.map(|m| MemberIdentity { address: m.address, incarnation: m.incarnation });
        Message::Hello { name: self.name.clone(), group: self.group.clone(), member }
    }

    /// Tells the fleet that this peer has proved its identity with a certificate: only such members count.
    async fn mark_authenticated(&self, peer: &RemoteIdentity) {
        if let (Some(fleet), Some(MemberIdentity { address, incarnation })) = (&self.fleet, peer.member) {
            fleet.mark_authenticated(Member { address, name: peer.name.clone(), incarnation }).await;
        }
    }
}

/// What the peer states about itself in its hello.
#[derive(Debug, PartialEq)]
struct RemoteIdentity {
    name: String,
    member: Option<MemberIdentity>,
}

/// Reads messages with a bound on the peer's sending rate (a token bucket over bytes).
struct MessageReader<R> {
    stream: R,
    frames: FrameReader,
    buffer: Box<[u8]>,
    /// Bytes that the peer may still send, as of `allowance_at`.
    allowance: f64,
    allowance_at: Instant,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    fn new(stream: R) -> MessageReader<R> {
        MessageReader {
            stream,
            frames: FrameReader::default(),
            buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            allowance: RECEIVE_BURST_BYTES,
            allowance_at: Instant::now(),
        }
    }

    /// The next message. Cancel safe: a partial frame stays buffered.
    async fn next(&mut self) -> Result<Message, SessionEnd> {
        loop {
            if let Some(message) = self.frames.message().map_err(RejectReason::Frame)? {
                return Ok(message);
            }
            let read = self.stream.read(&mut self.buffer).await?;
            if read == 0 {
                return Err(CloseReason::ClosedByPeer.into());
            }
            self.spend_allowance(read)?;
            self.frames.push(&self.buffer[..read]);
        }
    }

    fn spend_allowance(&mut self, bytes: usize) -> Result<(), RejectReason> {
        let now = Instant::now();
        self.allowance += (now - self.allowance_at).as_secs_f64() * RECEIVE_BYTES_PER_SECOND - bytes as f64;
        self.allowance = self.allowance.min(RECEIVE_BURST_BYTES);
        self.allowance_at = now;
        if self.allowance < 0.0 {
            return Err(RejectReason::ReceiveRateExceeded);
        }
        Ok(())
    }

    /// The peer's hello, which has to be its first message and of the same group.
    async fn hello(&mut self, local: &LocalIdentity) -> Result<RemoteIdentity, SessionEnd> {
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
