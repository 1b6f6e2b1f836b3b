//! How long to pause before a place that all forwarders ask is asked again: exponential, with jitter and a
//! cap. Holds no clock; its random numbers come from the seed of the start.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The window of the first pause: as short as it was when two or three forwarders asked.
const FIRST: Duration = Duration::from_millis(200);
/// Asks a second that all forwarders together make of a place that takes none of them. Far under what one that
/// serves lists takes, so that it comes back under them.
const ASKS: f64 = 20.0;
/// The longest window where few ask: the shortest that is of use.
const LEAST: Duration = Duration::from_secs(1);

/// The pauses of one forwarder.
#[derive(Debug)]
pub struct Backoff {
    random: StdRng,
    window: Duration,
    longest_window: Duration,
    /// The window in which all forwarders ask once.
    all: Duration,
}

impl Backoff {
    /// For one of so many forwarders that ask the same place, none of which may pause for longer than `longest`. One alone
    /// is no herd.
    pub fn new(forwarders: usize, longest: Duration, seed: u64) -> Backoff {
        let all = (forwarders.saturating_sub(1) as f64 / ASKS).min(longest.as_secs_f64());
        let all = Duration::from_secs_f64(all);
        Backoff {
            random: StdRng::seed_from_u64(seed),
            window: FIRST,
            longest_window: (all * 2).max(LEAST).min(longest),
            all,
        }
    }

    /// The pause before all forwarders ask a place that has not failed: after a start, or when it has moved.
    /// Guards a place that they would overrun: those that start together come one by one, within `most`.
    pub fn initial_delay(&mut self, most: Duration) -> Duration {
        let all = self.all.min(most);
        self.part_of(all)
    }

    /// A random part of this time.
    fn part_of(&mut self, time: Duration) -> Duration {
        time.mul_f64(self.random.random::<f64>())
    }

    /// The next pause. Guards against a herd: any time in the window is as likely, so those that failed at the same
    /// moment come back spread over it.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.part_of(self.window);
        self.window = (self.window * 2).min(self.longest_window);
        pause
    }

    /// It was answered.
    pub fn reset(&mut self) {
        self.window = FIRST;
    }
}

#[cfg(test)]
mod tests;
