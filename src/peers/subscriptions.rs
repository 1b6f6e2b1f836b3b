//! Maintains sessions with a few sources and aggregates the observations that they publish.
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

/// Observations received in one frame.
pub struct ReceivedBatch {
    peer: PeerId,
    /// Upper bound of the frame's transit time.
    transit: Nanos,
    observations: Vec<EndpointObservation>,
}

/// Aggregates received batches and passes the effective observations to the exchange.
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

/// An ended session with a source.
struct EndedSession {
    address: SocketAddr,
    end: SessionEnd,
}

/// Maintains sessions with sources until the process exits.
pub async fn run(
    mut sources: Sources, known: watch::Receiver<Arc<KnownMembers>>, connector: Connector,
    batches: mpsc::Sender<ReceivedBatch>,
) {
    let start = Instant::now();
    let (ended_tx, mut ended_rx) = mpsc::unbounded_channel();
    let mut rejections = RejectionLog::default();
    let mut last_peer_id: PeerId = 0;
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
            last_peer_id += 1;
            let (connector, batches, ended) = (connector.clone(), batches.clone(), ended_tx.clone());
            tokio::spawn(async move {
                let end = subscribe(&connector, address, last_peer_id, batches).await;
                // The receiver is closed only when the process shuts down.
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
        // Dropped if the queue to the aggregation is full: publishers repeat current observations.
        let _ = batches.try_send(ReceivedBatch { peer, transit, observations: batch.observations });
    })
    .await
}

/// Logs the end of a session and returns the backoff before the next one, in seconds.
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

/// Logs the rejection of a source only if the reason differs from the previous one.
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
