//! Outgoing connections to other forwarders: mutual TLS, each phase bounded in time.
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

/// Time for a TCP connection to come up. Peers are in one network, so a second already covers a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens connections with this forwarder's certificate.
#[derive(Clone)]
pub struct Connector {
    /// Source address of connections: the listen address, so that filters by address see the same one as for the
    /// datagrams.
    pub source: IpAddr,
    /// Certificates and trusted authorities.
    pub credentials: Arc<Credentials>,
    /// What the hello of each session says.
    pub identity: LocalIdentity,
}

impl Connector {
    /// Connects and completes the TLS handshake, in which both sides verify the other's certificate.
    ///
    /// # Errors
    ///
    /// Why there is no connection; `SessionEnd::Rejected` if the peer's certificate was not accepted.
    pub async fn connect(&self, peer: SocketAddr) -> Result<TlsStream<TcpStream>, SessionEnd> {
        let socket = match timeout(CONNECT_TIMEOUT, self.connect_tcp(peer)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(CloseReason::ConnectTimeout.into()),
        };
        let tls = TlsConnector::from(self.credentials.current().client);
        match timeout(HELLO_TIMEOUT, tls.connect(credentials::server_name(), socket)).await {
            Ok(Ok(stream)) => Ok(stream),
            // rustls reports what is wrong with the peer's side of the handshake as invalid data.
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
        // Without it small frames wait for acknowledgements; the connection works either way.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
