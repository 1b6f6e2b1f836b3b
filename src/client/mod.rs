//! Client connections: accepted, limited, served and closed, over all listeners.
//!
//! `listener` opens the listeners, `limiter` bounds the number of connections, `connection` serves one, `socket` closes it
//! without losing a response, `head` scans what hyper does not show. [`platform`] and [`as2`] are the protocols, `error` has the responses to invalid requests.
#![warn(missing_docs)]
pub mod as2;
mod connection;
mod error;
mod head;
mod limiter;
mod listener;
pub mod platform;
mod socket;
#[cfg(test)]
mod tests;

pub use connection::Limits;
pub use error::ClientError;
pub use limiter::{ConnectionLimiter, ConnectionPermit};
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

/// How long responses may still be sent once connections are being closed.
pub const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the process outlives its last client connection. Guards the last responses: one that is still in the
/// socket's buffer when the process ends may be lost, and the client would count an accepted request as not received.
pub const CLOSE_LINGER: Duration = Duration::from_millis(100);
/// How long a TLS handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed `accept` for lack of descriptors or memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One front: a listener with its routes and limits.
pub struct Front {
    /// Where its clients connect.
    pub listener: TcpListener,
    /// The requests that it answers.
    pub routes: Router,
    /// What a connection may use.
    pub limits: Limits,
    /// TLS; `None`: plain HTTP.
    pub tls: Option<TlsAcceptor>,
}

/// TLS with the certificate that the resolver has when a connection begins.
///
/// # Errors
///
/// The crypto provider does not support the TLS versions; a build without such a version would be faulty.
pub fn tls(certificate: Arc<dyn ResolvesServerCert>) -> Result<TlsAcceptor, rustls::Error> {
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(certificate);
    Ok(Arc::new(config).into())
}

/// Serves a front until no more connections are to be accepted. Then every request that has arrived still gets its
/// response; returns when no client connection of the process is left.
pub async fn serve(
    front: Front, limiter: Arc<ConnectionLimiter>, connections: watch::Receiver<ClientConnections>,
) {
    let Front { listener, routes, limits, tls } = front;
    let acceptor = Acceptor { routes, limits, tls, connections };
    acceptor.accept_while_wanted(&listener, &limiter).await;
    acceptor.accept_queued(listener, &limiter).await;
    limiter.all_closed().await;
}

/// What each accepted connection of a front gets.
#[derive(Clone)]
struct Acceptor {
    routes: Router,
    limits: Limits,
    tls: Option<TlsAcceptor>,
    connections: watch::Receiver<ClientConnections>,
}

impl Acceptor {
    async fn accept_while_wanted(&self, listener: &TcpListener, limiter: &Arc<ConnectionLimiter>) {
        let mut connections = self.connections.clone();
        loop {
            let permit = tokio::select! {
                permit = limiter.acquire() => permit,
                () = reached(&mut connections, ClientConnections::NotAccepted) => return,
            };
            permit.state().enter(Phase::Reserved);
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = reached(&mut connections, ClientConnections::NotAccepted) => return,
            };
            match accepted {
                Ok((socket, _)) => self.spawn(socket, permit),
                Err(error) if concerns_one_connection(&error) => {
                    log::debug!("client connection not accepted: {error}");
                }
                // Guards against a busy loop while descriptors run out: when others close, the next is accepted.
                Err(error) => {
                    log::warn!("cannot accept client connections: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts what the kernel has queued: closing the listener would reset these connections. Later ones go to the
    /// process that shares the address, or are refused.
    async fn accept_queued(&self, listener: TcpListener, limiter: &Arc<ConnectionLimiter>) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((socket, _)) = listener.accept() {
            let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            match socket {
                Ok(socket) => self.spawn(socket, limiter.acquire().await),
                Err(error) => log::warn!("cannot accept client connections: {error}"),
            }
        }
    }

    /// Each connection has a task of its own from its handshake on, so that a slow one delays no other.
    fn spawn(&self, socket: TcpStream, permit: ConnectionPermit) {
        permit.state().enter(Phase::Connected);
        tokio::spawn(self.clone().serve_connection(socket, permit));
    }

    async fn serve_connection(self, socket: TcpStream, permit: ConnectionPermit) {
        let Acceptor { routes, limits, tls, connections } = self;
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("client connection: {error}");
        }
        let Some(tls) = tls else {
            return connection::serve(socket, routes, limits, permit, connections).await;
        };
        match timeout(HANDSHAKE_TIMEOUT, tls.accept(socket)).await {
            Ok(Ok(stream)) => connection::serve(stream, routes, limits, permit, connections).await,
            Ok(Err(error)) => log::warn!("client connection: TLS handshake failed: {error}"),
            Err(_) => log::warn!("client connection: TLS handshake timed out"),
        }
    }
}

/// Returns once client connections are closed so far, or further.
async fn reached(connections: &mut watch::Receiver<ClientConnections>, how_far: ClientConnections) {
    if connections.wait_for(|now| *now >= how_far).await.is_err() {
        // The sender is gone, so nothing changes any more.
        std::future::pending::<()>().await;
    }
}

/// Whether an error of `accept` concerns one connection only, so that the next may be accepted at once.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}
