//! Errors of the peer exchange: reasons for a failed start and for the end of a session.
use super::frame::FrameError;
use crate::config_error::ConfigError;
use crate::fleet::error::FleetError;
use std::net::SocketAddr;

/// Reasons why the peer exchange cannot start. The forwarder serves without it.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// One of the credential files is not configured: set all of them, or remove the listen address.
    #[error(
        "a credential file is not configured; set --neighbours-certificate, --neighbours-key and --neighbours-authority"
    )]
    MissingCredentials,
    /// A credential file cannot be read or is invalid: replace the file that the error names.
    #[error("{0}")]
    Credentials(ConfigError),
    /// The state folder cannot be opened: check that it exists and that this process may write to it.
    #[error("cannot open the state folder: {0}")]
    StateFolder(#[source] std::io::Error),
    /// The forwarder's name is too long for a membership datagram: choose a shorter one.
    #[error("the forwarder's name has {length} bytes, the maximum is {max}; choose a shorter one")]
    NameTooLong {
        /// Length of the configured name in bytes.
        length: usize,
        /// Maximum length of a name in bytes.
        max: usize,
    },
    /// The listen address cannot be bound: it is in use or not an address of this machine.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The configured listen address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Reason for the end of a session, which determines the backoff before the next connection to the peer.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The connection failed or was closed normally: reconnect after a short backoff.
    #[error("{0}")]
    Closed(#[from] CloseReason),
    /// The peer violates the protocol or is not trusted: reconnect after a long backoff.
    #[error("{0}")]
    Rejected(#[from] RejectReason),
}

impl From<std::io::Error> for SessionEnd {
    fn from(error: std::io::Error) -> SessionEnd {
        SessionEnd::Closed(CloseReason::Io(error))
    }
}

/// Reasons for the end of a session that are not a fault of the peer. `micaladder fleet` prints those that occur in a
/// client's session.
#[derive(Debug, thiserror::Error)]
pub enum CloseReason {
    /// The socket failed.
    #[error("{0}")]
    Io(std::io::Error),
    /// The TCP connection was not established within `CONNECT_TIMEOUT`.
    #[error("TCP connection timed out")]
    ConnectTimeout,
    /// The TLS handshake did not finish within `HELLO_TIMEOUT`.
    #[error("TLS handshake timed out")]
    HandshakeTimeout,
    /// The peer sent no hello within `HELLO_TIMEOUT`.
    #[error("peer sent no hello in time")]
    HelloTimeout,
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    ClosedByPeer,
    /// The peer did not read a message within `WRITE_TIMEOUT`.
    #[error("write to the peer timed out")]
    WriteTimeout,
    /// The peer sent nothing for `SILENCE_TIMEOUT`.
    #[error("no message from the peer within the silence timeout")]
    SilenceTimeout,
    /// The session reached its maximum lifetime.
    #[error("session reached its maximum lifetime")]
    LifetimeReached,
    /// This process is shutting down.
    #[error("this forwarder is shutting down")]
    ShuttingDown,
    /// The peer requested the fleet's view from a client, which is not a member of the fleet.
    #[error("this process is not a member of the fleet")]
    NotAMember,
    /// The fleet did not return its view.
    #[error("{0}")]
    Fleet(FleetError),
    /// The view of the fleet cannot be serialized.
    #[error("cannot serialize the view of the fleet: {0}")]
    Serialize(serde_json::Error),
}

/// Reasons for the end of a session that are the peer's fault. `micaladder fleet` prints those that occur in a client's
/// session.
#[derive(Debug, thiserror::Error)]
pub enum RejectReason {
    /// The peer's certificate was not accepted, or its handshake is malformed.
    #[error("TLS handshake failed: {0}")]
    Handshake(std::io::Error),
    /// The peer sent a frame that cannot be decoded.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer belongs to another group of forwarders: check `--neighbours-group` on both sides.
    #[error("peer belongs to another group, {0:?}; check --neighbours-group on both sides")]
    OtherGroup(String),
    /// The peer's first message is not a hello.
    #[error("peer's first message is not a hello")]
    NoHello,
    /// The peer sent a message that its role does not allow.
    #[error("peer sent an unexpected message")]
    UnexpectedMessage,
    /// The peer exceeded the receive rate limit.
    #[error("peer exceeded the receive rate limit")]
    ReceiveRateExceeded,
    /// The view of the fleet is longer than `MAX_VIEW_BYTES`.
    #[error("view of the fleet exceeds the size limit")]
    ViewTooLong,
    /// The view of the fleet cannot be parsed.
    #[error("cannot parse the view of the fleet: {0}")]
    InvalidView(serde_json::Error),
}
