//! Connections to other forwarders: with this one's certificate, within bounds of time.
use super::credentials::{self, Credentials};
use super::session::{LocalIdentity, SessionEnd, HELLO_BY};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_rustls::client::TlsStream;
use tokio_rustls::TlsConnector;

const CONNECT_FOR: Duration = Duration::from_secs(1);

/// Who connects, from where, and with what.
#[derive(Clone)]
pub struct Connector {
    /// From the address that it listens on, as its datagrams: who filters by address knows it by one.
    pub from: IpAddr,
    pub trust: Arc<Credentials>,
    pub me: LocalIdentity,
}

impl Connector {
    /// A connection on which both sides have shown their certificates.
    ///
    /// # Errors
    ///
    /// Why there is none, and whether the other side is to be left alone for it.
    pub async fn to(&self, who: SocketAddr) -> Result<TlsStream<TcpStream>, SessionEnd> {
        let over = |e: std::io::Error| SessionEnd::Closed(e.to_string());
        let connect = async {
            let socket = if who.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            if !self.from.is_unspecified() && self.from.is_ipv4() == who.is_ipv4() {
                socket.bind((self.from, 0).into())?;
            }
            let socket = socket.connect(who).await?;
            let _ = socket.set_nodelay(true);
            Ok(socket)
        };
        let late = |_| SessionEnd::Closed("no connection in time".into());
        let socket = timeout(CONNECT_FOR, connect).await.map_err(late)?.map_err(over)?;
        let tls = TlsConnector::from(self.trust.current().client);
        match timeout(HELLO_BY, tls.connect(credentials::server_name(), socket)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
                Err(SessionEnd::Rejected(e.to_string()))
            }
            Ok(Err(e)) => Err(over(e)),
            Err(_) => Err(SessionEnd::Closed("a handshake without end".into())),
        }
    }
}
