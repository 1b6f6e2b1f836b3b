//! Keeps sessions with a few sources, and aggregates what they publish.
use super::aggregation::{Aggregator, PeerId};
use super::connect::Connector;
use super::error::{RejectReason, SessionEnd};
use super::frame::EndpointObservation;
use super::rotation::{RECONNECT_BACKOFF_SECS, REJECTED_BACKOFF_SECS};
use super::session;
use super::sources::Sources;
use super::REFRESH_INTERVAL;
use crate::clock;
use crate::exchange::Exchange;
use crate::fleet::gossip::KnownMembers;
use crate::interface::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, Instant};

/// Observations of one frame.
pub struct ReceivedBatch {
    peer: PeerId,
    /// The longest time for which the frame can have been in transit.
    transit: Nanos,
    observations: Vec<EndpointObservation>,
}

/// Aggregates what arrives, and hands to the exchange what counts.
pub async fn aggregate(exchange: Exchange, mut batches: mpsc::Receiver<ReceivedBatch>) {
    let mut aggregator = Aggregator::default();
    let mut ticks = interval(REFRESH_INTERVAL);
    loop {
        tokio::select! {
            received = batches.recv() => match received {
                Some(batch) => record(&mut aggregator, batch),
                None => return,
            },
            _ = ticks.tick() => {}
        }
        while let Ok(batch) = batches.try_recv() {
            record(&mut aggregator, batch);
        }
        let due = aggregator.due(clock::now());
        if !due.is_empty() {
            exchange.peer_observations(due);
        }
    }
}

fn record(aggregator: &mut Aggregator, batch: ReceivedBatch) {
    aggregator.record(clock::now(), batch.peer, batch.transit, batch.observations);
}

/// A session that has ended.
struct EndedSession {
    address: SocketAddr,
    end: SessionEnd,
}

/// Keeps sessions with sources for as long as the process runs.
pub async fn run(
    mut sources: Sources, known: watch::Receiver<Arc<KnownMembers>>, connector: Connector,
    batches: mpsc::Sender<ReceivedBatch>,
) {
    let start = Instant::now();
    let (ended_tx, mut ended_rx) = mpsc::unbounded_channel();
    let mut rejections = RejectionLog::default();
    let mut last_peer: PeerId = 0;
    let mut ticks = interval(REFRESH_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(EndedSession { address, end }) = ended_rx.recv() => {
                let backoff = backoff_after(address, end, &mut rejections);
                sources.release(start.elapsed().as_secs_f64(), address, backoff);
            }
        }
        let members = known.borrow().available.clone();
        for address in sources.select(start.elapsed().as_secs_f64(), &members) {
            last_peer += 1;
            let (connector, batches, ended) = (connector.clone(), batches.clone(), ended_tx.clone());
            tokio::spawn(async move {
                let end = subscribe(&connector, address, last_peer, batches).await;
                // Nobody receives it once the process shuts down.
                let _ = ended.send(EndedSession { address, end });
            });
        }
    }
}

async fn subscribe(
    connector: &Connector, address: SocketAddr, peer: PeerId, batches: mpsc::Sender<ReceivedBatch>,
) -> SessionEnd {
    let stream = match connector.connect(address).await {
        Ok(stream) => stream,
        Err(end) => return end,
    };
    session::subscribe(stream, &connector.identity, |transit, batch| {
        // Dropped where aggregation is behind: what counts is published again.
        let _ = batches.try_send(ReceivedBatch { peer, transit, observations: batch.observations });
    })
    .await
}

/// Logs why a session has ended, and gives the backoff in seconds before the next one.
fn backoff_after(address: SocketAddr, end: SessionEnd, rejections: &mut RejectionLog) -> f64 {
    match end {
        SessionEnd::Closed(reason) => {
            log::debug!("peer exchange: session with source {address} closed: {reason}");
            RECONNECT_BACKOFF_SECS
        }
        SessionEnd::Rejected(reason) => {
            rejections.log(address, &reason);
            REJECTED_BACKOFF_SECS
        }
    }
}

/// Logs a rejected source once for each reason, not at each attempt.
#[derive(Default)]
struct RejectionLog {
    last_reasons: BTreeMap<SocketAddr, String>,
}

impl RejectionLog {
    fn log(&mut self, address: SocketAddr, reason: &RejectReason) {
        let reason = reason.to_string();
        if self.last_reasons.get(&address) != Some(&reason) {
            log::warn!("peer exchange: rejected source {address}: {reason}");
            self.last_reasons.insert(address, reason);
        }
    }
}
