//! The clock of a node, which excludes the time for which the process was suspended.
use std::time::Duration;

/// A call that is late by more than this indicates that the process was suspended: a busy machine causes shorter delays.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(250);

/// The time of the current call, in the driver's time and in active time.
pub(super) struct NodeClock {
    now: Duration,
    active: Duration,
    suspended_for: Duration,
    /// Latest time at which the driver was to make the current call.
    expected_call_at: Option<Duration>,
}

impl NodeClock {
    pub(super) fn new(now: Duration) -> NodeClock {
        NodeClock { now, active: now, suspended_for: Duration::ZERO, expected_call_at: None }
    }

    /// Sets the time of the current call, which never goes back. Detects a suspension of the process.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if let Some(expected_at) = self.expected_call_at {
            let delay = self.now.saturating_sub(expected_at);
            if delay > SUSPENSION_THRESHOLD {
                self.suspended_for += delay;
                log::warn!(
                    seconds = delay.as_secs_f64();
                    "process was suspended: the time does not count for probes and suspicions"
                );
            }
        }
        self.active = self.now - self.suspended_for;
    }

    pub(super) fn expect_call_at(&mut self, at: Duration) {
        self.expected_call_at = Some(at);
    }

    /// Returns the driver's time, for ages: data gets older while the process is suspended.
    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Returns the active time, for timers: a process that was suspended must not suspect members for its own inactivity.
    pub(super) fn active(&self) -> Duration {
        self.active
    }

    /// Converts a future active time to the driver's time.
    pub(super) fn to_wall(&self, active: Duration) -> Duration {
        active + self.suspended_for
    }
}
