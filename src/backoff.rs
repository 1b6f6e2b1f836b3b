//! Backoff for a server that all forwarders poll: exponential, with full jitter and a cap. Reads no clock; its random
//! numbers come from a seed.
#![warn(missing_docs)]
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The window of the first delay: short, for two or three forwarders.
const INITIAL_WINDOW: Duration = Duration::from_millis(200);
/// Polls a second that all forwarders together make of a server that answers none of them. Far below what a server of lists
/// can answer, so that it recovers under them.
const MAX_POLLS_PER_SEC: f64 = 20.0;
/// The longest window where there are few forwarders: shorter ones are of no use.
const MIN_LONGEST_WINDOW: Duration = Duration::from_secs(1);

/// The delays of one forwarder.
#[derive(Debug)]
pub struct Backoff {
    random: StdRng,
    /// The next delay is a random part of this.
    window: Duration,
    longest_window: Duration,
    /// The time in which all forwarders poll once, as far as this one knows what the server bears.
    shared_window: Duration,
    max_delay: Duration,
    /// The time in which all forwarders poll once, at [`MAX_POLLS_PER_SEC`].
    poll_period: Duration,
}

impl Backoff {
    /// The delays of one of this many forwarders that poll the same server, none longer than `max_delay`. One forwarder alone
    /// does not wait for others.
    pub fn new(forwarders: usize, max_delay: Duration, seed: u64) -> Backoff {
        let others = forwarders.saturating_sub(1) as f64;
        let poll_period = Duration::from_secs_f64((others / MAX_POLLS_PER_SEC).min(max_delay.as_secs_f64()));
        Backoff {
            random: StdRng::seed_from_u64(seed),
            window: INITIAL_WINDOW,
            longest_window: (poll_period * 2).max(MIN_LONGEST_WINDOW).min(max_delay),
            shared_window: poll_period.max(INITIAL_WINDOW),
            max_delay,
            poll_period,
        }
    }

    /// The delay before the first poll of a server that has not failed: after a start, or when its address has changed. Guards
    /// a server that all forwarders would overload: those that start together poll one by one, within `max_delay`.
    pub fn initial_delay(&mut self, max_delay: Duration) -> Duration {
        self.random_part_of(self.poll_period.min(max_delay))
    }

    /// The delay after a failure. Guards against a thundering herd: any time in the window is as likely, so forwarders that
    /// failed at the same moment come back spread over it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.random_part_of(self.window);
        self.window = (self.window * 2).min(self.longest_window);
        delay
    }

    /// The delay after a connect that failed, never longer than `max_delay`: nobody is served there, so a poll costs the server
    /// nothing until it is back. All forwarders find it back within that time, spread over half of it at least.
    pub fn probe_delay(&mut self, max_delay: Duration) -> Duration {
        let window = self.shared_window.min(max_delay);
        self.shared_window = (window * 2).min(max_delay);
        window / 2 + self.random_part_of(window / 2)
    }

    /// The delay after an answer of overload. All forwarders together poll half as often after each of them.
    pub fn overload_delay(&mut self) -> Duration {
        self.shared_window = (self.shared_window * 2).min(self.max_delay);
        self.random_part_of(self.shared_window)
    }

    /// The server has answered: the next delay is short again.
    pub fn reset(&mut self) {
        self.window = INITIAL_WINDOW;
        self.shared_window = self.poll_period.max(INITIAL_WINDOW);
    }

    fn random_part_of(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.random.random::<f64>())
    }
}

#[cfg(test)]
mod tests;
