//! Client connections: taken in, served and closed. What is said on them is each front's own.
pub mod as2;
pub mod platform;

use axum::serve::{Listener, ListenerExt};
use axum::Router;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::server::ResolvesServerCert;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;

/// How long answers may still go out once connections are being closed.
pub const LAST_ANSWERS: Duration = Duration::from_millis(250);
const HANDSHAKE_FOR: Duration = Duration::from_secs(5);

/// Serves a front until it is told to close; then every request that came whole still gets its answer.
pub async fn serve(listener: TcpListener, front: Router, closing: watch::Receiver<bool>) {
    let listener = listener.tap_io(|socket| {
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("client connection: {e}");
        }
    });
    finish(axum::serve(listener, front).with_graceful_shutdown(closed(closing)).await);
}

/// The same under TLS, with the certificate that is held when a client connection begins.
pub async fn serve_tls(
    listener: TcpListener, certificate: Arc<dyn ResolvesServerCert>, front: Router,
    closing: watch::Receiver<bool>,
) {
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .map(|c| c.with_no_client_auth().with_cert_resolver(certificate));
    let config = match config {
        Ok(config) => Arc::new(config),
        Err(e) => return log::error!("client connections: no TLS: {e}"),
    };
    let local = listener.local_addr();
    let (shaken, connections) = mpsc::channel(1);
    tokio::spawn(shake_hands(listener, config.into(), shaken));
    let listener = Shaken { connections, local };
    finish(axum::serve(listener, front).with_graceful_shutdown(closed(closing)).await);
}

fn finish(end: io::Result<()>) {
    if let Err(e) = end {
        log::error!("client connections: {e}");
    }
}

async fn closed(mut closing: watch::Receiver<bool>) {
    let _ = closing.wait_for(|c| *c).await;
}

type Secured = (TlsStream<TcpStream>, SocketAddr);

/// Client connections whose handshake is over.
struct Shaken {
    connections: mpsc::Receiver<Secured>,
    local: io::Result<SocketAddr>,
}

impl Listener for Shaken {
    type Io = TlsStream<TcpStream>;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> Secured {
        match self.connections.recv().await {
            Some(secured) => secured,
            None => std::future::pending().await,
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.local.as_ref().copied().map_err(|e| e.kind().into())
    }
}

/// Each handshake has a task of its own: a client that is slow to it holds up no other.
async fn shake_hands(mut listener: TcpListener, acceptor: TlsAcceptor, shaken: mpsc::Sender<Secured>) {
    loop {
        let (socket, from) = Listener::accept(&mut listener).await;
        let (acceptor, shaken) = (acceptor.clone(), shaken.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE_FOR, acceptor.accept(socket)).await {
                Ok(Ok(stream)) => drop(shaken.send((stream, from)).await),
                Ok(Err(e)) => log::warn!("client connection from {from}: no handshake: {e}"),
                Err(_) => log::warn!("client connection from {from}: a handshake without end"),
            }
        });
    }
}
