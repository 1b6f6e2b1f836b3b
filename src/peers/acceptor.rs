//! Accepts subscribers and runs a publishing session with each.
use super::credentials::Credentials;
use super::error::SessionEnd;
use super::local_observations::LocalObservations;
use super::session::{self, LocalIdentity, HELLO_TIMEOUT};
use super::REFRESH_INTERVAL;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;

/// Maximum number of concurrent sessions. Further connections are closed at once; their subscribers select other sources.
const MAX_SUBSCRIBERS: usize = 64;

/// Accepts connections until the process exits.
pub async fn run(
    listener: TcpListener, credentials: Arc<Credentials>, identity: LocalIdentity,
    observations: watch::Receiver<LocalObservations>,
) {
    let permits = Arc::new(Semaphore::new(MAX_SUBSCRIBERS));
    loop {
        let (socket, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("peer exchange: cannot accept a connection: {error}");
                // Avoids a busy loop: a cause such as exhausted file descriptors persists for a while.
                sleep(REFRESH_INTERVAL).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let acceptor = TlsAcceptor::from(credentials.current().server);
        let identity = identity.clone();
        let observations = observations.clone();
        tokio::spawn(async move {
            serve(socket, address, acceptor, &identity, observations).await;
            drop(permit);
        });
    }
}

async fn serve(
    socket: TcpStream, address: SocketAddr, acceptor: TlsAcceptor, identity: &LocalIdentity,
    observations: watch::Receiver<LocalObservations>,
) {
    // Disables Nagle's algorithm, which delays small frames. The connection works without this too.
    let _ = socket.set_nodelay(true);
    let stream = match timeout(HELLO_TIMEOUT, acceptor.accept(socket)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return log::warn!("peer exchange: rejected subscriber {address}: {error}"),
        Err(_) => return log::debug!("peer exchange: TLS handshake with subscriber {address} timed out"),
    };
    match session::publish(stream, identity, observations).await {
        SessionEnd::Closed(reason) => {
            log::debug!("peer exchange: session with subscriber {address} closed: {reason}");
        }
        SessionEnd::Rejected(reason) => {
            log::warn!("peer exchange: rejected subscriber {address}: {reason}");
        }
    }
}
