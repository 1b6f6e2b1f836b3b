//! Members that have not shown a certificate in this life are visited: only who has shown one counts. Whoever learns or
//! teaches has done so already; a visit is for the rest. One visit serves both sides.
use super::dial::Dial;
use super::link::{self, End};
use super::turns::{Turns, AGAIN, SHUNNED};
use crate::fleet::gossip::Known;
use crate::fleet::members::Member;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Visits at once. A handshake is a millisecond of this machine: a fleet of a thousand is met in under a minute, and
/// the forwarder does not notice.
pub const AT_ONCE: usize = 4;
/// How often visits begin.
pub const EVERY: Duration = Duration::from_millis(50);

/// Whom to visit, without I/O: some at a time, those that failed not again at once. Times in seconds of any clock.
pub struct Visits(Turns);

impl Visits {
    /// None yet.
    pub fn new(seed: u64) -> Visits {
        Visits(Turns::new(AT_ONCE, seed))
    }

    /// Whom to visit now.
    pub fn choose(&mut self, now: f64, unshown: &[Member]) -> Vec<Member> {
        let chosen = self.0.choose(now, unshown.iter().map(|m| m.address));
        unshown.iter().filter(|m| chosen.contains(&m.address)).cloned().collect()
    }

    /// One is over; the next to the same begins after so long. Also after one that went well: the life that was shown
    /// may be another than the one known.
    pub fn ended(&mut self, now: f64, who: SocketAddr, pause: f64) {
        self.0.ended(now, who, pause);
    }
}

/// Visits for as long as the process runs.
pub async fn all(dial: Dial, known: watch::Receiver<Arc<Known>>, seed: u64) {
    let began = Instant::now();
    let mut visits = Visits::new(seed);
    let (ended_in, mut ended) = mpsc::unbounded_channel();
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let now = || began.elapsed().as_secs_f64();
        tokio::select! {
            _ = ticks.tick() => {}
            some = ended.recv() => if let Some((who, pause)) = some {
                visits.ended(now(), who, pause);
                continue;
            },
        }
        let unshown = known.borrow().unshown.clone();
        for who in visits.choose(now(), &unshown) {
            let (dial, ended) = (dial.clone(), ended_in.clone());
            tokio::spawn(async move {
                let met = async { link::meet(dial.to(who.address).await?, &dial.me).await };
                let pause = match met.await {
                    Ok(()) => AGAIN,
                    Err(End::Over(why)) => {
                        log::debug!("neighbours: {} has not shown its certificate: {why}", who.name);
                        AGAIN
                    }
                    Err(End::Shun(why)) => {
                        log::warn!("neighbours: {} is there and does not count: {why}", who.name);
                        SHUNNED
                    }
                };
                let _ = ended.send((who.address, pause));
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::members::tests::member;

    #[test]
    fn all_are_met_some_at_a_time_and_none_twice_at_once() {
        let mut visits = Visits::new(3);
        let mut unshown: Vec<Member> = (1..30).map(|n| member(n, 1)).collect();
        for round in 0..8 {
            let chosen = visits.choose(f64::from(round), &unshown);
            assert!(chosen.len() <= AT_ONCE);
            assert!(visits.choose(f64::from(round), &unshown).is_empty(), "all are on their way");
            for who in chosen {
                unshown.retain(|m| *m != who);
                visits.ended(f64::from(round), who.address, AGAIN);
            }
        }
        assert!(unshown.is_empty());
    }

    #[test]
    fn one_that_failed_is_left_alone_for_a_while() {
        let mut visits = Visits::new(3);
        let one = [member(1, 1)];
        assert_eq!(visits.choose(0.0, &one), one);
        visits.ended(0.0, one[0].address, SHUNNED);
        assert!(visits.choose(SHUNNED - 1.0, &one).is_empty());
        assert_eq!(visits.choose(SHUNNED + 1.0, &one), one);
    }
}
