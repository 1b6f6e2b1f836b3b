//! The datagrams between forwarders, as bytes, without I/O.
//!
//! A datagram is a header and one message. The header is 15 bytes, all numbers big-endian:
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | format version |
//! | 4 | group tag, which separates two fleets that reach each other by mistake |
//! | 8 | digest of the sender's view, so that views are compared with each datagram |
//! | 1 | the side of a network partition that the sender takes itself to be on |
//! | 1 | kind of the message |
//!
//! The message is what foca encoded, or the fields of the variant encoded by `postcard`.
use super::error::FleetError;
use super::fault_injection::{is_injected, Defect};
use super::member::{Member, MAX_NAME_BYTES};
use super::partition::PartitionSide;
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes: below the MTU of most networks, so that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Size of the header, in bytes.
pub const HEADER_BYTES: usize = 15;
/// Rises with each format that an older program cannot read. The datagrams of the first programs had no header, and began
/// with 0 or 1.
const FORMAT_VERSION: u8 = 2;
/// Views are compared in this many buckets of members.
pub const DIGEST_BUCKETS: usize = 64;
/// Upper bound of what one record adds to a datagram, in bytes: name, attributes and numbers.
pub const MAX_RECORD_BYTES: usize = 512;
/// Longest text of an attribute, in bytes; its owner truncates longer ones.
pub const MAX_TEXT_BYTES: usize = 64;

/// What a member publishes about itself. No other member writes it; a newer one has a higher revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// Its zone, empty where it has none.
    pub zone: String,
    /// Its program's version.
    pub version: String,
    /// Digest of its settings.
    pub settings_digest: u64,
    /// Counts the settings that this incarnation has used, from 1 on.
    pub settings_epoch: u64,
    /// Version of the endpoint list that it uses.
    pub list_version: u64,
    /// When it started, in seconds since 1970 by its own clock.
    pub started: u64,
    /// It is shutting down, and completes what is in flight.
    pub draining: bool,
}

/// What one member knows of another, as it is sent to a third.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The member that the record is about.
    pub member: Member,
    /// How often that member has published its attributes in this incarnation.
    pub revision: u32,
    /// How long ago it published them, in milliseconds, without the time that datagrams were under way.
    pub age_millis: u32,
    /// This incarnation has left or was declared dead.
    pub departed: bool,
    /// What it published, where that is known.
    pub attributes: Option<Attributes>,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Membership: bytes of foca's protocol.
    Swim(Vec<u8>),
    /// Digests of the buckets of the sender's view.
    Digests {
        /// The sender.
        from: Member,
        /// One digest for each of the `DIGEST_BUCKETS` buckets.
        digests: Vec<u64>,
        /// It answers such a message, and is not answered by digests again.
        is_reply: bool,
    },
    /// Records of members.
    Records {
        /// The sender.
        from: Member,
        /// As many as fit.
        records: Vec<Record>,
    },
    /// The sender's probe was not answered by a member.
    Suspicion {
        /// The sender.
        from: Member,
        /// The member that did not answer.
        suspect: Member,
        /// The number that foca gives the suspect's state; a suspect that refutes a suspicion raises it.
        swim_incarnation: u16,
    },
}

const KIND_SWIM: u8 = 1;
const KIND_DIGESTS: u8 = 2;
const KIND_RECORDS: u8 = 3;
const KIND_SUSPICION: u8 = 4;

/// What the header says of the sender's view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Digest of the view.
    pub digest: u64,
    /// Side of a partition.
    pub side: PartitionSide,
}

/// The sides by their byte in the header.
const SIDE_BY_CODE: [PartitionSide; 3] =
    [PartitionSide::Unknown, PartitionSide::Minority, PartitionSide::Majority];

/// The tag of a group.
pub fn group_tag(group: &str) -> u32 {
    crc32fast::hash(group.as_bytes())
}

/// Encodes a datagram. The caller sees to it that it is not longer than `MAX_DATAGRAM_BYTES`.
pub fn encode(group_tag: u32, header: Header, message: &Message) -> Vec<u8> {
    let (kind, body) = encode_message(message);
    let mut datagram = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    datagram.push(FORMAT_VERSION);
    datagram.extend(group_tag.to_be_bytes());
    datagram.extend(header.digest.to_be_bytes());
    datagram.push(header.side as u8);
    datagram.push(kind);
    datagram.extend(body);
    datagram
}

fn encode_message(message: &Message) -> (u8, Vec<u8>) {
    match message {
        Message::Swim(bytes) => (KIND_SWIM, bytes.clone()),
        Message::Digests { from, digests, is_reply } => {
            (KIND_DIGESTS, encode_body(&(from, digests, is_reply)))
        }
        Message::Records { from, records } => (KIND_RECORDS, encode_body(&(from, records))),
        Message::Suspicion { from, suspect, swim_incarnation } => {
            (KIND_SUSPICION, encode_body(&(from, suspect, swim_incarnation)))
        }
    }
}

fn encode_body(body: &impl Serialize) -> Vec<u8> {
    // Serializing these types to memory cannot fail; an empty body would be rejected by the receiver.
    postcard::to_stdvec(body).unwrap_or_default()
}

/// Decodes a datagram of a group: the sender's header and its message.
///
/// # Errors
///
/// `FleetError::DatagramSize`, `DatagramVersion`, `ForeignGroup` or `MalformedDatagram`. Anybody can send such a datagram:
/// it is to be dropped.
pub fn decode(group_tag: u32, datagram: &[u8]) -> Result<(Header, Message), FleetError> {
    if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < HEADER_BYTES {
        return Err(FleetError::DatagramSize { bytes: datagram.len() });
    }
    let (head, body) = datagram.split_at(HEADER_BYTES);
    if head[0] != FORMAT_VERSION {
        return Err(FleetError::DatagramVersion { found: head[0], expected: FORMAT_VERSION });
    }
    if head[1..5] != group_tag.to_be_bytes() && !is_injected(Defect::GroupsNotSeparated) {
        return Err(FleetError::ForeignGroup);
    }
    let mut digest = [0; 8];
    digest.copy_from_slice(&head[5..13]);
    let Some(side) = SIDE_BY_CODE.get(usize::from(head[13])) else {
        return Err(FleetError::MalformedDatagram { part: "side of a partition" });
    };
    let header = Header { digest: u64::from_be_bytes(digest), side: *side };
    Ok((header, decode_message(head[14], body)?))
}

fn decode_message(kind: u8, body: &[u8]) -> Result<Message, FleetError> {
    match kind {
        KIND_SWIM => Ok(Message::Swim(body.into())),
        KIND_DIGESTS => {
            let (from, digests, is_reply): (Member, Vec<u64>, bool) = decode_body("digests", body)?;
            if digests.len() != DIGEST_BUCKETS {
                return Err(FleetError::MalformedDatagram { part: "count of digests" });
            }
            Ok(Message::Digests { from, digests, is_reply })
        }
        KIND_RECORDS => {
            let (from, records): (Member, Vec<Record>) = decode_body("records", body)?;
            if !records.iter().all(is_within_bounds) {
                return Err(FleetError::MalformedDatagram { part: "length of a record" });
            }
            Ok(Message::Records { from, records })
        }
        KIND_SUSPICION => {
            let (from, suspect, swim_incarnation) = decode_body("suspicion", body)?;
            Ok(Message::Suspicion { from, suspect, swim_incarnation })
        }
        _ => Err(FleetError::MalformedDatagram { part: "kind of message" }),
    }
}

fn decode_body<'a, T: Deserialize<'a>>(part: &'static str, body: &'a [u8]) -> Result<T, FleetError> {
    postcard::from_bytes(body).map_err(|_| FleetError::MalformedDatagram { part })
}

/// Guards the member table against texts of any length.
fn is_within_bounds(record: &Record) -> bool {
    if record.member.name.len() > MAX_NAME_BYTES {
        return false;
    }
    match &record.attributes {
        Some(a) => a.zone.len() <= MAX_TEXT_BYTES && a.version.len() <= MAX_TEXT_BYTES,
        None => true,
    }
}

#[cfg(test)]
mod tests;
