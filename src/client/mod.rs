//! Client connections: taken in and served, each under guard. What is said on them is each front's own.
pub mod as2;
mod guard;
pub mod platform;

pub use guard::{Limits, Seats};

use axum::Router;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
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
const HANDSHAKE_FOR: Duration = Duration::from_secs(5);
/// After a connection that could not be taken in.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

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
    loop {
        let ticket = tokio::select! {
            ticket = seats.admit() => ticket,
            _ = closing.wait_for(|c| *c) => break,
        };
        let socket = tokio::select! {
            socket = front.listener.accept() => socket,
            _ = closing.wait_for(|c| *c) => break,
        };
        match socket {
            Ok((socket, _)) => {
                tokio::spawn(attend(
                    socket,
                    front.tls.clone(),
                    front.routes.clone(),
                    front.limits,
                    ticket,
                    closing.clone(),
                ));
            }
            // Guards against descriptors that run out: others close soon, and then the next is taken in.
            Err(e) => {
                log::warn!("client connection not taken in: {e}");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    drop(front);
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
