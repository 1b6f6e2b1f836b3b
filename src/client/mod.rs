//! Client connections: taken in, served and closed. What is said on them is each front's own.
pub mod as2;
pub mod platform;

use axum::serve::ListenerExt;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long answers may still go out once connections are being closed.
pub const LAST_ANSWERS: Duration = Duration::from_millis(250);

/// Serves a front until it is told to close; then every request that came whole still gets its answer.
pub async fn serve(listener: TcpListener, front: axum::Router, mut closing: watch::Receiver<bool>) {
    let listener = listener.tap_io(|socket| {
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("client connection: {e}");
        }
    });
    let close = async move {
        let _ = closing.wait_for(|c| *c).await;
    };
    if let Err(e) = axum::serve(listener, front).with_graceful_shutdown(close).await {
        log::error!("client connections: {e}");
    }
}
