//! The publisher's side of a session: sends all local observations, then what changes, and answers view requests.
use super::{write_message, LocalIdentity, MessageReader, SILENCE_TIMEOUT};
use crate::clock;
use crate::interface::Nanos;
use crate::peers::error::{CloseReason, RejectReason, SessionEnd};
use crate::peers::frame::{self, EndpointObservation, Message, ObservationBatch};
use crate::peers::local_observations::LocalObservations;
use crate::peers::publish::PublicationState;
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::time::{interval, Instant, Interval, MissedTickBehavior};

/// A publisher without news sends an empty batch this often, so that the subscriber knows that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A session is closed after so long, and the subscriber reconnects: a certificate that has expired since does not live
/// on in an old connection.
const MAX_SESSION_LIFETIME: Duration = Duration::from_secs(600);

/// Publishes local observations to a subscriber until the session ends.
pub async fn publish<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity, observations: watch::Receiver<LocalObservations>,
) -> SessionEnd {
    let (read_half, writer) = tokio::io::split(stream);
    let publisher = Publisher {
        reader: MessageReader::new(read_half),
        writer,
        local,
        observations,
        state: PublicationState::default(),
        last_ping: ReceivedPing { number: 0, at: clock::now() },
        last_message_at: Instant::now(),
        snapshot_is_pending: true,
    };
    match publisher.run().await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

/// The subscriber's last ping, by its number; number 0 stands for the start of the session.
struct ReceivedPing {
    number: u64,
    at: Nanos,
}

struct Publisher<'a, R, W> {
    reader: MessageReader<R>,
    writer: W,
    local: &'a LocalIdentity,
    observations: watch::Receiver<LocalObservations>,
    state: PublicationState,
    last_ping: ReceivedPing,
    last_message_at: Instant,
    /// The first batches are the snapshot; its last one says so.
    snapshot_is_pending: bool,
}

impl<R: AsyncRead + Unpin, W: AsyncWrite + Unpin> Publisher<'_, R, W> {
    async fn run(mut self) -> Result<Infallible, SessionEnd> {
        self.exchange_hellos().await?;
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let lifetime_end = Instant::now() + MAX_SESSION_LIFETIME;
        loop {
            self.send_due_observations().await?;
            self.serve_until_next_batch(&mut heartbeat).await?;
            if self.last_message_at.elapsed() > SILENCE_TIMEOUT {
                return Err(CloseReason::Silent.into());
            }
            if Instant::now() > lifetime_end {
                return Err(CloseReason::LifetimeReached.into());
            }
        }
    }

    async fn exchange_hellos(&mut self) -> Result<(), SessionEnd> {
        let peer = self.reader.hello(self.local).await?;
        write_message(&mut self.writer, &self.local.hello()).await?;
        self.local.mark_authenticated(&peer).await;
        log::debug!(peer = peer.name; "publishing observations to a peer");
        self.last_ping = ReceivedPing { number: 0, at: clock::now() };
        self.last_message_at = Instant::now();
        Ok(())
    }

    async fn send_due_observations(&mut self) -> Result<(), SessionEnd> {
        let now = clock::now();
        let known = self.observations.borrow_and_update().at(now);
        let mut parts = frame::split_observations(self.state.due(now, &known));
        // There is always a last part; an empty one is the heartbeat.
        let last = parts.pop().unwrap_or_default();
        for part in parts {
            self.send_batch(part, false).await?;
        }
        self.send_batch(last, self.snapshot_is_pending).await?;
        self.snapshot_is_pending = false;
        Ok(())
    }

    async fn send_batch(
        &mut self, observations: Vec<EndpointObservation>, completes_snapshot: bool,
    ) -> Result<(), SessionEnd> {
        let batch = ObservationBatch {
            ping: self.last_ping.number,
            ping_age: clock::now() - self.last_ping.at,
            completes_snapshot,
            observations,
        };
        write_message(&mut self.writer, &Message::Observations(batch)).await
    }

    /// Handles the subscriber's messages until observations changed or a heartbeat is due.
    async fn serve_until_next_batch(&mut self, heartbeat: &mut Interval) -> Result<(), SessionEnd> {
        loop {
            tokio::select! {
                message = self.reader.next() => self.handle_message(message?).await?,
                changed = self.observations.changed() => {
                    return changed.map_err(|_| CloseReason::ShuttingDown.into());
                }
                _ = heartbeat.tick() => return Ok(()),
            }
        }
    }

    async fn handle_message(&mut self, message: Message) -> Result<(), SessionEnd> {
        match message {
            Message::Ping(number) => {
                self.last_ping = ReceivedPing { number, at: clock::now() };
                self.last_message_at = Instant::now();
                Ok(())
            }
            Message::ViewRequest => {
                self.send_view().await?;
                self.last_message_at = Instant::now();
                Ok(())
            }
            Message::Hello { .. } | Message::Observations(_) | Message::ViewPart { .. } => {
                Err(RejectReason::OutOfTurn.into())
            }
        }
    }

    async fn send_view(&mut self) -> Result<(), SessionEnd> {
        let fleet = self.local.fleet.as_ref().ok_or(CloseReason::NotAMember)?;
        let view = fleet.view().await.map_err(CloseReason::Fleet)?;
        let text = serde_json::to_string(&view).map_err(CloseReason::Serialize)?;
        for part in frame::split_view(&text) {
            write_message(&mut self.writer, &part).await?;
        }
        Ok(())
    }
}
