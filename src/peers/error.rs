//! Errors of the peer exchange: why it could not start, and why a session with a peer ended.
use super::frame::FrameError;
use crate::config_error::ConfigError;
use crate::fleet::error::FleetError;
use std::net::SocketAddr;

/// Why the peer exchange is not running. The forwarder serves without it.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// Some of the credential files are not named: name them all, or remove the listen address.
    #[error("they need a certificate, a key and an authority")]
    MissingCredentials,
    /// A credential file cannot be used: replace the file that the error names.
    #[error("{0}")]
    Credentials(ConfigError),
    /// The state folder cannot be used: check that it exists and that this process may write to it.
    #[error("{0}")]
    StateFolder(#[source] std::io::Error),
    /// The forwarder's name does not fit into a membership datagram: choose a shorter one.
    #[error("a name of {length} bytes, of {max} at the most")]
    NameTooLong {
        /// Length of the configured name in bytes.
        length: usize,
        /// Longest name that fits, in bytes.
        max: usize,
    },
    /// The listen address cannot be bound: it is in use, or not an address of this machine.
    #[error("{address}: {source}")]
    Bind {
        /// The configured listen address.
        address: SocketAddr,
        /// What the operating system answered.
        source: std::io::Error,
    },
}

/// Why a session with a peer ended, which decides how soon the peer is contacted again.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The connection failed, or this side closed it in the usual way: reconnect soon.
    #[error("{0}")]
    Closed(#[from] CloseReason),
    /// The peer violates the protocol or is not trusted: leave it alone for a while.
    #[error("{0}")]
    Rejected(#[from] RejectReason),
}

impl From<std::io::Error> for SessionEnd {
    fn from(error: std::io::Error) -> SessionEnd {
        SessionEnd::Closed(CloseReason::Io(error))
    }
}

/// Ends of a session that say nothing against the peer. `micaladder fleet` prints those that a client can meet.
#[derive(Debug, thiserror::Error)]
pub enum CloseReason {
    /// The socket failed.
    #[error("{0}")]
    Io(std::io::Error),
    /// The TCP connection did not come up within its bound.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The TLS handshake did not finish within its bound.
    #[error("a handshake without end")]
    HandshakeTimeout,
    /// The peer sent no hello within its bound.
    #[error("no hello in time")]
    HelloTimeout,
    /// The peer closed the connection.
    #[error("closed")]
    ClosedByPeer,
    /// The peer reads nothing, so that writes to it time out.
    #[error("takes no bytes")]
    WriteTimeout,
    /// The peer sent nothing for longer than the silence bound.
    #[error("silent")]
    Silent,
    /// The session reached its maximum lifetime.
    #[error("session lifetime reached")]
    LifetimeReached,
    /// This process is shutting down.
    #[error("this forwarder is shutting down")]
    ShuttingDown,
    /// A client, which is not a member of the fleet, was asked for a view.
    #[error("this process is not a member of the fleet")]
    NotAMember,
    /// The fleet gives no view.
    #[error("{0}")]
    Fleet(FleetError),
    /// The view of the fleet cannot be serialized.
    #[error("{0}")]
    Serialize(serde_json::Error),
}

/// Ends of a session that are the peer's fault. `micaladder fleet` prints those that a client can meet.
#[derive(Debug, thiserror::Error)]
pub enum RejectReason {
    /// The peer's certificate was not accepted, or its handshake is malformed.
    #[error("{0}")]
    Handshake(std::io::Error),
    /// The stream holds a frame that cannot be decoded.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer belongs to another group of forwarders: check `--neighbours-group` on both sides.
    #[error("of another group: {0}")]
    OtherGroup(String),
    /// The first message is not a hello.
    #[error("no hello")]
    NoHello,
    /// A message that the peer's role does not allow.
    #[error("sent a message out of turn")]
    OutOfTurn,
    /// The peer sends faster than the receive allowance.
    #[error("a flood")]
    ReceiveRateExceeded,
    /// The view of the fleet is longer than any fleet's.
    #[error("a view without end")]
    ViewTooLong,
    /// The view of the fleet cannot be parsed.
    #[error("no view: {0}")]
    InvalidView(serde_json::Error),
}
