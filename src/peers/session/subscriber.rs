//! The subscriber's side of a session: receives a publisher's observations and bounds how old they are.
use super::{write_message, LocalIdentity, MessageReader, SILENCE_TIMEOUT};
use crate::interface::Nanos;
use crate::peers::error::{CloseReason, RejectReason, SessionEnd};
use crate::peers::frame::{Message, ObservationBatch};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Interval of the pings that bound a frame's transit time: observations are dated at most this much too early.
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Receives observations until the session ends. `on_batch` gets each batch and the longest time for which its frame
/// can have been in transit.
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
    let peer = reader.hello(local).await?;
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
                    return Err(CloseReason::Silent.into());
                }
                let number = pings.record(Instant::now());
                write_message(&mut writer, &Message::Ping(number)).await?;
            }
        }
    }
}

/// A publisher sends nothing but observations after its hello.
fn expect_observations(message: Message) -> Result<ObservationBatch, RejectReason> {
    match message {
        Message::Observations(batch) => Ok(batch),
        Message::Hello { .. } | Message::Ping(_) | Message::ViewRequest | Message::ViewPart { .. } => {
            Err(RejectReason::OutOfTurn)
        }
    }
}

struct SentPing {
    number: u64,
    at: Instant,
}

/// Pings that a batch may still refer to.
struct SentPings {
    session_start: Instant,
    sent: VecDeque<SentPing>,
}

impl SentPings {
    /// The start of the session counts as ping 0.
    fn new(session_start: Instant) -> SentPings {
        let sent = VecDeque::from([SentPing { number: 0, at: session_start }]);
        SentPings { session_start, sent }
    }

    /// Records a ping that is sent now, and gives its number.
    fn record(&mut self, at: Instant) -> u64 {
        let number = self.sent.back().map_or(1, |ping| ping.number + 1);
        self.sent.push_back(SentPing { number, at });
        number
    }

    /// The longest time for which a batch can have been in transit: it was built `ping_age` after its ping had arrived,
    /// so it left no earlier than `ping_age` after that ping was sent. Forgets earlier pings.
    fn transit_bound(&mut self, batch: &ObservationBatch) -> Nanos {
        let answered = self.sent.iter().find(|ping| ping.number == batch.ping);
        let sent_at = answered.map_or(self.session_start, |ping| ping.at);
        self.sent.retain(|ping| ping.number >= batch.ping);
        Nanos(sent_at.elapsed().as_nanos() as u64) - batch.ping_age
    }
}
