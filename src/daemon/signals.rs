//! SIGTERM, which has to be heard across changes of the runtime.
use std::io;
use std::task::{Context, Waker};
use std::time::Instant;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The handler of SIGTERM. It belongs to one runtime.
pub(super) struct Terminate {
    signal: Signal,
    /// One has come that nobody has heard of yet.
    is_pending: bool,
    heard_at: Option<Instant>,
}

impl Terminate {
    /// Installs a handler for the runtime in whose context this is called.
    pub(super) fn install() -> io::Result<Terminate> {
        Ok(Terminate { signal: signal(SignalKind::terminate())?, is_pending: false, heard_at: None })
    }

    /// Returns when a SIGTERM has come since the last time.
    pub(super) async fn recv(&mut self) {
        if !self.is_pending {
            self.signal.recv().await;
        }
        self.is_pending = false;
        self.heard_at = Some(Instant::now());
    }

    /// When the last one was heard.
    pub(super) fn heard_at(&self) -> Option<Instant> {
        self.heard_at
    }

    /// Adds what has come to an earlier handler, and was not heard there.
    pub(super) fn add(&mut self, earlier: &mut Terminate) {
        let mut context = Context::from_waker(Waker::noop());
        self.is_pending |= earlier.is_pending || earlier.signal.poll_recv(&mut context).is_ready();
    }
}
