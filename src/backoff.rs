//! How long to pause before a place that all forwarders ask is asked again: exponential, with full jitter and a cap.
//! Holds no clock; its luck comes from the seed of the start.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The window of the first pause: as short as it was when two or three forwarders asked.
const FIRST: Duration = Duration::from_millis(200);
/// Asks a second that all forwarders together make of a place that takes none of them. Far under what one that
/// serves lists takes, so that it comes back under them.
const ASKS: f64 = 20.0;
/// Bounds of the longest window, whatever the settings say of the number of forwarders: as long as the shortest
/// useful one, and not so long that one forwarder is forgotten.
const LEAST: Duration = Duration::from_secs(1);
const MOST: Duration = Duration::from_secs(30);

#[derive(Debug)]
pub struct Backoff {
    luck: StdRng,
    window: Duration,
    top: Duration,
    /// The window in which all forwarders ask once.
    all: Duration,
}

impl Backoff {
    /// For one of so many forwarders that ask the same place. One alone is no herd.
    pub fn new(forwarders: usize, seed: u64) -> Backoff {
        let all =
            Duration::from_secs_f64((forwarders.saturating_sub(1) as f64 / ASKS).min(MOST.as_secs_f64()));
        // A pause is half a window on average.
        let top = (all * 2).clamp(LEAST, MOST);
        Backoff { luck: StdRng::seed_from_u64(seed), window: FIRST, top, all }
    }

    /// The pause before all forwarders ask a place that has not failed: after a start, or when it has moved.
    /// Guards a place that they would overrun: those that start together come one by one, within `most`.
    pub fn first(&mut self, most: Duration) -> Duration {
        self.all.min(most).mul_f64(self.luck.random::<f64>())
    }

    /// The next pause. Guards against a herd: any time in the window is as likely, so those that failed at the same
    /// moment come back spread over it.
    pub fn pause(&mut self) -> Duration {
        let pause = self.window.mul_f64(self.luck.random::<f64>());
        self.window = (self.window * 2).min(self.top);
        pause
    }

    /// It was answered.
    pub fn reset(&mut self) {
        self.window = FIRST;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Asks a second over `for_s` seconds of `many` forwarders that fail together, each ask refused at once.
    fn refused(many: usize, for_s: usize) -> Vec<usize> {
        let mut asks = vec![0; for_s];
        for n in 0..many {
            let mut backoff = Backoff::new(many, n as u64);
            let mut at = backoff.pause().as_secs_f64();
            while at < for_s as f64 {
                asks[at as usize] += 1;
                at += backoff.pause().as_secs_f64();
            }
        }
        asks
    }

    #[rstest]
    #[case::of_100(100, 10)]
    #[case::of_300(300, 30)]
    fn many_that_are_refused_together_thin_out(#[case] many: usize, #[case] after_s: usize) {
        let asks = refused(many, after_s + 50);
        let later = &asks[after_s..];
        assert!(later.iter().all(|a| *a < 50), "{asks:?}");
        let mean = later.iter().sum::<usize>() / later.len();
        assert!((10..=40).contains(&mean), "{mean} a second: neither a flood nor silence");
    }

    #[test]
    fn two_ask_again_soon() {
        let asks = refused(2, 60);
        assert!(asks.iter().sum::<usize>() > 100, "{asks:?}");
        assert!(asks.iter().all(|a| *a < 30), "{asks:?}");
    }

    #[test]
    fn a_hundred_that_start_together_ask_one_by_one() {
        let mut asks = [0; 100];
        for n in 0..100 {
            asks[Backoff::new(100, n).first(MOST).as_millis() as usize / 50] += 1;
        }
        assert!(asks.iter().all(|a| *a <= 8), "at most so many in 50 ms: {asks:?}");
        assert!(Backoff::new(2, 7).first(MOST) <= Duration::from_millis(50), "two hardly wait");
        assert_eq!(Backoff::new(1, 7).first(MOST), Duration::ZERO);
    }

    #[test]
    fn absurd_numbers_of_forwarders_give_bounded_pauses() {
        for many in [0, 1, 1000, usize::MAX] {
            let mut backoff = Backoff::new(many, 7);
            assert!(backoff.first(LEAST) <= LEAST);
            let pauses: Vec<Duration> = (0..100).map(|_| backoff.pause()).collect();
            assert!(pauses.iter().all(|p| *p <= MOST), "{many}: {pauses:?}");
            assert!(pauses[20..].iter().any(|p| *p > LEAST / 4), "{many}: {pauses:?}");
            backoff.reset();
            assert!(backoff.pause() <= FIRST);
        }
    }
}
