//! Client side: accepts, limits, serves and closes client connections on all listeners.
//!
//! - `listener`: opens the listening sockets
//! - `limiter`: bounds the number of open connections
//! - `connection`: serves one connection
//! - `peer`: tells whether a client has closed its side
//! - `socket`: closes a connection without losing a response
//! - `head`: scans request heads for a header that hyper removes
//! - [`platform`] and [`as2`]: the two protocols
//! - `error`: the error responses to invalid requests
#![warn(missing_docs)]
pub mod as2;
mod connection;
mod error;
mod head;
mod limiter;
mod listener;
mod peer;
pub mod platform;
mod socket;
#[cfg(test)]
mod tests;

pub use connection::Limits;
pub use error::ClientError;
pub use limiter::{ConnectionLimiter, ConnectionPermit, ConnectionShare, ConnectionUsage};
pub use listener::{listen, SharedListener};

use crate::exchange::ClientConnections;
use axum::Router;
use limiter::Phase;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::server::ResolvesServerCert;
use tokio_rustls::rustls::{self, ServerConfig};
use tokio_rustls::TlsAcceptor;

/// How long the process waits for the last responses once `ClientConnections::Closing` is set.
pub const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between the close of the last client connection and the exit of the process. A response that is still in a socket
/// buffer at exit may be lost, and its client would count an accepted request as not received.
pub const CLOSE_LINGER: Duration = Duration::from_millis(100);
/// Timeout of a client's TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after `accept` fails for lack of file descriptors or memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One front: a listener with its routes and limits.
pub struct Front {
    /// The listener that clients connect to.
    pub listener: TcpListener,
    /// The handlers of its requests.
    pub routes: Router,
    /// Limits on the requests of a connection.
    pub limits: Limits,
    /// Accepts TLS handshakes; `None` for plain HTTP.
    pub tls: Option<TlsAcceptor>,
}

/// Returns a TLS acceptor that reads the current certificate from `certificate` at each handshake.
///
/// # Errors
///
/// The crypto provider supports none of the default TLS versions, which only a faulty build can cause.
pub fn tls(certificate: Arc<dyn ResolvesServerCert>) -> Result<TlsAcceptor, rustls::Error> {
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(certificate);
    Ok(Arc::new(config).into())
}

/// Accepts and serves connections until `connections` reaches `NotAccepted`, then serves the connections that the kernel
/// has queued by that time, so that each request that has arrived gets its response. Returns once the process has no open
/// client connection.
pub async fn serve(
    front: Front, limiter: Arc<ConnectionLimiter>, connections: watch::Receiver<ClientConnections>,
) {
    let Front { listener, routes, limits, tls } = front;
    let acceptor = Acceptor { routes, limits, tls, connections };
    acceptor.accept_until_stopped(&listener, &limiter).await;
    acceptor.accept_queued(listener, &limiter).await;
    limiter.all_closed().await;
}

/// Accepts connections of one front and starts a task for each.
#[derive(Clone)]
struct Acceptor {
    routes: Router,
    limits: Limits,
    tls: Option<TlsAcceptor>,
    connections: watch::Receiver<ClientConnections>,
}

impl Acceptor {
    async fn accept_until_stopped(&self, listener: &TcpListener, limiter: &Arc<ConnectionLimiter>) {
        let mut connections = self.connections.clone();
        loop {
            let permit = tokio::select! {
                permit = limiter.acquire(self.limits.share) => permit,
                () = reached(&mut connections, ClientConnections::NotAccepted) => return,
            };
            permit.state().enter(Phase::Reserved);
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = reached(&mut connections, ClientConnections::NotAccepted) => return,
            };
            match accepted {
                Ok((socket, _)) => self.spawn(socket, permit),
                Err(error) if affects_one_connection(&error) => {
                    log::debug!("client connection not accepted: {error}");
                }
                // Without the pause, this loop would spin until another connection frees a descriptor.
                Err(error) => {
                    log::warn!("cannot accept client connections: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts the connections in the kernel's queue, which closing the listener would reset. The kernel gives later
    /// connections to the process that shares the address, or refuses them.
    async fn accept_queued(&self, listener: TcpListener, limiter: &Arc<ConnectionLimiter>) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((socket, _)) = listener.accept() {
            let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            match socket {
                Ok(socket) => self.spawn(socket, limiter.acquire(self.limits.share).await),
                Err(error) => log::warn!("cannot accept client connections: {error}"),
            }
        }
    }

    /// Starts the connection's task. The TLS handshake runs in this task too, so that a slow client delays no other.
    fn spawn(&self, socket: TcpStream, permit: ConnectionPermit) {
        permit.state().enter(Phase::Connected);
        tokio::spawn(self.clone().serve_connection(socket, permit));
    }

    async fn serve_connection(self, socket: TcpStream, permit: ConnectionPermit) {
        let Acceptor { routes, limits, tls, connections } = self;
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("client connection: cannot set TCP_NODELAY: {error}");
        }
        let (socket, peer) = peer::share(socket);
        let Some(tls) = tls else {
            return connection::serve(socket, peer, routes, limits, permit, connections).await;
        };
        match timeout(HANDSHAKE_TIMEOUT, tls.accept(socket)).await {
            Ok(Ok(stream)) => connection::serve(stream, peer, routes, limits, permit, connections).await,
            Ok(Err(error)) => log::warn!("client connection: TLS handshake failed: {error}"),
            Err(_) => log::warn!("client connection: TLS handshake timed out"),
        }
    }
}

/// Waits until the state of client connections is `state` or a later one.
async fn reached(connections: &mut watch::Receiver<ClientConnections>, state: ClientConnections) {
    if connections.wait_for(|now| *now >= state).await.is_err() {
        // The sender was dropped, so the state can no longer change.
        std::future::pending::<()>().await;
    }
}

/// Returns whether an error of `accept` affects only one connection, so that the next can be accepted at once.
fn affects_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}
