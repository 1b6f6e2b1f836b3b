//! Tests of the delays of many forwarders that poll the same server.
use super::*;
use rstest::rstest;

/// Maximum delay that the poll periods of these tests do not reach.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Returns the number of polls in each of `secs` seconds, for forwarders that fail at the same moment and whose polls are
/// all refused immediately.
fn refused_polls(forwarders: usize, max_delay: Duration, secs: usize) -> Vec<usize> {
    let mut polls = vec![0; secs];
    for n in 0..forwarders {
        let mut backoff = Backoff::new(forwarders, max_delay, n as u64);
        let mut at = backoff.next_delay().as_secs_f64();
        while at < secs as f64 {
            polls[at as usize] += 1;
            at += backoff.next_delay().as_secs_f64();
        }
    }
    polls
}

#[rstest]
#[case::of_100(100, 10)]
#[case::of_300(300, 30)]
fn the_polling_rate_of_many_refused_forwarders_decreases(
    #[case] forwarders: usize, #[case] after_secs: usize,
) {
    let polls = refused_polls(forwarders, MAX_DELAY, after_secs + 50);
    let later = &polls[after_secs..];
    assert!(later.iter().all(|count| *count < 50), "{polls:?}");
    let mean = later.iter().sum::<usize>() / later.len();
    assert!((10..=40).contains(&mean), "{mean} polls per second is outside 10..=40");
}

#[test]
fn two_forwarders_retry_after_short_delays() {
    let polls = refused_polls(2, MAX_DELAY, 60);
    assert!(polls.iter().sum::<usize>() > 100, "{polls:?}");
    assert!(polls.iter().all(|count| *count < 30), "{polls:?}");
}

#[test]
fn a_hundred_forwarders_that_start_together_spread_their_first_polls() {
    let mut polls = [0; 100];
    for n in 0..100 {
        polls[Backoff::new(100, MAX_DELAY, n).initial_delay(MAX_DELAY).as_millis() as usize / 50] += 1;
    }
    assert!(polls.iter().all(|count| *count <= 8), "more than 8 polls within 50 ms: {polls:?}");
    assert!(
        Backoff::new(2, MAX_DELAY, 7).initial_delay(MAX_DELAY) <= Duration::from_millis(50),
        "two forwarders wait for at most 50 ms"
    );
    assert_eq!(Backoff::new(1, MAX_DELAY, 7).initial_delay(MAX_DELAY), Duration::ZERO);
}

#[test]
fn extreme_numbers_of_forwarders_give_bounded_delays() {
    for forwarders in [0, 1, 1000, usize::MAX] {
        let mut backoff = Backoff::new(forwarders, MAX_DELAY, 7);
        assert!(backoff.initial_delay(MIN_LONGEST_WINDOW) <= MIN_LONGEST_WINDOW);
        let delays: Vec<Duration> = (0..100).map(|_| backoff.next_delay()).collect();
        assert!(delays.iter().all(|delay| *delay <= MAX_DELAY), "{forwarders}: {delays:?}");
        assert!(delays[20..].iter().any(|delay| *delay > MIN_LONGEST_WINDOW / 4), "{forwarders}: {delays:?}");
        backoff.reset();
        assert!(backoff.next_delay() <= INITIAL_WINDOW);
    }
}

/// A forwarder must receive the endpoint list within a fixed time after discovery becomes reachable, so no delay may exceed
/// the maximum.
#[test]
fn no_delay_exceeds_the_maximum() {
    let max_delay = Duration::from_millis(2600);
    for seed in 0..300 {
        let mut backoff = Backoff::new(300, max_delay, seed);
        assert!((0..50).all(|_| backoff.next_delay() <= max_delay));
        assert!(backoff.initial_delay(Duration::MAX) <= max_delay);
    }
}
