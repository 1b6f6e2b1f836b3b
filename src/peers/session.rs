//! One connection between two neighbours: one learns, the other teaches. Holds the sockets' side only; what is told is
//! `tell`'s, how it looks `frame`'s, what counts of it `weigh`'s. Each side ends a connection that is silent, slow or
//! spoilt; nothing waits for it.
use super::frame::{self, FrameReader, Message, Told};
use super::local_observations::LocalObservations;
use super::publish::PublicationState;
use crate::clock;
use crate::fleet::gossip::FleetHandle;
use crate::fleet::member::Member;
use crate::fleet::view::FleetView;
use crate::interface::Nanos;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

/// A side that says nothing for so long is taken for dead.
const SILENCE: Duration = Duration::from_secs(3);
/// The first word of each side is due by then, TLS included.
pub const HELLO_BY: Duration = Duration::from_secs(2);
/// A peer that takes no bytes for so long is not written to any more.
const WRITE_FOR: Duration = Duration::from_secs(2);
/// How often the learner asks for a sign of life, by which the way of a frame is bounded.
const PING: Duration = Duration::from_millis(250);
/// A teacher that has nothing new says so this often.
const BEAT: Duration = Duration::from_millis(500);
/// After so long a connection is made anew, so that a certificate that has ended does not live on in an old one.
const LIFE: Duration = Duration::from_secs(600);
/// A longer view is none of a fleet: some 500 bytes a member, and as many that are gone as are there.
const VIEW_MOST: usize = 4 << 20;
/// What a teacher may send: so many bytes at once, and a second. A thousand endpoints in a bad minute are a tenth.
const BYTES_AT_ONCE: f64 = 2e6;
const BYTES_A_SECOND: f64 = 256e3;

/// How a connection ended.
#[derive(Debug, PartialEq)]
pub enum SessionEnd {
    /// It broke, or this side has ended it in the usual way: try again soon.
    Closed(String),
    /// The peer is none to learn from: leave it alone for a while.
    Rejected(String),
}

/// Who speaks.
#[derive(Clone)]
pub struct LocalIdentity {
    /// This forwarder's name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its part in the fleet; none for one that only looks.
    pub fleet: Option<FleetHandle>,
}

impl LocalIdentity {
    fn hello(&self) -> Vec<u8> {
        let me = self.fleet.as_ref().and_then(|f| f.known_members.borrow().local.clone());
        let member = me.map(|m| (m.address, m.incarnation));
        frame::encode(&Message::Hello { name: self.name.clone(), group: self.group.clone(), member })
    }

    /// The other side stands behind its certificate: it counts in the fleet.
    async fn met(&self, peer: &Peer) {
        if let (Some(fleet), Some((address, incarnation))) = (&self.fleet, peer.member) {
            fleet.mark_authenticated(Member { address, name: peer.name.clone(), incarnation }).await;
        }
    }
}

/// What the other side says of itself.
#[derive(Debug, PartialEq)]
struct Peer {
    name: String,
    member: Option<(SocketAddr, u64)>,
}

/// Reads what comes, bounded in time and in bytes.
struct Hearing<R> {
    stream: R,
    reader: FrameReader,
    bytes: Box<[u8]>,
    allowance: f64,
    at: Instant,
}

impl<R: AsyncRead + Unpin> Hearing<R> {
    fn new(stream: R) -> Hearing<R> {
        let bytes = vec![0; 8 * 1024].into_boxed_slice();
        Hearing {
            stream,
            reader: FrameReader::default(),
            bytes,
            allowance: BYTES_AT_ONCE,
            at: Instant::now(),
        }
    }

    /// The next message. Stopped in the midst, it goes on where it was.
    async fn next(&mut self) -> Result<Message, SessionEnd> {
        loop {
            match self.reader.message() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(fault) => return Err(SessionEnd::Rejected(fault.to_string())),
            }
            let read =
                self.stream.read(&mut self.bytes).await.map_err(|e| SessionEnd::Closed(e.to_string()))?;
            if read == 0 {
                return Err(SessionEnd::Closed("closed".into()));
            }
            let now = Instant::now();
            self.allowance += (now - self.at).as_secs_f64() * BYTES_A_SECOND - read as f64;
            self.allowance = self.allowance.min(BYTES_AT_ONCE);
            self.at = now;
            if self.allowance < 0.0 {
                return Err(SessionEnd::Rejected("a flood".into()));
            }
            self.reader.push(&self.bytes[..read]);
        }
    }

    async fn hello(&mut self, me: &LocalIdentity) -> Result<Peer, SessionEnd> {
        match timeout(HELLO_BY, self.next()).await {
            Ok(Ok(Message::Hello { name, group, member })) if group == me.group => Ok(Peer { name, member }),
            Ok(Ok(Message::Hello { group, .. })) => {
                Err(SessionEnd::Rejected(format!("of another group: {group}")))
            }
            Ok(Ok(_)) => Err(SessionEnd::Rejected("no hello".into())),
            Ok(Err(end)) => Err(end),
            Err(_) => Err(SessionEnd::Closed("no hello in time".into())),
        }
    }
}

async fn write<W: AsyncWrite + Unpin>(stream: &mut W, bytes: &[u8]) -> Result<(), SessionEnd> {
    let both = async {
        stream.write_all(bytes).await?;
        stream.flush().await
    };
    match timeout(WRITE_FOR, both).await {
        Ok(done) => done.map_err(|e| SessionEnd::Closed(e.to_string())),
        Err(_) => Err(SessionEnd::Closed("takes no bytes".into())),
    }
}

/// Teaches whoever came: all that this forwarder has seen itself, then what changes.
pub async fn teach<S: AsyncRead + AsyncWrite>(
    stream: S, me: &LocalIdentity, mut own: watch::Receiver<LocalObservations>,
) -> SessionEnd {
    let (read, mut write_to) = tokio::io::split(stream);
    let mut hearing = Hearing::new(read);
    let run = async {
        let peer = hearing.hello(me).await?;
        write(&mut write_to, &me.hello()).await?;
        me.met(&peer).await;
        log::debug!(neighbour = peer.name; "teaching");
        let mut telling = PublicationState::default();
        // The number of the last ping, and when it came.
        let (mut ping, mut whole) = ((0, clock::now()), true);
        let (mut beat, mut heard) = (interval(BEAT), Instant::now());
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let until = Instant::now() + LIFE;
        loop {
            let now = clock::now();
            let known = own.borrow_and_update().at(now);
            let due = telling.due(now, &known);
            let parts = frame::parts(due);
            let last = parts.len();
            for (n, items) in parts.into_iter().enumerate() {
                let told =
                    Told { ping: ping.0, held: clock::now() - ping.1, whole: whole && n + 1 == last, items };
                write(&mut write_to, &frame::encode(&Message::Told(told))).await?;
            }
            whole = false;
            // Whatever wakes it up, there is something to say only after one of these two.
            loop {
                tokio::select! {
                    message = hearing.next() => match message? {
                        Message::Ping(n) => (ping, heard) = ((n, clock::now()), Instant::now()),
                        Message::Look => {
                            let view = match &me.fleet {
                                Some(fleet) => fleet.view().await.ok(),
                                None => None,
                            };
                            let view = view.ok_or_else(|| SessionEnd::Closed("this forwarder has left".into()))?;
                            let text = serde_json::to_string(&view).map_err(|e| SessionEnd::Closed(e.to_string()))?;
                            for part in frame::views(&text) {
                                write(&mut write_to, &frame::encode(&part)).await?;
                            }
                            heard = Instant::now();
                        }
                        Message::Hello { .. } | Message::Told(_) | Message::View { .. } => {
                            return Err(SessionEnd::Rejected("speaks out of turn".into()));
                        }
                    },
                    changed = own.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return Err(SessionEnd::Closed("this forwarder ends".into())),
                    },
                    _ = beat.tick() => break,
                }
            }
            if heard.elapsed() > SILENCE {
                return Err(SessionEnd::Closed("silent".into()));
            }
            if Instant::now() > until {
                return Err(SessionEnd::Closed("made anew".into()));
            }
        }
    };
    let ended: Result<(), SessionEnd> = run.await;
    ended.err().unwrap_or(SessionEnd::Closed(String::new()))
}

/// Learns from a neighbour: `take` gets what it told, and how long that can have been on its way at the most.
pub async fn learn<S: AsyncRead + AsyncWrite>(
    stream: S, me: &LocalIdentity, mut take: impl FnMut(Nanos, Told),
) -> SessionEnd {
    let (read, mut write_to) = tokio::io::split(stream);
    let mut hearing = Hearing::new(read);
    let run = async {
        let began = Instant::now();
        write(&mut write_to, &me.hello()).await?;
        let peer = hearing.hello(me).await?;
        me.met(&peer).await;
        log::info!(neighbour = peer.name; "learning from a neighbour");
        let mut pings: VecDeque<(u64, Instant)> = VecDeque::from([(0, began)]);
        let mut ticks = interval(PING);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                message = hearing.next() => {
                    heard = Instant::now();
                    let told = match message? {
                        Message::Told(told) => told,
                        Message::Hello { .. } | Message::Ping(_) | Message::Look | Message::View { .. } => {
                            return Err(SessionEnd::Rejected("speaks out of turn".into()));
                        }
                    };
                    // The frame was built after that ping had come and had been there for `held`.
                    let sent = pings.iter().find(|p| p.0 == told.ping).map_or(began, |p| p.1);
                    pings.retain(|p| p.0 >= told.ping);
                    let way = Nanos(sent.elapsed().as_nanos() as u64) - told.held;
                    take(way, told);
                }
                _ = ticks.tick() => {
                    if heard.elapsed() > SILENCE {
                        return Err(SessionEnd::Closed("silent".into()));
                    }
                    let next = pings.back().map_or(1, |p| p.0 + 1);
                    pings.push_back((next, Instant::now()));
                    write(&mut write_to, &frame::encode(&Message::Ping(next))).await?;
                }
            }
        }
    };
    let ended: Result<(), SessionEnd> = run.await;
    ended.err().unwrap_or(SessionEnd::Closed(String::new()))
}

/// Shows this one's certificate to another and sees the other's, and no more.
pub async fn meet<S: AsyncRead + AsyncWrite>(stream: S, me: &LocalIdentity) -> Result<(), SessionEnd> {
    let (read, mut write_to) = tokio::io::split(stream);
    write(&mut write_to, &me.hello()).await?;
    let peer = Hearing::new(read).hello(me).await?;
    me.met(&peer).await;
    Ok(())
}

/// Asks for the other side's view of the fleet, with a pause between, for as long as `take` wants more.
pub async fn look<S: AsyncRead + AsyncWrite>(
    stream: S, me: &LocalIdentity, mut take: impl FnMut(FleetView) -> bool, pause: Duration,
) -> Result<(), SessionEnd> {
    let (read, mut write_to) = tokio::io::split(stream);
    let mut hearing = Hearing::new(read);
    write(&mut write_to, &me.hello()).await?;
    hearing.hello(me).await?;
    loop {
        write(&mut write_to, &frame::encode(&Message::Look)).await?;
        let whole = async {
            let mut text = Vec::new();
            loop {
                // What it teaches meanwhile is not for one that looks.
                if let Message::View { part, last } = hearing.next().await? {
                    text.extend(part);
                    if text.len() > VIEW_MOST {
                        return Err(SessionEnd::Rejected("a view without end".into()));
                    }
                    if last {
                        return Ok(text);
                    }
                }
            }
        };
        let text = timeout(SILENCE, whole).await.map_err(|_| SessionEnd::Closed("silent".into()))??;
        let view =
            serde_json::from_slice(&text).map_err(|e| SessionEnd::Rejected(format!("no view: {e}")))?;
        if !take(view) {
            return Ok(());
        }
        sleep(pause).await;
    }
}

#[cfg(test)]
mod tests;
