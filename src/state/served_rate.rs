//! The rate at which a destination serves the calls of this forwarder while it is healthy.
use crate::interface::Nanos;

/// Time constant of the moving mean, in seconds.
const TIME_CONSTANT_SECS: f64 = 10.0;
/// Shortest measured time, in seconds; one call right after the start does not give a high rate.
const MIN_AGE_SECS: f64 = 1.0;

/// A moving mean of served calls per second, which keeps its value from the start of an outage to the end of
/// the slow start after it.
///
/// The means of all forwarders together never exceed what the destination could process, whatever the
/// demand.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServedRate {
    /// Start of the measurement; `None` before it.
    started_at: Option<Nanos>,
    /// The mean at `updated_at`, in calls per second, with no calls before the start.
    mean: f64,
    /// Time of the last update.
    updated_at: Nanos,
    /// The destination is not healthy, so the mean does not change.
    is_held: bool,
}

impl ServedRate {
    /// Returns a mean that an earlier process has measured, and that is held from now on.
    pub fn held(now: Nanos, mean: f64) -> ServedRate {
        ServedRate { started_at: Some(Nanos(0)), mean, updated_at: now, is_held: true }
    }

    /// Starts the measurement, unless it has started.
    pub fn start(&mut self, now: Nanos) {
        self.started_at.get_or_insert(now);
    }

    /// Returns the mean since the start of the measurement, in calls per second.
    pub fn at(&self, now: Nanos) -> f64 {
        let now = if self.is_held { self.updated_at } else { now };
        let age = (now - self.started_at.unwrap_or(now)).secs().max(MIN_AGE_SECS);
        self.decayed(now) / (1.0 - (-age / TIME_CONSTANT_SECS).exp())
    }

    fn decayed(&self, now: Nanos) -> f64 {
        self.mean * (-(now - self.updated_at).secs() / TIME_CONSTANT_SECS).exp()
    }

    /// Records a served call.
    pub fn record(&mut self, now: Nanos) {
        if self.is_held {
            return;
        }
        self.mean = self.decayed(now) + 1.0 / TIME_CONSTANT_SECS;
        self.updated_at = now;
    }

    /// Holds the mean from now on, or lets it change again.
    pub fn set_held(&mut self, now: Nanos, is_held: bool) {
        if is_held == self.is_held {
            return;
        }
        if is_held {
            self.mean = self.decayed(now);
        } else if let Some(started_at) = self.started_at {
            // The time of the outage does not count.
            self.started_at = Some(started_at + (now - self.updated_at));
        }
        self.updated_at = now;
        self.is_held = is_held;
    }
}
