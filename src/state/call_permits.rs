//! Permits for calls to an endpoint that is suspected, in an outage or in slow start.
use super::Random;
use crate::interface::Nanos;

/// Time in seconds for which a permit may be used. Permits that are blocked by something else must not add
/// up, because many forwarders may be unblocked at the same moment.
const VALIDITY_SECS: f64 = 0.1;
/// Lowest rate in permits per second used to compute a wait; it prevents a division by zero.
const MIN_RATE: f64 = 1e-3;

/// A Poisson process of permits, each of which allows one call while it is valid.
///
/// Permits cannot be saved: an unused permit expires. The calls of many forwarders are then independent of
/// each other, so that their sum follows from the sum of their rates even if they wait for the same event.
/// With one saved token in each forwarder, the sum would exceed it by the number of forwarders.
#[derive(Clone, Copy, Default)]
pub(crate) struct CallPermits {
    /// Expected number of permits since the last one.
    progress: f64,
    /// The value of `progress` at which the next permit is granted, with an exponential distribution.
    required: f64,
    /// Time up to which `progress` is computed.
    updated_at: Nanos,
    /// End of the current permit's validity.
    valid_until: Option<Nanos>,
    /// The current permit is one for the call after a failed one.
    is_second_call: bool,
}

impl CallPermits {
    /// Starts the wait for the next permit anew. The result is the same as that of a wait that continues,
    /// because the distribution of the wait is memoryless.
    pub fn restart(&mut self, now: Nanos, random: &mut Random) {
        let required = -(1.0 - random.next()).ln();
        *self = CallPermits { required, updated_at: now, ..CallPermits::default() };
    }

    /// Starts the wait anew unless a permit is valid.
    pub fn restart_if_unused(&mut self, now: Nanos, random: &mut Random) {
        if self.valid_until.is_none_or(|until| now > until) {
            self.restart(now, random);
        }
    }

    /// Grants a permit at once that is valid until this time.
    pub fn grant(&mut self, valid_until: Nanos) {
        self.valid_until = Some(valid_until);
        self.is_second_call = true;
    }

    /// Returns whether the current permit is one for the call after a failed one.
    pub fn is_second_call(&self) -> bool {
        self.is_second_call
    }

    /// Advances the process to `now`. `rate` is in permits per second. A permit that has expired meanwhile is
    /// lost, also if this method was not called while it was valid.
    pub fn advance(&mut self, now: Nanos, rate: f64, random: &mut Random) {
        while self.updated_at < now {
            let granted_at = self.next(self.updated_at, rate);
            let valid_until = match self.valid_until {
                Some(valid_until) => valid_until,
                None if granted_at > now => break,
                None => granted_at + VALIDITY_SECS,
            };
            if now <= valid_until {
                self.valid_until = Some(valid_until);
                break;
            }
            self.restart(valid_until, random);
        }
        if self.valid_until.is_none() {
            self.progress += rate * (now - self.updated_at).secs();
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns whether a call may start.
    pub fn is_granted(&self) -> bool {
        self.valid_until.is_some()
    }

    /// Returns the time of the next permit at this rate.
    pub fn next(&self, now: Nanos, rate: f64) -> Nanos {
        if self.is_granted() {
            return now;
        }
        self.updated_at.max(now) + (self.required - self.progress).max(0.0) / rate.max(MIN_RATE)
    }
}
