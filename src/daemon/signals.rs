//! Handles SIGTERM, which must not be lost when the runtime changes.
use std::io;
use std::task::{Context, Waker};
use std::time::Instant;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A SIGTERM handler, bound to one runtime.
pub(super) struct Terminate {
    signal: Signal,
    /// Whether an earlier handler received a SIGTERM that [`Terminate::recv`] has not returned yet.
    is_pending: bool,
    received_at: Option<Instant>,
}

impl Terminate {
    /// Installs a handler in the runtime of the calling context.
    pub(super) fn install() -> io::Result<Terminate> {
        Ok(Terminate { signal: signal(SignalKind::terminate())?, is_pending: false, received_at: None })
    }

    /// Waits for a SIGTERM that no earlier call returned.
    pub(super) async fn recv(&mut self) {
        if !self.is_pending {
            self.signal.recv().await;
        }
        self.is_pending = false;
        self.received_at = Some(Instant::now());
    }

    /// Returns the time at which [`Terminate::recv`] last returned.
    pub(super) fn received_at(&self) -> Option<Instant> {
        self.received_at
    }

    /// Takes over a SIGTERM that `earlier` received and did not return.
    pub(super) fn inherit_pending(&mut self, earlier: &mut Terminate) {
        let mut context = Context::from_waker(Waker::noop());
        self.is_pending |= earlier.is_pending || earlier.signal.poll_recv(&mut context).is_ready();
    }
}
