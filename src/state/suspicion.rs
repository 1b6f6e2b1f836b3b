//! The suspicion that an endpoint is in an outage.
use crate::interface::Nanos;

/// Shortest duration of an outage in seconds. A Retry-After at least this long is treated as an outage, a
/// shorter outage as a false alarm, and a rejection within this time after a served call as that of a limit.
pub(crate) const MIN_OUTAGE_SECS: f64 = 2.5;
/// Longest and shortest time in seconds after a failed call in which a second call may show that the failure
/// was isolated.
const SECOND_CALL_SECS: (f64, f64) = (1.0, 0.1);

/// What a suspicion is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SuspicionCause {
    /// Calls failed.
    Failure,
    /// Calls were rejected, and none failed.
    Rejection,
    /// An outage: a response told to wait for as long as one lasts, or the last process knew of one.
    Outage,
}

/// The suspicion that an endpoint is in an outage. It lasts until a call is served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    /// Start of the suspicion.
    pub since: Nanos,
    /// What it is based on.
    pub cause: SuspicionCause,
    /// Time at which the last served call is as long ago as the shortest outage.
    served_until: Nanos,
}

impl Suspicion {
    /// Returns a suspicion that starts now. `last_served_at` is the time at which a call was last served.
    pub fn new(now: Nanos, cause: SuspicionCause, last_served_at: Option<Nanos>) -> Suspicion {
        let served_until = last_served_at.map_or(now, |at| at + MIN_OUTAGE_SECS);
        Suspicion { since: now, cause, served_until }
    }

    /// Records a further failed call, which is not the mark of a limit.
    pub fn record_failure(&mut self) {
        if self.cause == SuspicionCause::Rejection {
            self.cause = SuspicionCause::Failure;
        }
    }

    /// Returns whether a served call that was sent at this time says nothing about the suspicion, because the
    /// endpoint may have accepted it before the outage.
    pub fn outlasts(&self, sent_at: Nanos) -> bool {
        self.cause != SuspicionCause::Failure && sent_at < self.since
    }

    /// Records such a call, which is served now.
    pub fn record_earlier_call(&mut self, now: Nanos) {
        self.served_until = now + MIN_OUTAGE_SECS;
    }

    /// Returns whether the endpoint may only be at its limit: it served a call too short a time ago for an
    /// outage.
    pub fn may_be_at_limit(&self, now: Nanos) -> bool {
        self.cause == SuspicionCause::Rejection && now < self.served_until
    }

    /// Returns the time until which a second call may show that a failure was isolated. It is short unless a
    /// call was served lately, because many forwarders may see the end of an outage fail a call.
    pub fn second_call_until(&self) -> Nanos {
        let (longest, shortest) = SECOND_CALL_SECS;
        self.served_until.min(self.since + longest).max(self.since + shortest)
    }
}
