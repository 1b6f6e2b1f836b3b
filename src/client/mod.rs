//! Client connections: accepted, limited and served. What is said on them is each protocol's own.
//!
//! `limiter` bounds how many there are, `connection` serves one, `socket` closes it in order, `head` scans what hyper
//! does not show.
pub mod as2;
mod connection;
mod head;
mod limiter;
pub mod platform;
mod socket;
#[cfg(test)]
mod tests;

pub use connection::Limits;
pub use limiter::{ConnectionLimiter, ConnectionPermit};

use axum::Router;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::server::ResolvesServerCert;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;

/// How long answers may still go out once connections are being closed.
pub const FINAL_RESPONSES: Duration = Duration::from_millis(250);
/// How long the process outlives its last client connection. Guards the last answers: one that is still on its way when the
/// process goes may be lost with it, and what it took on counts as never heard.
pub const CLOSE_LINGER: Duration = Duration::from_millis(100);
/// Connections that may stand before they are accepted, as the standard library has it.
const BACKLOG: u32 = 1024;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection that could not be accepted for want of descriptors or memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens for clients. `shared`: another process of this user may listen at the same address, which it does while it takes
/// this one's place; the kernel gives each new connection to one of them.
///
/// # Errors
///
/// The address cannot be listened at: it is taken, or not of this machine.
pub fn listen(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// One front: where its clients connect, what they find there and what they are allowed.
pub struct Front {
    pub listener: TcpListener,
    pub routes: Router,
    pub limits: Limits,
    pub tls: Option<TlsAcceptor>,
}

/// TLS with the certificate that is held when a client connection begins.
pub fn tls(certificate: Arc<dyn ResolvesServerCert>) -> Result<TlsAcceptor, tokio_rustls::rustls::Error> {
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(certificate);
    Ok(Arc::new(config).into())
}

/// Serves a front until it is told to close; then every request that came whole still gets its answer.
pub async fn serve(front: Front, limiter: Arc<ConnectionLimiter>, mut closing: watch::Receiver<bool>) {
    let Front { listener, routes, limits, tls } = front;
    let told = closing.clone();
    let attend = |socket, permit| {
        tokio::spawn(attend(socket, tls.clone(), routes.clone(), limits, permit, told.clone()));
    };
    loop {
        let permit = tokio::select! {
            permit = limiter.acquire() => permit,
            _ = closing.wait_for(|c| *c) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|c| *c) => break,
        };
        match accepted {
            Ok((socket, _)) => attend(socket, permit),
            Err(e) if concerns_one_connection(&e) => log::debug!("client connection not accepted: {e}"),
            // Guards against descriptors that run out: others close soon, and then the next is accepted.
            Err(e) => {
                log::warn!("client connection not taken in: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Guards those that stand in its backlog already: closing the listener would reset them. What still comes after that
    // goes to the process that shares the address, or is refused.
    if let Ok(listener) = listener.into_std() {
        while let Ok((socket, _)) = listener.accept() {
            let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            match socket {
                Ok(socket) => attend(socket, limiter.acquire().await),
                Err(e) => log::warn!("client connection not taken in: {e}"),
            }
        }
    }
    limiter.all_closed().await;
}

/// Whether this error of `accept` says something of one connection only, so that the next may be accepted at once.
fn concerns_one_connection(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}

/// Each connection has a task of its own, from its handshake on: one that is slow holds up no other.
async fn attend(
    socket: TcpStream, tls: Option<TlsAcceptor>, routes: Router, limits: Limits, permit: ConnectionPermit,
    closing: watch::Receiver<bool>,
) {
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("client connection: {e}");
    }
    let Some(tls) = tls else { return connection::serve(socket, routes, limits, permit, closing).await };
    match timeout(HANDSHAKE_TIMEOUT, tls.accept(socket)).await {
        Ok(Ok(stream)) => connection::serve(stream, routes, limits, permit, closing).await,
        Ok(Err(e)) => log::warn!("client connection: no handshake: {e}"),
        Err(_) => log::warn!("client connection: a handshake without end"),
    }
}
