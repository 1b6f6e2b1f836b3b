//! Connects to members to verify their certificates: only members that have presented one in their current incarnation
//! count in the fleet. Each session of `subscribe` and `publish` verifies both sides as well; these visits cover the
//! remaining members. One visit authenticates both sides to each other.
use super::connect::Connector;
use super::error::SessionEnd;
use super::rotation::{Rotation, RECONNECT_BACKOFF_SECS, REJECTED_BACKOFF_SECS};
use super::session;
use crate::fleet::gossip::KnownMembers;
use crate::fleet::member::Member;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Visits at a time. A handshake is a millisecond of CPU: a fleet of a thousand is authenticated in under a minute, and
/// forwarding is not delayed.
pub const MAX_VISITS: usize = 4;
/// Interval at which visits begin.
pub const VISIT_INTERVAL: Duration = Duration::from_millis(50);

/// Schedules the visits, without I/O. Times are in seconds of any monotonic clock.
pub struct VisitSchedule(Rotation);

impl VisitSchedule {
    /// No visits yet.
    pub fn new(random_seed: u64) -> VisitSchedule {
        VisitSchedule(Rotation::new(MAX_VISITS, random_seed))
    }

    /// Selects the members to visit now.
    pub fn select(&mut self, now: f64, unauthenticated: &[Member]) -> Vec<Member> {
        let selected = self.0.select(now, unauthenticated.iter().map(|member| member.address));
        unauthenticated.iter().filter(|member| selected.contains(&member.address)).cloned().collect()
    }

    /// A visit has ended; the next one to the same address begins `backoff` seconds later at the earliest. That holds
    /// for successful visits too: the incarnation that was authenticated may differ from the one in the view.
    pub fn release(&mut self, now: f64, address: SocketAddr, backoff: f64) {
        self.0.release(now, address, backoff);
    }
}

/// A visit that has ended.
struct EndedVisit {
    address: SocketAddr,
    /// Seconds until the next visit to this address.
    backoff: f64,
}

/// Visits unauthenticated members for as long as the process runs.
pub async fn run(connector: Connector, known: watch::Receiver<Arc<KnownMembers>>, random_seed: u64) {
    let start = Instant::now();
    let mut schedule = VisitSchedule::new(random_seed);
    let (ended_tx, mut ended_rx) = mpsc::unbounded_channel();
    let mut ticks = interval(VISIT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let unauthenticated = known.borrow().unauthenticated.clone();
                let now = start.elapsed().as_secs_f64();
                for member in schedule.select(now, &unauthenticated) {
                    tokio::spawn(visit(connector.clone(), member, ended_tx.clone()));
                }
            }
            Some(EndedVisit { address, backoff }) = ended_rx.recv() => {
                schedule.release(start.elapsed().as_secs_f64(), address, backoff);
            }
        }
    }
}

async fn visit(connector: Connector, member: Member, ended: mpsc::UnboundedSender<EndedVisit>) {
    let backoff = match authenticate(&connector, member.address).await {
        Ok(()) => RECONNECT_BACKOFF_SECS,
        Err(SessionEnd::Closed(reason)) => {
            log::debug!("peer exchange: member {} not authenticated yet: {reason}", member.name);
            RECONNECT_BACKOFF_SECS
        }
        Err(SessionEnd::Rejected(reason)) => {
            log::warn!(
                "peer exchange: member {} does not count, authentication failed: {reason}",
                member.name
            );
            REJECTED_BACKOFF_SECS
        }
    };
    // Nobody receives it once the process shuts down.
    let _ = ended.send(EndedVisit { address: member.address, backoff });
}

async fn authenticate(connector: &Connector, address: SocketAddr) -> Result<(), SessionEnd> {
    let stream = connector.connect(address).await?;
    session::authenticate(stream, &connector.identity).await
}

#[cfg(test)]
mod tests;
