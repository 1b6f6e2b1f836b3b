//! What neighbours say to each other on a connection, as bytes, without I/O.
//!
//! A frame is the length of what follows (4 bytes, big-endian), a version (1), a CRC-32 of the payload (4), and the
//! payload: a kind, and the message as `postcard` (<https://postcard.jamesmunns.com/wire-format>). A frame of a later
//! version, a kind that is not known, an item of a kind that is not known, and fields behind those that are known are
//! passed over. All times are spans in nanoseconds.
use crate::interface::{Finding, Nanos};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What this program speaks.
const VERSION: u8 = 1;
const HEAD: usize = 9;
/// A longer frame is no frame of a neighbour. In bytes, without its length.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// So many bytes of items go into a frame; the rest goes into the next.
const ITEMS_MOST: usize = 48 * 1024;
const NAME_MOST: usize = 256;

/// What may come.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first of each side: its name, and the group of forwarders to which it belongs.
    Hello {
        /// As it calls itself.
        name: String,
        /// Groups that meet by mistake do not teach each other.
        group: String,
        /// Where the fleet finds it and which of its lives this is; none from one that is no member.
        member: Option<(SocketAddr, u64)>,
    },
    /// From one who wants to see the fleet.
    Look,
    /// A part of the view, as JSON; the last one says so.
    View {
        /// Bytes of it.
        part: Vec<u8>,
        /// None comes behind it.
        last: bool,
    },
    /// From the one who learns, over and over.
    Ping(u64),
    /// From the one who teaches.
    Told(Told),
}

/// LocalObservations experience of the one who teaches. Empty ones show that it lives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// The last ping that had come when this was built, and for how long it had been there.
    pub ping: u64,
    /// How long that ping had been there.
    pub held: Nanos,
    /// The last of the snapshot with which it begins.
    pub whole: bool,
    /// What is told.
    pub items: Vec<EndpointObservation>,
}

/// Finding of an endpoint that all forwarders know by the same uid; its age is that at which the frame was built.
pub use crate::core::EndpointObservation;

/// Why a peer's bytes are not read any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame's length is more than `MAX_FRAME_BYTES`.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// Its payload is not what was sent.
    #[error("a frame with a wrong checksum")]
    Checksum,
    /// Its payload cannot be read.
    #[error("a frame that cannot be read")]
    Garbled,
}

#[derive(Serialize, Deserialize)]
struct WireHello {
    name: String,
    group: String,
}

/// Behind the fields of a hello since there is a view of the fleet; a program before that sends none of them.
type WireMember = Option<(SocketAddr, u64)>;

#[derive(Serialize, Deserialize)]
struct WireView {
    part: Vec<u8>,
    last: bool,
}

#[derive(Serialize, Deserialize)]
struct WireTold {
    ping: u64,
    held: u64,
    whole: bool,
    items: Vec<(u8, Vec<u8>)>,
}

#[derive(Serialize, Deserialize)]
struct WireItem {
    uid: String,
    age: u64,
}

const HELLO: u8 = 1;
const PING: u8 = 2;
const TOLD: u8 = 3;
const LOOK: u8 = 4;
const VIEW: u8 = 5;

/// The message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    let payload = match message {
        Message::Hello { name, group, member } => {
            kind(HELLO, &(WireHello { name: name.clone(), group: group.clone() }, member))
        }
        Message::Look => kind(LOOK, &()),
        Message::View { part, last } => kind(VIEW, &WireView { part: part.clone(), last: *last }),
        Message::Ping(n) => kind(PING, n),
        Message::Told(t) => {
            let items = t.items.iter().map(item).collect();
            kind(TOLD, &WireTold { ping: t.ping, held: t.held.0, whole: t.whole, items })
        }
    };
    frame(VERSION, &payload)
}

fn frame(version: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(payload.len() + HEAD);
    out.extend(((payload.len() + 5) as u32).to_be_bytes());
    out.push(version);
    out.extend(crc32fast::hash(payload).to_be_bytes());
    out.extend_from_slice(payload);
    out
}

fn kind<T: Serialize>(kind: u8, message: &T) -> Vec<u8> {
    // Writing to memory fails for no value of these types.
    let mut out = vec![kind];
    out.extend(postcard::to_stdvec(message).unwrap_or_default());
    out
}

fn item(item: &EndpointObservation) -> (u8, Vec<u8>) {
    let head = WireItem { uid: item.uid.clone(), age: item.age.0 };
    let both = |rest: Vec<u8>| {
        let mut out = postcard::to_stdvec(&head).unwrap_or_default();
        out.extend(rest);
        out
    };
    fn rest<T: Serialize>(value: &T) -> Vec<u8> {
        postcard::to_stdvec(value).unwrap_or_default()
    }
    match item.finding {
        Finding::Outage { since, risky } => (1, both(rest(&(since.0, risky)))),
        Finding::Recovering { since } => (2, both(rest(&since.0))),
        Finding::Healthy { mean, dev } => (3, both(rest(&(mean, dev)))),
        Finding::RetryAfter { left } => (4, both(rest(&left.0))),
        Finding::RateLimit { rate } => (5, both(rest(&rate))),
        Finding::ConnectionCapacity { calls } => (6, both(rest(&calls))),
    }
}

fn read_item((kind, bytes): &(u8, Vec<u8>)) -> Result<Option<EndpointObservation>, FrameError> {
    if !(1..=6).contains(kind) {
        return Ok(None);
    }
    let (head, bytes): (WireItem, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(|_| FrameError::Garbled)?;
    let finding = match kind {
        1 => {
            let (since, risky) = take(bytes)?;
            Finding::Outage { since: Nanos(since), risky }
        }
        2 => Finding::Recovering { since: Nanos(take(bytes)?) },
        3 => {
            let (mean, dev) = take(bytes)?;
            Finding::Healthy { mean, dev }
        }
        4 => Finding::RetryAfter { left: Nanos(take(bytes)?) },
        5 => Finding::RateLimit { rate: take(bytes)? },
        _ => Finding::ConnectionCapacity { calls: take(bytes)? },
    };
    // Guards the module's arithmetic against figures that are none.
    let figures = match finding {
        Finding::Healthy { mean, dev } => [mean, dev],
        Finding::RateLimit { rate } => [rate, 0.0],
        Finding::ConnectionCapacity { calls } => [calls, 0.0],
        Finding::Outage { .. } | Finding::Recovering { .. } | Finding::RetryAfter { .. } => [0.0, 0.0],
    };
    if head.uid.len() > NAME_MOST || figures.iter().any(|f| !(0.0..=1e9).contains(f)) {
        return Err(FrameError::Garbled);
    }
    Ok(Some(EndpointObservation { uid: head.uid, finding, age: Nanos(head.age) }))
}

/// Items in parts that fit into a frame each; one empty part if there is none.
pub fn parts(items: Vec<EndpointObservation>) -> Vec<Vec<EndpointObservation>> {
    let (mut parts, mut size) = (vec![Vec::new()], 0);
    for one in items {
        let more = one.uid.len() + 48;
        if size + more > ITEMS_MOST {
            parts.push(Vec::new());
            size = 0;
        }
        size += more;
        if let Some(last) = parts.last_mut() {
            last.push(one);
        }
    }
    parts
}

/// A text in parts that fit into a frame each.
pub fn views(text: &str) -> Vec<Message> {
    let parts: Vec<&[u8]> = text.as_bytes().chunks(ITEMS_MOST).collect();
    let view = |(n, part): (usize, &&[u8])| Message::View { part: part.to_vec(), last: n + 1 == parts.len() };
    parts.iter().enumerate().map(view).collect()
}

/// Makes messages of a stream of bytes, wherever it is cut. Holds one frame at the most, and what came behind it.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
}

impl FrameReader {
    /// Takes in what came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next message, once it is there as a whole. After a fault the stream makes no sense any more.
    ///
    /// # Errors
    ///
    /// A frame that is too long, spoilt, or no frame.
    pub fn message(&mut self) -> Result<Option<Message>, FrameError> {
        loop {
            let Some(head) = self.bytes.first_chunk::<4>() else { return Ok(None) };
            let length = u32::from_be_bytes(*head) as usize;
            // Before anything is waited for: a peer that sends gigabytes is not heard out.
            if length > MAX_FRAME_BYTES {
                return Err(FrameError::TooLong(length));
            }
            if length < 5 {
                return Err(FrameError::Garbled);
            }
            if self.bytes.len() < 4 + length {
                return Ok(None);
            }
            let frame: Vec<u8> = self.bytes.drain(..4 + length).collect();
            // A later version may have another checksum and another payload: its length is all that is known.
            if frame[4] != VERSION {
                continue;
            }
            let payload = &frame[HEAD..];
            if frame[5..HEAD] != crc32fast::hash(payload).to_be_bytes() {
                return Err(FrameError::Checksum);
            }
            if let Some(message) = read(payload)? {
                return Ok(Some(message));
            }
        }
    }
}

/// Reads a value; what stands behind it is a field of a later program.
fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FrameError> {
    postcard::take_from_bytes(bytes).map(|(value, _)| value).map_err(|_| FrameError::Garbled)
}

fn read(payload: &[u8]) -> Result<Option<Message>, FrameError> {
    let (kind, bytes) = payload.split_first().ok_or(FrameError::Garbled)?;
    match *kind {
        HELLO => {
            let (WireHello { name, group }, rest) =
                postcard::take_from_bytes(bytes).map_err(|_| FrameError::Garbled)?;
            let member: WireMember = if rest.is_empty() { None } else { take(rest)? };
            match name.len().max(group.len()) > NAME_MOST {
                true => Err(FrameError::Garbled),
                false => Ok(Some(Message::Hello { name, group, member })),
            }
        }
        LOOK => Ok(Some(Message::Look)),
        VIEW => {
            let WireView { part, last } = take(bytes)?;
            Ok(Some(Message::View { part, last }))
        }
        PING => Ok(Some(Message::Ping(take(bytes)?))),
        TOLD => {
            let WireTold { ping, held, whole, items } = take(bytes)?;
            let items: Result<Vec<_>, FrameError> = items.iter().map(read_item).collect();
            let items = items?.into_iter().flatten().collect();
            Ok(Some(Message::Told(Told { ping, held: Nanos(held), whole, items })))
        }
        _ => Ok(None),
    }
}

#[cfg(test)]
mod tests;
