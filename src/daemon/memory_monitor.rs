//! Logs the memory of the process and what it holds, whenever it has grown by a step. A process that is killed for its memory
//! writes no last line, so these lines have to say beforehand what filled it.
use crate::client::ConnectionLimiter;
use crate::exchange::Exchange;
use crate::memory::resident_bytes;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two readings of the resident memory.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Number of steps into which the memory limit is divided.
const STEPS: u64 = 16;
/// Number of steps from which on the line is a warning.
const WARNING_STEPS: u64 = 12;
/// Bytes in a megabyte of `limits.memory_mb`.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Reads the memory until the process ends, and logs it at each step that it has not reached before.
pub(super) async fn run(limit: u64, exchange: Exchange, limiter: Arc<ConnectionLimiter>) {
    let step_bytes = (limit / STEPS).max(1);
    let mut logged_steps = 0;
    loop {
        let Some(resident) = resident_bytes() else { return };
        let steps = resident / step_bytes;
        if steps > logged_steps {
            logged_steps = steps;
            report(resident, limit, steps >= WARNING_STEPS, &exchange, &limiter);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

fn report(resident: u64, limit: u64, is_warning: bool, exchange: &Exchange, limiter: &ConnectionLimiter) {
    let level = if is_warning { log::Level::Warn } else { log::Level::Info };
    let holdings = exchange.holdings();
    let clients = limiter.usage();
    log::log!(
        level,
        resident_mb = resident / BYTES_PER_MEGABYTE,
        limit_mb = limit / BYTES_PER_MEGABYTE,
        client_connections = clients.connections,
        in_request = clients.in_request,
        request_bytes = clients.request_bytes,
        pending_messages = holdings.pending_messages,
        pending_bytes = holdings.pending_bytes,
        remembered_bytes = holdings.remembered_bytes,
        calls = holdings.attempts_in_flight,
        endpoints = holdings.endpoints;
        "memory in use"
    );
}
