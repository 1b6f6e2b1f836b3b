//! The node's time, without the time for which its process was suspended.
use std::time::Duration;

/// A call that comes later than expected by more than this shows that the process was suspended: a busy machine delays it
/// less.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(250);

/// The moment of the current call, on two clocks.
pub(super) struct NodeClock {
    now: Duration,
    active: Duration,
    suspended_for: Duration,
    /// When the next call was to come at the latest.
    expected_call_at: Option<Duration>,
}

impl NodeClock {
    pub(super) fn new(now: Duration) -> NodeClock {
        NodeClock { now, active: now, suspended_for: Duration::ZERO, expected_call_at: None }
    }

    /// Moves on to a call. It never goes back.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if let Some(expected_at) = self.expected_call_at {
            let late = self.now.saturating_sub(expected_at);
            if late > SUSPENSION_THRESHOLD {
                self.suspended_for += late;
                log::warn!(seconds = late.as_secs_f64(); "stood still: that time counts against nobody");
            }
        }
        self.active = self.now - self.suspended_for;
    }

    pub(super) fn expect_call_at(&mut self, at: Duration) {
        self.expected_call_at = Some(at);
    }

    /// The driver's time: for ages, which pass while the process is suspended.
    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// The time for which the process was active: for timers, so that a suspended process blames nobody for its silence.
    pub(super) fn active(&self) -> Duration {
        self.active
    }

    /// The driver's time of a moment of active time that is ahead.
    pub(super) fn to_wall(&self, active: Duration) -> Duration {
        active + self.suspended_for
    }
}
