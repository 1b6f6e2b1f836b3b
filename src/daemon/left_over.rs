//! Calls left over from an earlier period as the journal's owner. If a successor dies while such calls are in flight, this
//! process serves again. The calls continue in the runtime that started them, and their outcomes arrive through the file
//! `late`, like those of another process.
use super::DaemonError;
use crate::exchange::Exchange;
use crate::takeover::state::POLL_INTERVAL;
use std::thread::{self, JoinHandle};
use std::time::Instant;
use tokio::runtime::Runtime;

/// A thread that runs left-over calls to their end.
pub(super) struct LeftOverCalls(JoinHandle<()>);

impl LeftOverCalls {
    /// Drives `runtime` until no call is in flight, then drops it. At most one such thread exists, because the folder is not
    /// released again before its calls have ended.
    pub(super) fn finish(runtime: Runtime, exchange: Exchange) -> Result<LeftOverCalls, DaemonError> {
        let calls = exchange.calls_in_flight();
        log::info!(calls; "calls from an earlier period as the owner are still in flight");
        let finish = move || {
            runtime.block_on(async {
                while exchange.calls_in_flight() > 0 {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
            // Dropping the runtime closes and unlocks the file `late`, which now contains all outcomes.
            drop(exchange);
            drop(runtime);
        };
        let thread = thread::Builder::new().name("calls".to_string()).spawn(finish);
        thread.map(LeftOverCalls).map_err(DaemonError::System)
    }

    /// Waits until the calls have ended or `deadline` has passed.
    pub(super) fn wait_until(self, deadline: Instant) {
        while !self.0.is_finished() && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
