//! Calls of an earlier time as the journal's owner. A process whose successor dies serves again while they are in flight: they
//! go on in the runtime of that time, and their outcomes come by the file `late`, as those of another process do.
use super::DaemonError;
use crate::exchange::Exchange;
use crate::takeover::state::POLL_INTERVAL;
use std::thread::{self, JoinHandle};
use std::time::Instant;
use tokio::runtime::Runtime;

/// A thread that sees such calls through.
pub(super) struct LeftOverCalls(JoinHandle<()>);

impl LeftOverCalls {
    /// Drives this runtime until no call is in flight, and drops it. There is one at a time: the folder is not released
    /// again before its calls have ended.
    pub(super) fn finish(runtime: Runtime, exchange: Exchange) -> Result<LeftOverCalls, DaemonError> {
        let calls = exchange.calls_in_flight();
        log::info!(calls; "calls of the earlier time as the owner go on");
        let finish = move || {
            runtime.block_on(async {
                while exchange.calls_in_flight() > 0 {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
            // With the runtime the file `late` is closed and unlocked: all outcomes are in it.
            drop(exchange);
            drop(runtime);
        };
        let thread = thread::Builder::new().name("calls".to_string()).spawn(finish);
        thread.map(LeftOverCalls).map_err(DaemonError::System)
    }

    /// Waits until they have ended, or this moment has come.
    pub(super) fn wait_until(self, give_up_at: Instant) {
        while !self.0.is_finished() && Instant::now() < give_up_at {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
