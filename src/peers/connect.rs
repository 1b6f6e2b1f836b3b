//! Opens connections to other forwarders with mutual TLS. Each phase has a timeout.
use super::credentials::{self, Credentials};
use super::error::{CloseReason, RejectReason, SessionEnd};
use super::session::{LocalIdentity, HELLO_TIMEOUT};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_rustls::client::TlsStream;
use tokio_rustls::TlsConnector;

/// Timeout of the TCP connection. Peers are in one network, so a second is enough even if a SYN is lost.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens connections with this forwarder's certificate.
#[derive(Clone)]
pub struct Connector {
    /// Source address of connections: the listen address, so that address filters see the same one as for datagrams.
    pub source: IpAddr,
    /// Certificate, private key and trusted authorities.
    pub credentials: Arc<Credentials>,
    /// Content of this forwarder's hello in each session.
    pub identity: LocalIdentity,
}

impl Connector {
    /// Connects and completes the TLS handshake, in which each side verifies the other's certificate.
    ///
    /// # Errors
    ///
    /// Returns `SessionEnd::Rejected` if the peer's certificate is not accepted or its handshake is malformed, and
    /// `SessionEnd::Closed` for any other failure.
    pub async fn connect(&self, peer: SocketAddr) -> Result<TlsStream<TcpStream>, SessionEnd> {
        let socket = match timeout(CONNECT_TIMEOUT, self.connect_tcp(peer)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(CloseReason::ConnectTimeout.into()),
        };
        let tls = TlsConnector::from(self.credentials.current().client);
        match timeout(HELLO_TIMEOUT, tls.connect(credentials::server_name(), socket)).await {
            Ok(Ok(stream)) => Ok(stream),
            // rustls reports errors of the peer's side of the handshake as `InvalidData`.
            Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                Err(RejectReason::Handshake(error).into())
            }
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(CloseReason::HandshakeTimeout.into()),
        }
    }

    async fn connect_tcp(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let socket = if peer.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        if !self.source.is_unspecified() && self.source.is_ipv4() == peer.is_ipv4() {
            socket.bind((self.source, 0).into())?;
        }
        let stream = socket.connect(peer).await?;
        // Disables Nagle's algorithm, which delays small frames. The connection works without this too.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
