//! SIGTERM, which has to be heard across changes of the runtime.
use std::io;
use std::task::{Context, Waker};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The handler of SIGTERM. It belongs to one runtime.
pub(super) struct Terminate {
    signal: Signal,
    /// One has come that nobody has heard of yet.
    is_pending: bool,
}

impl Terminate {
    /// Installs a handler for the runtime in whose context this is called.
    pub(super) fn install() -> io::Result<Terminate> {
        Ok(Terminate { signal: signal(SignalKind::terminate())?, is_pending: false })
    }

    /// Returns when a SIGTERM has come since the last time.
    pub(super) async fn recv(&mut self) {
        if !self.is_pending {
            self.signal.recv().await;
        }
        self.is_pending = false;
    }

    /// Adds what has come to an earlier handler, and was not heard there.
    pub(super) fn add(&mut self, earlier: &mut Terminate) {
        let mut context = Context::from_waker(Waker::noop());
        self.is_pending |= earlier.is_pending || earlier.signal.poll_recv(&mut context).is_ready();
    }
}
