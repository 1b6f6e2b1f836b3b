//! Members that have not shown a certificate in this life are visited: only who has shown one counts. Whoever learns or
//! teaches has done so already; a visit is for the rest. One visit serves both sides.
use super::connect::Connector;
use super::rotation::{Rotation, AGAIN, SHUNNED};
use super::session::{self, SessionEnd};
use crate::fleet::gossip::KnownMembers;
use crate::fleet::member::Member;
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
pub struct Visits(Rotation);

impl Visits {
    /// None yet.
    pub fn new(seed: u64) -> Visits {
        Visits(Rotation::new(AT_ONCE, seed))
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
pub async fn run(dial: Connector, known: watch::Receiver<Arc<KnownMembers>>, seed: u64) {
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
        let unshown = known.borrow().unauthenticated.clone();
        for who in visits.choose(now(), &unshown) {
            let (dial, ended) = (dial.clone(), ended_in.clone());
            tokio::spawn(async move {
                let met = async { session::meet(dial.to(who.address).await?, &dial.me).await };
                let pause = match met.await {
                    Ok(()) => AGAIN,
                    Err(SessionEnd::Closed(why)) => {
                        log::debug!("neighbours: {} has not shown its certificate: {why}", who.name);
                        AGAIN
                    }
                    Err(SessionEnd::Rejected(why)) => {
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
mod tests;
