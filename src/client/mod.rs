//! Client connections: taken in and served, each under guard. What is said on them is each front's own.
pub mod as2;
mod guard;
pub mod platform;

pub use guard::{Limits, Seats};

use axum::Router;
use std::io;
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
pub const LAST_ANSWERS: Duration = Duration::from_millis(250);
/// How long the process outlives its last client connection. Guards the last answers: one that is still on its way when the
/// process goes may be lost with it, and what it took on counts as never heard.
pub const FAREWELL: Duration = Duration::from_millis(100);
/// Connections that may stand before they are taken in, as the standard library has it.
const QUEUE: u32 = 1024;
const HANDSHAKE_FOR: Duration = Duration::from_secs(5);
/// After a connection that could not be taken in.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

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
    socket.listen(QUEUE)
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
pub async fn serve(front: Front, seats: Arc<Seats>, mut closing: watch::Receiver<bool>) {
    let Front { listener, routes, limits, tls } = front;
    let told = closing.clone();
    let take_in = |socket, ticket| {
        tokio::spawn(attend(socket, tls.clone(), routes.clone(), limits, ticket, told.clone()));
    };
    loop {
        let ticket = tokio::select! {
            ticket = seats.admit() => ticket,
            _ = closing.wait_for(|c| *c) => break,
        };
        let socket = tokio::select! {
            socket = listener.accept() => socket,
            _ = closing.wait_for(|c| *c) => break,
        };
        match socket {
            Ok((socket, _)) => {
                take_in(socket, ticket);
            }
            // Guards against descriptors that run out: others close soon, and then the next is taken in.
            Err(e) => {
                log::warn!("client connection not taken in: {e}");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    // Guards those that stand in its queue already: closing the listener would reset them. What still comes after that goes
    // to the process that shares the address, or is refused.
    if let Ok(listener) = listener.into_std() {
        while let Ok((socket, _)) = listener.accept() {
            let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            match socket {
                Ok(socket) => {
                    take_in(socket, seats.admit().await);
                }
                Err(e) => log::warn!("client connection not taken in: {e}"),
            }
        }
    }
    seats.empty().await;
}

/// Each connection has a task of its own, from its handshake on: one that is slow holds up no other.
async fn attend(
    socket: TcpStream, tls: Option<TlsAcceptor>, routes: Router, limits: Limits, ticket: guard::Ticket,
    closing: watch::Receiver<bool>,
) {
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("client connection: {e}");
    }
    let Some(tls) = tls else { return guard::converse(socket, routes, limits, ticket, closing).await };
    match timeout(HANDSHAKE_FOR, tls.accept(socket)).await {
        Ok(Ok(stream)) => guard::converse(stream, routes, limits, ticket, closing).await,
        Ok(Err(e)) => log::warn!("client connection: no handshake: {e}"),
        Err(_) => log::warn!("client connection: a handshake without end"),
    }
}
