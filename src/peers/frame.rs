//! The wire format of a session between two forwarders, without I/O.
//!
//! A frame consists of the length of the rest of the frame (4 bytes, big-endian), a version (1 byte), a CRC-32 of the
//! payload (4 bytes) and the payload: a message type (1 byte) and the message as `postcard`
//! (<https://postcard.jamesmunns.com/wire-format>). For forward compatibility a receiver skips frames of other versions,
//! messages and observations of unknown types, and fields after the known ones. All times are spans in nanoseconds, so the
//! clocks of two machines are never compared.
use crate::interface::{Finding, Nanos};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub use crate::core::EndpointObservation;

/// Protocol version of sent frames.
const VERSION: u8 = 1;
/// Length of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Length of the header before the payload (length, version and checksum), in bytes.
const HEADER_BYTES: usize = 9;
/// Length of the header fields that the length field includes (version and checksum), in bytes.
const COUNTED_HEADER_BYTES: usize = HEADER_BYTES - LENGTH_BYTES;
/// Longest accepted frame, in bytes without its length field. Limits the memory that a peer can make the receiver use.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Maximum content of one frame, in bytes. Longer content is split; a quarter of the frame is left for the encoding.
const MAX_CONTENT_BYTES: usize = 48 * 1024;
/// Upper estimate of the length of an encoded observation without its uid, in bytes.
const OBSERVATION_OVERHEAD_BYTES: usize = 48;
/// Longest accepted name, group or uid, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest accepted rate, latency or capacity: above any real value and safe in the decision module's sums.
const MAX_VALUE: f64 = 1e9;

/// One message of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The first message of each side.
    Hello {
        /// The sender's name.
        name: String,
        /// The sender's group; sessions between different groups are rejected.
        group: String,
        /// The sender's identity in the fleet; `None` for a client, which is not a member.
        member: Option<MemberIdentity>,
    },
    /// Request of a client for the view of the fleet.
    ViewRequest,
    /// A part of the view, as JSON.
    ViewPart {
        /// Bytes of the JSON text; a part may end within a character.
        bytes: Vec<u8>,
        /// Whether this part completes the view.
        is_last: bool,
    },
    /// Numbered ping of the subscriber, which bounds the transit time of the frames that the publisher sends after it.
    Ping(u64),
    /// Observations by the publisher.
    Observations(ObservationBatch),
}

/// Identity of a member of the fleet in its hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// The member's address in the fleet.
    pub address: SocketAddr,
    /// The member's incarnation, which increases with each start.
    pub incarnation: u64,
}

/// Observations that the publisher made itself. An empty batch is a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservationBatch {
    /// Number of the last ping received before the batch was built; 0 before the first ping.
    pub ping: u64,
    /// Time between the arrival of that ping and the building of the batch.
    pub ping_age: Nanos,
    /// Whether this batch is the last one of the snapshot at the start of a session.
    pub completes_snapshot: bool,
    /// The observations, with their ages at the time when the batch was built.
    pub observations: Vec<EndpointObservation>,
}

/// Errors after which a peer's stream cannot be decoded further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The length field, in bytes, is above `MAX_FRAME_BYTES`.
    #[error("frame of {0} bytes exceeds the maximum of {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The payload does not match its checksum.
    #[error("frame has a wrong checksum")]
    Checksum,
    /// The frame is too short, or its payload is not a valid message.
    #[error("frame is malformed")]
    Malformed,
}

#[derive(Serialize, Deserialize)]
struct WireHello {
    name: String,
    group: String,
}

/// Last field of a hello. Versions without the view of the fleet do not send it.
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
    /// Type and encoded content of each observation. The content is opaque bytes so that unknown types can be skipped.
    observations: Vec<(u8, Vec<u8>)>,
}

/// Fields of every observation, encoded before the fields of its type.
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

/// Observation types on the wire.
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
    encode_frame(VERSION, &encode_message(message))
}

fn encode_frame(version: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(payload.len() + HEADER_BYTES);
    frame.extend(((payload.len() + COUNTED_HEADER_BYTES) as u32).to_be_bytes());
    frame.push(version);
    frame.extend(crc32fast::hash(payload).to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

fn encode_message(message: &Message) -> Vec<u8> {
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
    // Serializing these types to memory cannot fail.
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

/// Decodes an observation; returns `None` if its type is unknown.
fn decode_observation(observation_type: u8, bytes: &[u8]) -> Result<Option<EndpointObservation>, FrameError> {
    use observation_type::*;
    if !(OUTAGE..=CONNECTION_CAPACITY).contains(&observation_type) {
        return Ok(None);
    }
    let (common, fields) = decode_prefix::<WireObservation>(bytes)?;
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
    if common.uid.len() > MAX_NAME_BYTES || !has_valid_values(&finding) {
        return Err(FrameError::Malformed);
    }
    Ok(Some(EndpointObservation { uid: common.uid, finding, age: Nanos(common.age) }))
}

/// Returns whether all numbers of a finding are valid. Protects the decision module's arithmetic from NaN, infinite,
/// negative and excessive values.
fn has_valid_values(finding: &Finding) -> bool {
    let is_valid = |value: f64| (0.0..=MAX_VALUE).contains(&value);
    match *finding {
        Finding::Healthy { mean, dev } => is_valid(mean) && is_valid(dev),
        Finding::RateLimit { rate } => is_valid(rate),
        Finding::ConnectionCapacity { calls } => is_valid(calls),
        Finding::Outage { .. } | Finding::Recovering { .. } | Finding::RetryAfter { .. } => true,
    }
}

/// Splits observations into parts that each fit into one frame. Returns one empty part if there are no observations.
pub fn split_observations(observations: Vec<EndpointObservation>) -> Vec<Vec<EndpointObservation>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for observation in observations {
        let bytes = observation.uid.len() + OBSERVATION_OVERHEAD_BYTES;
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

/// Splits the JSON text of a view into messages that each fit into one frame.
pub fn split_view(text: &str) -> Vec<Message> {
    let parts: Vec<&[u8]> = text.as_bytes().chunks(MAX_CONTENT_BYTES).collect();
    let count = parts.len();
    let message = |(index, part): (usize, &[u8])| Message::ViewPart {
        bytes: part.to_vec(),
        is_last: index + 1 == count,
    };
    parts.into_iter().enumerate().map(message).collect()
}

/// Decodes messages from the chunks of a byte stream. Buffers an incomplete frame and the bytes read after a complete one.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
}

impl FrameReader {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` until its frame is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a frame cannot be decoded. The rest of the stream is then unusable, because the frame boundaries
    /// are unknown.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        loop {
            let Some(frame) = self.next_frame()? else { return Ok(None) };
            // Only the length field is common to all versions: another version may differ in checksum and payload.
            if frame[LENGTH_BYTES] != VERSION {
                continue;
            }
            let payload = &frame[HEADER_BYTES..];
            if frame[LENGTH_BYTES + 1..HEADER_BYTES] != crc32fast::hash(payload).to_be_bytes() {
                return Err(FrameError::Checksum);
            }
            if let Some(message) = decode_message(payload)? {
                return Ok(Some(message));
            }
        }
    }

    /// Removes the next frame, including its length field, from the buffer; returns `None` until it is complete.
    fn next_frame(&mut self) -> Result<Option<Vec<u8>>, FrameError> {
        let Some(length_field) = self.bytes.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length_field) as usize;
        // Checked before the rest arrives, so that an oversized frame is never buffered.
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

/// Decodes a value and returns it with the remaining bytes.
fn decode_prefix<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), FrameError> {
    postcard::take_from_bytes(bytes).map_err(|_| FrameError::Malformed)
}

/// Decodes a value. Ignores the remaining bytes, which are fields of a later version.
fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FrameError> {
    decode_prefix(bytes).map(|(value, _)| value)
}

/// Decodes a message; returns `None` if its type is unknown.
fn decode_message(payload: &[u8]) -> Result<Option<Message>, FrameError> {
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
    let (WireHello { name, group }, rest) = decode_prefix(bytes)?;
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
