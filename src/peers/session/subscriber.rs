//! Subscriber side of a session: receives a publisher's observations and bounds their transit time.
use super::{write_message, LocalIdentity, MessageReader, SILENCE_TIMEOUT};
use crate::interface::Nanos;
use crate::peers::error::{CloseReason, RejectReason, SessionEnd};
use crate::peers::frame::{Message, ObservationBatch};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Interval of the pings that bound a frame's transit time. Observations are dated at most this much too early.
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Receives observations until the session ends. Calls `on_batch` with each batch and the upper bound of its frame's
/// transit time.
pub async fn subscribe<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity, on_batch: impl FnMut(Nanos, ObservationBatch),
) -> SessionEnd {
    match run(stream, local, on_batch).await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

async fn run<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity, mut on_batch: impl FnMut(Nanos, ObservationBatch),
) -> Result<Infallible, SessionEnd> {
    let (read_half, mut writer) = tokio::io::split(stream);
    let mut reader = MessageReader::new(read_half);
    let mut pings = SentPings::new(Instant::now());
    write_message(&mut writer, &local.hello()).await?;
    let peer = reader.read_hello(local).await?;
    local.mark_authenticated(&peer).await;
    log::info!(peer = peer.name; "receiving observations from a peer");
    let mut ping_ticks = interval(PING_INTERVAL);
    ping_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_message_at = Instant::now();
    loop {
        tokio::select! {
            message = reader.next() => {
                last_message_at = Instant::now();
                let batch = expect_observations(message?)?;
                on_batch(pings.transit_bound(&batch), batch);
            }
            _ = ping_ticks.tick() => {
                if last_message_at.elapsed() > SILENCE_TIMEOUT {
                    return Err(CloseReason::SilenceTimeout.into());
                }
                let number = pings.record(Instant::now());
                write_message(&mut writer, &Message::Ping(number)).await?;
            }
        }
    }
}

/// Rejects all messages except observations, the only messages of a publisher after its hello.
fn expect_observations(message: Message) -> Result<ObservationBatch, RejectReason> {
    match message {
        Message::Observations(batch) => Ok(batch),
        Message::Hello { .. } | Message::Ping(_) | Message::ViewRequest | Message::ViewPart { .. } => {
            Err(RejectReason::UnexpectedMessage)
        }
    }
}

struct SentPing {
    number: u64,
    sent_at: Instant,
}

/// The sent pings to which a batch may still refer.
struct SentPings {
    session_start: Instant,
    sent: VecDeque<SentPing>,
}

impl SentPings {
    /// Records the start of the session as ping 0.
    fn new(session_start: Instant) -> SentPings {
        let sent = VecDeque::from([SentPing { number: 0, sent_at: session_start }]);
        SentPings { session_start, sent }
    }

    /// Records a ping that is sent at `sent_at` and returns its number.
    fn record(&mut self, sent_at: Instant) -> u64 {
        let number = self.sent.back().map_or(1, |ping| ping.number + 1);
        self.sent.push_back(SentPing { number, sent_at });
        number
    }

    /// Returns the upper bound of a batch's transit time. The batch was built `ping_age` after its ping arrived, and so
    /// no earlier than `ping_age` after that ping was sent. Removes earlier pings.
    fn transit_bound(&mut self, batch: &ObservationBatch) -> Nanos {
        let last_received = self.sent.iter().find(|ping| ping.number == batch.ping);
        let sent_at = last_received.map_or(self.session_start, |ping| ping.sent_at);
        self.sent.retain(|ping| ping.number >= batch.ping);
        Nanos(sent_at.elapsed().as_nanos() as u64) - batch.ping_age
    }
}
