//! The daemon's clock: nanoseconds of Unix time that only move forward while the process runs.
#![warn(missing_docs)]
use crate::Nanos;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The two clocks at the first reading.
struct Origin {
    /// Wall time since 1970; zero where the system's clock is before that.
    wall: Duration,
    monotonic: Instant,
}

impl Origin {
    fn read() -> Origin {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Origin { wall, monotonic: Instant::now() }
    }
}

/// The present, in Unix nanoseconds. Wall time is read once and then carried on by the monotonic clock: setting the
/// system's clock moves no deadline.
pub fn now() -> Nanos {
    static ORIGIN: OnceLock<Origin> = OnceLock::new();
    let origin = ORIGIN.get_or_init(Origin::read);
    Nanos((origin.wall + origin.monotonic.elapsed()).as_nanos() as u64)
}

/// The runtime's instant for a point in time; the present for one that has passed.
pub fn instant(at: Nanos) -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_nanos((at - now()).0)
}
