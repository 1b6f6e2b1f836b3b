//! Time as the daemon counts it: nanoseconds of Unix time that only move forward while it runs.
use crate::Nanos;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The present. Wall time is read once and then carried on by the monotonic clock, so a set clock moves nothing.
pub fn now() -> Nanos {
    static START: OnceLock<(Duration, Instant)> = OnceLock::new();
    let (wall, start) = START
        .get_or_init(|| (SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(), Instant::now()));
    Nanos((*wall + start.elapsed()).as_nanos() as u64)
}

/// The instant of a point in time.
pub fn instant(at: Nanos) -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_nanos((at - now()).0)
}
