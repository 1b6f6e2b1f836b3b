//! Publisher side of a session: sends all local observations, then the changed ones, and responds to view requests.
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

/// Interval of empty batches while no observation is due. They show the subscriber that the publisher is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum lifetime of a session, after which the subscriber has to reconnect. Limits how long a connection outlives an
/// expired certificate.
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
        last_ping: ReceivedPing { number: 0, received_at: clock::now() },
        last_message_at: Instant::now(),
        snapshot_is_pending: true,
    };
    match publisher.run().await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

/// Number and time of arrival of the subscriber's last ping. Number 0 is the start of the session.
struct ReceivedPing {
    number: u64,
    received_at: Nanos,
}

struct Publisher<'a, R, W> {
    reader: MessageReader<R>,
    writer: W,
    local: &'a LocalIdentity,
    observations: watch::Receiver<LocalObservations>,
    state: PublicationState,
    last_ping: ReceivedPing,
    last_message_at: Instant,
    /// Whether the snapshot is not sent yet. It consists of the first batches and is marked complete in the last one.
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
                return Err(CloseReason::SilenceTimeout.into());
            }
            if Instant::now() > lifetime_end {
                return Err(CloseReason::LifetimeReached.into());
            }
        }
    }

    async fn exchange_hellos(&mut self) -> Result<(), SessionEnd> {
        let peer = self.reader.read_hello(self.local).await?;
        write_message(&mut self.writer, &self.local.hello()).await?;
        self.local.mark_authenticated(&peer).await;
        log::debug!(peer = peer.name; "publishing observations to a peer");
        self.last_ping = ReceivedPing { number: 0, received_at: clock::now() };
        self.last_message_at = Instant::now();
        Ok(())
    }

    async fn send_due_observations(&mut self) -> Result<(), SessionEnd> {
        let now = clock::now();
        let local = self.observations.borrow_and_update().as_of(now);
        let mut parts = frame::split_observations(self.state.select_due(now, &local));
        // `split_observations` returns at least one part, which is the heartbeat if it is empty.
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
            ping_age: clock::now() - self.last_ping.received_at,
            completes_snapshot,
            observations,
        };
        write_message(&mut self.writer, &Message::Observations(batch)).await
    }

    /// Handles the subscriber's messages until the local observations change or a heartbeat is due.
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
                self.last_ping = ReceivedPing { number, received_at: clock::now() };
                self.last_message_at = Instant::now();
                Ok(())
            }
            Message::ViewRequest => {
                self.send_view().await?;
                self.last_message_at = Instant::now();
                Ok(())
            }
            Message::Hello { .. } | Message::Observations(_) | Message::ViewPart { .. } => {
                Err(RejectReason::UnexpectedMessage.into())
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
