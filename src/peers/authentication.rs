//! Connects to members to verify their certificates. Only members that have presented a certificate in their current
//! incarnation count in the fleet. The sessions of `subscribe` and `publish` authenticate both sides as well; the
//! connections of this module cover the remaining members. Each connection authenticates both sides to each other.
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

/// Maximum number of concurrent connections. A handshake takes a millisecond of CPU time: a fleet of a thousand members is
/// authenticated in under a minute without delaying messages.
pub const MAX_CONNECTIONS: usize = 4;
/// Interval at which connections are started.
pub const CONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Schedules the connections to unauthenticated members, without I/O. Times are in seconds of any monotonic clock.
pub struct AuthenticationSchedule(Rotation);

impl AuthenticationSchedule {
    /// Creates a schedule without connections.
    pub fn new(random_seed: u64) -> AuthenticationSchedule {
        AuthenticationSchedule(Rotation::new(MAX_CONNECTIONS, random_seed))
    }

    /// Selects the members to connect to now.
    pub fn select(&mut self, now: f64, unauthenticated: &[Member]) -> Vec<Member> {
        let selected = self.0.select(now, unauthenticated.iter().map(|member| member.address));
        unauthenticated.iter().filter(|member| selected.contains(&member.address)).cloned().collect()
    }

    /// Records that the connection to `address` ended. The next one starts at least `backoff` seconds later, also after a
    /// success: the authenticated incarnation may differ from the one in the fleet's view.
    pub fn release(&mut self, now: f64, address: SocketAddr, backoff: f64) {
        self.0.release(now, address, backoff);
    }
}

/// The outcome of a connection to a member.
struct EndedConnection {
    address: SocketAddr,
    /// Minimum time until the next connection to this address, in seconds.
    backoff: f64,
}

/// Authenticates members until the process exits.
pub async fn run(connector: Connector, known: watch::Receiver<Arc<KnownMembers>>, random_seed: u64) {
    let start = Instant::now();
    let mut schedule = AuthenticationSchedule::new(random_seed);
    let (ended_tx, mut ended_rx) = mpsc::unbounded_channel();
    let mut ticks = interval(CONNECT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let unauthenticated = known.borrow().unauthenticated.clone();
                let now = start.elapsed().as_secs_f64();
                for member in schedule.select(now, &unauthenticated) {
                    tokio::spawn(authenticate_member(connector.clone(), member, ended_tx.clone()));
                }
            }
            Some(EndedConnection { address, backoff }) = ended_rx.recv() => {
                schedule.release(start.elapsed().as_secs_f64(), address, backoff);
            }
        }
    }
}

async fn authenticate_member(
    connector: Connector, member: Member, ended: mpsc::UnboundedSender<EndedConnection>,
) {
    let backoff = match connect_and_authenticate(&connector, member.address).await {
        Ok(()) => RECONNECT_BACKOFF_SECS,
        Err(SessionEnd::Closed(reason)) => {
            log::debug!("peer exchange: member {} not authenticated yet: {reason}", member.name);
            RECONNECT_BACKOFF_SECS
        }
        Err(SessionEnd::Rejected(reason)) => {
            log::warn!(
                "peer exchange: member {} is not counted: authentication failed: {reason}",
                member.name
            );
            REJECTED_BACKOFF_SECS
        }
    };
    // The receiver is closed only when the process shuts down.
    let _ = ended.send(EndedConnection { address: member.address, backoff });
}

async fn connect_and_authenticate(connector: &Connector, address: SocketAddr) -> Result<(), SessionEnd> {
    let stream = connector.connect(address).await?;
    session::authenticate(stream, &connector.identity).await
}

#[cfg(test)]
mod tests;
