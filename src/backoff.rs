//! Backoff for a server that all forwarders poll: exponential, with full jitter and a maximum. The module reads no clock
//! and derives its random numbers from a seed.
#![warn(missing_docs)]
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Window of the first delay, short enough for a fleet of two or three forwarders.
const INITIAL_WINDOW: Duration = Duration::from_millis(200);
/// Maximum rate at which all forwarders together poll a server that does not respond. It is far below the capacity of a
/// discovery server, so that an overloaded server can recover.
const MAX_POLLS_PER_SEC: f64 = 20.0;
/// Mean of the delays that are uniformly distributed over the upper half of a window, relative to the window.
const MEAN_UPPER_HALF: f64 = 0.75;
/// Lower bound of the longest window. With few forwarders, a shorter limit has no benefit.
const MIN_LONGEST_WINDOW: Duration = Duration::from_secs(1);

/// Delays between the polls of one forwarder.
#[derive(Debug)]
pub struct Backoff {
    random: StdRng,
    /// Upper bound of the next delay after a failure, which is a random fraction of it.
    window: Duration,
    longest_window: Duration,
    /// Estimate of the shortest period in which the server can bear one poll from every forwarder.
    shared_window: Duration,
    max_delay: Duration,
    /// Period in which every forwarder polls once, at [`MAX_POLLS_PER_SEC`].
    poll_period: Duration,
}

impl Backoff {
    /// Creates the backoff of one of `forwarders` forwarders that poll the same server. No delay exceeds `max_delay`. The
    /// poll period of a single forwarder is zero, as it shares the server with no other forwarder.
    pub fn new(forwarders: usize, max_delay: Duration, seed: u64) -> Backoff {
        let other_forwarders = forwarders.saturating_sub(1) as f64;
        let poll_period =
            Duration::from_secs_f64((other_forwarders / MAX_POLLS_PER_SEC).min(max_delay.as_secs_f64()));
        Backoff {
            random: StdRng::seed_from_u64(seed),
            window: INITIAL_WINDOW,
            longest_window: (poll_period * 2).max(MIN_LONGEST_WINDOW).min(max_delay),
            shared_window: poll_period.max(INITIAL_WINDOW),
            max_delay,
            poll_period,
        }
    }

    /// Returns the delay before the first poll of a server that has not failed, at most `max_delay`: after a start or a change
    /// of the server's address. Forwarders that start together spread their polls over the poll period, so that they do not
    /// overload the server.
    pub fn initial_delay(&mut self, max_delay: Duration) -> Duration {
        self.random_fraction_of(self.poll_period.min(max_delay))
    }

    /// Returns the delay after a failure. Delays are uniformly distributed over the window, so that forwarders that failed at
    /// the same moment do not retry as a thundering herd.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.random_fraction_of(self.window);
        self.window = (self.window * 2).min(self.longest_window);
        delay
    }

    /// Returns the delay after a connection that broke without a response. The window is limited as that of
    /// [`rejection_delay`](Self::rejection_delay).
    pub fn broken_connection_delay(&mut self, max_delay: Duration) -> Duration {
        self.window = self.window.min(self.bearable_window(max_delay));
        self.next_delay()
    }

    /// Returns the delay after a failed connect, at most `max_delay`. Such a poll costs the server nothing while it is down.
    /// Once the server is up again, all forwarders find it within `max_delay`. The delays are uniformly distributed over the
    /// upper half of the window, which spreads the polls over at least that time.
    pub fn probe_delay(&mut self, max_delay: Duration) -> Duration {
        let window = self.shared_window.min(max_delay);
        self.shared_window = (window * 2).min(max_delay);
        self.random_upper_half_of(window)
    }

    /// Returns the delay after a rejected poll. Each rejection halves the polling rate of the forwarders that receive it. A server
    /// that is down may reject polls like an overloaded one, so the rate is halved only until all forwarders together poll
    /// 20 times a second, or each within `max_delay` if that takes longer: then they find the server within `max_delay` once it
    /// is up again, unless they are too many.
    pub fn rejection_delay(&mut self, max_delay: Duration) -> Duration {
        self.shared_window = (self.shared_window * 2).min(self.bearable_window(max_delay));
        self.random_upper_half_of(self.shared_window)
    }

    /// Returns the delay after a poll without a response, which indicates overload. Each such poll halves the polling rate of the
    /// forwarders that sent it.
    pub fn overload_delay(&mut self) -> Duration {
        self.shared_window = (self.shared_window * 2).min(self.max_delay);
        self.random_fraction_of(self.shared_window)
    }

    /// Resets the delays to their initial length after the server has responded.
    pub fn reset(&mut self) {
        self.window = INITIAL_WINDOW;
        self.shared_window = self.poll_period.max(INITIAL_WINDOW);
    }

    /// Returns the window in which all forwarders poll at [`MAX_POLLS_PER_SEC`], or `max_delay` if that is longer.
    fn bearable_window(&self, max_delay: Duration) -> Duration {
        self.poll_period.div_f64(MEAN_UPPER_HALF).max(max_delay)
    }

    fn random_upper_half_of(&mut self, duration: Duration) -> Duration {
        duration / 2 + self.random_fraction_of(duration / 2)
    }

    fn random_fraction_of(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.random.random::<f64>())
    }
}

#[cfg(test)]
mod tests;
