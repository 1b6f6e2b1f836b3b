//! The wire format of a session between two forwarders, without I/O.
//!
//! A frame is the length of what follows (4 bytes, big-endian), a version (1), a CRC-32 of the payload (4), and the
//! payload: a message type, and the message as `postcard` (<https://postcard.jamesmunns.com/wire-format>). For forward
//! compatibility a receiver skips frames of a later version, unknown message types, observations of an unknown type,
//! and fields after those that it knows. All times are spans in nanoseconds, so the clocks of two machines are never
//! compared.
use crate::interface::{Finding, Nanos};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub use crate::core::EndpointObservation;

/// The version that this program sends.
const VERSION: u8 = 1;
/// Length of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Length of what stands before the payload: length, version and checksum, in bytes.
const HEADER_BYTES: usize = 9;
/// What the length field counts besides the payload: version and checksum, in bytes.
const COUNTED_HEADER_BYTES: usize = HEADER_BYTES - LENGTH_BYTES;
/// Longest frame that is accepted, in bytes without its length field. It bounds what a peer can make this one buffer.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Content of one frame, in bytes; the rest goes into the next one. Leaves a quarter of the frame for the encoding.
const MAX_CONTENT_BYTES: usize = 48 * 1024;
/// Upper estimate of an encoded observation without its uid, in bytes.
const OBSERVATION_BYTES: usize = 48;
/// Longest name, group or uid that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest rate, latency or capacity that is accepted: above any real one, and safe in the decision module's sums.
const MAX_FIGURE: f64 = 1e9;

/// One message of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first message of each side.
    Hello {
        /// The sender's name.
        name: String,
        /// The sender's group; sessions between different groups are rejected.
        group: String,
        /// The sender's place in the fleet; none from a client that is not a member.
        member: Option<MemberIdentity>,
    },
    /// A client asks for the view of the fleet.
    ViewRequest,
    /// A part of the view, as JSON.
    ViewPart {
        /// Bytes of the JSON text; a part may end inside a character.
        bytes: Vec<u8>,
        /// Whether this part completes the view.
        is_last: bool,
    },
    /// The subscriber's ping, with its number: bounds the transit time of the frames that follow it.
    Ping(u64),
    /// Observations of the publisher.
    Observations(ObservationBatch),
}

/// A member of the fleet as its hello states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// The address by which the fleet knows the member.
    pub address: SocketAddr,
    /// The member's incarnation, which rises with each start.
    pub incarnation: u64,
}

/// Observations that the publisher made itself. An empty batch is a sign of life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservationBatch {
    /// The last ping that had arrived when the batch was built; 0 before the first.
    pub ping: u64,
    /// How long before the batch was built that ping had arrived.
    pub ping_age: Nanos,
    /// Whether this batch completes the snapshot with which a session begins.
    pub completes_snapshot: bool,
    /// The observations; their ages hold for the moment at which the batch was built.
    pub observations: Vec<EndpointObservation>,
}

/// Why a peer's stream cannot be decoded any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The length field, in bytes, is above `MAX_FRAME_BYTES`.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// The payload does not match its checksum.
    #[error("a frame with a wrong checksum")]
    Checksum,
    /// The payload is not a valid message.
    #[error("a frame that cannot be read")]
    Malformed,
}

#[derive(Serialize, Deserialize)]
struct WireHello {
    name: String,
    group: String,
}

/// Follows the fields of a hello; programs from before the fleet's view do not send it.
type WireMember = Option<MemberIdentity>;

#[derive(Serialize, Deserialize)]
struct WireViewPart {
    bytes: Vec<u8>,
    is_last: bool,
}

#[derive(Serialize, Deserialize)]
struct WireBatch {
    ping: u64,
    ping_age: u64,
    completes_snapshot: bool,
    /// Type and encoded content of each observation, so that unknown types can be skipped.
    observations: Vec<(u8, Vec<u8>)>,
}

/// Precedes the type's own fields in an encoded observation.
#[derive(Serialize, Deserialize)]
struct WireObservation {
    uid: String,
    age: u64,
}

/// Message types on the wire.
mod message_type {
    pub const HELLO: u8 = 1;
    pub const PING: u8 = 2;
    pub const OBSERVATIONS: u8 = 3;
    pub const VIEW_REQUEST: u8 = 4;
    pub const VIEW_PART: u8 = 5;
}

/// Types of observations on the wire.
mod observation_type {
    pub const OUTAGE: u8 = 1;
    pub const RECOVERING: u8 = 2;
    pub const HEALTHY: u8 = 3;
    pub const RETRY_AFTER: u8 = 4;
    pub const RATE_LIMIT: u8 = 5;
    pub const CONNECTION_CAPACITY: u8 = 6;
}

/// Encodes a message as one frame.
pub fn encode(message: &Message) -> Vec<u8> {
    encode_frame(VERSION, &encode_payload(message))
}

fn encode_frame(version: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(payload.len() + HEADER_BYTES);
    frame.extend(((payload.len() + COUNTED_HEADER_BYTES) as u32).to_be_bytes());
    frame.push(version);
    frame.extend(crc32fast::hash(payload).to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

fn encode_payload(message: &Message) -> Vec<u8> {
    match message {
        Message::Hello { name, group, member } => {
            let hello = WireHello { name: name.clone(), group: group.clone() };
            typed_payload(message_type::HELLO, &(hello, member))
        }
        Message::ViewRequest => typed_payload(message_type::VIEW_REQUEST, &()),
        Message::ViewPart { bytes, is_last } => {
            typed_payload(message_type::VIEW_PART, &WireViewPart { bytes: bytes.clone(), is_last: *is_last })
        }
        Message::Ping(number) => typed_payload(message_type::PING, number),
        Message::Observations(batch) => {
            let wire = WireBatch {
                ping: batch.ping,
                ping_age: batch.ping_age.0,
                completes_snapshot: batch.completes_snapshot,
                observations: batch.observations.iter().map(encode_observation).collect(),
            };
            typed_payload(message_type::OBSERVATIONS, &wire)
        }
    }
}

fn typed_payload<T: Serialize>(message_type: u8, message: &T) -> Vec<u8> {
    let mut payload = vec![message_type];
    payload.extend(serialize(message));
    payload
}

fn serialize<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing to memory fails for no value of these types.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn encode_observation(observation: &EndpointObservation) -> (u8, Vec<u8>) {
    let (observation_type, fields) = match observation.finding {
        Finding::Outage { since, risky } => (observation_type::OUTAGE, serialize(&(since.0, risky))),
        Finding::Recovering { since } => (observation_type::RECOVERING, serialize(&since.0)),
        Finding::Healthy { mean, dev } => (observation_type::HEALTHY, serialize(&(mean, dev))),
        Finding::RetryAfter { left } => (observation_type::RETRY_AFTER, serialize(&left.0)),
        Finding::RateLimit { rate } => (observation_type::RATE_LIMIT, serialize(&rate)),
        Finding::ConnectionCapacity { calls } => (observation_type::CONNECTION_CAPACITY, serialize(&calls)),
    };
    let mut bytes = serialize(&WireObservation { uid: observation.uid.clone(), age: observation.age.0 });
    bytes.extend(fields);
    (observation_type, bytes)
}

/// Decodes an observation; none if its type is unknown.
fn decode_observation(observation_type: u8, bytes: &[u8]) -> Result<Option<EndpointObservation>, FrameError> {
    use observation_type::*;
    if !(OUTAGE..=CONNECTION_CAPACITY).contains(&observation_type) {
        return Ok(None);
    }
    let (head, fields) = take::<WireObservation>(bytes)?;
    let finding = match observation_type {
        OUTAGE => {
            let (since, risky) = decode(fields)?;
            Finding::Outage { since: Nanos(since), risky }
        }
        RECOVERING => Finding::Recovering { since: Nanos(decode(fields)?) },
        HEALTHY => {
            let (mean, dev) = decode(fields)?;
            Finding::Healthy { mean, dev }
        }
        RETRY_AFTER => Finding::RetryAfter { left: Nanos(decode(fields)?) },
        RATE_LIMIT => Finding::RateLimit { rate: decode(fields)? },
        _ => Finding::ConnectionCapacity { calls: decode(fields)? },
    };
    if head.uid.len() > MAX_NAME_BYTES || !has_valid_figures(&finding) {
        return Err(FrameError::Malformed);
    }
    Ok(Some(EndpointObservation { uid: head.uid, finding, age: Nanos(head.age) }))
}

/// Guards the decision module's arithmetic against NaN, infinities, negative and absurd figures of a peer.
fn has_valid_figures(finding: &Finding) -> bool {
    let is_valid = |figure: f64| (0.0..=MAX_FIGURE).contains(&figure);
    match *finding {
        Finding::Healthy { mean, dev } => is_valid(mean) && is_valid(dev),
        Finding::RateLimit { rate } => is_valid(rate),
        Finding::ConnectionCapacity { calls } => is_valid(calls),
        Finding::Outage { .. } | Finding::Recovering { .. } | Finding::RetryAfter { .. } => true,
    }
}

/// Splits observations into parts that fit into one frame each; one empty part if there are none.
pub fn split_observations(observations: Vec<EndpointObservation>) -> Vec<Vec<EndpointObservation>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for observation in observations {
        let bytes = observation.uid.len() + OBSERVATION_BYTES;
        if part_bytes + bytes > MAX_CONTENT_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += bytes;
        part.push(observation);
    }
    parts.push(part);
    parts
}

/// Splits the JSON text of a view into messages that fit into one frame each.
pub fn split_view(text: &str) -> Vec<Message> {
    let parts: Vec<&[u8]> = text.as_bytes().chunks(MAX_CONTENT_BYTES).collect();
    let count = parts.len();
    let message = |(index, part): (usize, &[u8])| Message::ViewPart {
        bytes: part.to_vec(),
        is_last: index + 1 == count,
    };
    parts.into_iter().enumerate().map(message).collect()
}

/// Decodes messages from a byte stream that may be split anywhere. Buffers one frame and whatever was read after it.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
}

impl FrameReader {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next message, once its frame is complete.
    ///
    /// # Errors
    ///
    /// A frame that cannot be decoded. The stream is of no use after that: frame boundaries are lost.
    pub fn message(&mut self) -> Result<Option<Message>, FrameError> {
        loop {
            let Some(frame) = self.take_frame()? else { return Ok(None) };
            // A later version may have another checksum and another payload: only its length is known.
            if frame[LENGTH_BYTES] != VERSION {
                continue;
            }
            let payload = &frame[HEADER_BYTES..];
            if frame[LENGTH_BYTES + 1..HEADER_BYTES] != crc32fast::hash(payload).to_be_bytes() {
                return Err(FrameError::Checksum);
            }
            if let Some(message) = decode_payload(payload)? {
                return Ok(Some(message));
            }
        }
    }

    /// Removes the next frame, with its length field, once it is complete.
    fn take_frame(&mut self) -> Result<Option<Vec<u8>>, FrameError> {
        let Some(length_field) = self.bytes.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length_field) as usize;
        // Checked before the rest arrives: a peer that announces gigabytes is not buffered.
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if length < COUNTED_HEADER_BYTES {
            return Err(FrameError::Malformed);
        }
        if self.bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        Ok(Some(self.bytes.drain(..LENGTH_BYTES + length).collect()))
    }
}

/// Decodes a value and gives it with the bytes after it.
fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), FrameError> {
    postcard::take_from_bytes(bytes).map_err(|_| FrameError::Malformed)
}

/// Decodes a value; bytes after it are fields of a later program.
fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FrameError> {
    take(bytes).map(|(value, _)| value)
}

/// Decodes a message; none if its type is unknown.
fn decode_payload(payload: &[u8]) -> Result<Option<Message>, FrameError> {
    let (message_type, bytes) = payload.split_first().ok_or(FrameError::Malformed)?;
    let message = match *message_type {
        message_type::HELLO => decode_hello(bytes)?,
        message_type::VIEW_REQUEST => Message::ViewRequest,
        message_type::VIEW_PART => {
            let WireViewPart { bytes, is_last } = decode(bytes)?;
            Message::ViewPart { bytes, is_last }
        }
        message_type::PING => Message::Ping(decode(bytes)?),
        message_type::OBSERVATIONS => Message::Observations(decode_batch(bytes)?),
        _ => return Ok(None),
    };
    Ok(Some(message))
}

fn decode_hello(bytes: &[u8]) -> Result<Message, FrameError> {
    let (WireHello { name, group }, rest) = take(bytes)?;
    let member: WireMember = if rest.is_empty() { None } else { decode(rest)? };
    if name.len() > MAX_NAME_BYTES || group.len() > MAX_NAME_BYTES {
        return Err(FrameError::Malformed);
    }
    Ok(Message::Hello { name, group, member })
}

fn decode_batch(bytes: &[u8]) -> Result<ObservationBatch, FrameError> {
    let WireBatch { ping, ping_age, completes_snapshot, observations: encoded } = decode(bytes)?;
    let mut observations = Vec::with_capacity(encoded.len());
    for (observation_type, bytes) in encoded {
        observations.extend(decode_observation(observation_type, &bytes)?);
    }
    Ok(ObservationBatch { ping, ping_age: Nanos(ping_age), completes_snapshot, observations })
}

#[cfg(test)]
mod tests;
