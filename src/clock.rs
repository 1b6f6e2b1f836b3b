//! Clock of the daemon: Unix time in nanoseconds, monotonic while the process runs.
#![warn(missing_docs)]
use crate::Nanos;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall clock and monotonic clock at the first call of [`now`].
struct Origin {
    /// Unix time; zero if the system clock is set to a time before 1970.
    wall: Duration,
    monotonic: Instant,
}

impl Origin {
    fn read() -> Origin {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Origin { wall, monotonic: Instant::now() }
    }
}

/// Returns the current Unix time. The wall clock is read once and advanced by the monotonic clock, so that setting the system
/// clock does not move deadlines.
pub fn now() -> Nanos {
    static ORIGIN: OnceLock<Origin> = OnceLock::new();
    let origin = ORIGIN.get_or_init(Origin::read);
    Nanos((origin.wall + origin.monotonic.elapsed()).as_nanos() as u64)
}

/// Converts a Unix time to an instant of the tokio runtime. Times in the past become the current instant.
pub fn instant(at: Nanos) -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_nanos((at - now()).0)
}
