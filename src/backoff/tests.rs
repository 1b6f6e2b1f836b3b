//! Pauses of many that ask the same place.
use super::*;
use rstest::rstest;

/// A bound that no herd here reaches.
const LONG: Duration = Duration::from_secs(30);

/// Asks a second over `for_s` seconds of `many` forwarders that fail together, each ask refused at once.
fn refused(many: usize, longest: Duration, for_s: usize) -> Vec<usize> {
    let mut asks = vec![0; for_s];
    for n in 0..many {
        let mut backoff = Backoff::new(many, longest, n as u64);
        let mut at = backoff.next_delay().as_secs_f64();
        while at < for_s as f64 {
            asks[at as usize] += 1;
            at += backoff.next_delay().as_secs_f64();
        }
    }
    asks
}

#[rstest]
#[case::of_100(100, 10)]
#[case::of_300(300, 30)]
fn many_that_are_refused_together_thin_out(#[case] many: usize, #[case] after_s: usize) {
    let asks = refused(many, LONG, after_s + 50);
    let later = &asks[after_s..];
    assert!(later.iter().all(|a| *a < 50), "{asks:?}");
    let mean = later.iter().sum::<usize>() / later.len();
    assert!((10..=40).contains(&mean), "{mean} a second: neither a flood nor silence");
}

#[test]
fn two_ask_again_soon() {
    let asks = refused(2, LONG, 60);
    assert!(asks.iter().sum::<usize>() > 100, "{asks:?}");
    assert!(asks.iter().all(|a| *a < 30), "{asks:?}");
}

#[test]
fn a_hundred_that_start_together_ask_one_by_one() {
    let mut asks = [0; 100];
    for n in 0..100 {
        asks[Backoff::new(100, LONG, n).initial_delay(LONG).as_millis() as usize / 50] += 1;
    }
    assert!(asks.iter().all(|a| *a <= 8), "at most so many in 50 ms: {asks:?}");
    assert!(Backoff::new(2, LONG, 7).initial_delay(LONG) <= Duration::from_millis(50), "two hardly wait");
    assert_eq!(Backoff::new(1, LONG, 7).initial_delay(LONG), Duration::ZERO);
}

#[test]
fn absurd_numbers_of_forwarders_give_bounded_pauses() {
    for many in [0, 1, 1000, usize::MAX] {
        let mut backoff = Backoff::new(many, LONG, 7);
        assert!(backoff.initial_delay(LEAST) <= LEAST);
        let pauses: Vec<Duration> = (0..100).map(|_| backoff.next_delay()).collect();
        assert!(pauses.iter().all(|p| *p <= LONG), "{many}: {pauses:?}");
        assert!(pauses[20..].iter().any(|p| *p > LEAST / 4), "{many}: {pauses:?}");
        backoff.reset();
        assert!(backoff.next_delay() <= FIRST);
    }
}

/// What discovery has counts as told a fixed time after it can be reached: no pause is longer than the bound.
#[test]
fn no_pause_is_longer_than_its_bound() {
    let longest = Duration::from_millis(2600);
    for seed in 0..300 {
        let mut backoff = Backoff::new(300, longest, seed);
        assert!((0..50).all(|_| backoff.next_delay() <= longest));
        assert!(backoff.initial_delay(Duration::MAX) <= longest);
    }
}
