//! Encodes and decodes the datagrams between forwarders. Does no I/O.
//!
//! A datagram consists of a header and one message. The header has 15 bytes, with all numbers in big-endian order:
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | format version |
//! | 4 | group tag, which separates fleets that reach each other by mistake |
//! | 8 | digest of the sender's view, so that the receiver of each datagram compares views |
//! | 1 | side of a network partition that the sender reports |
//! | 1 | kind of the message |
//!
//! The message is either a message encoded by foca, or the fields of a `Message` variant encoded by `postcard`.
use super::error::FleetError;
use super::fault_injection::{is_injected, Defect};
use super::member::{Member, MAX_NAME_BYTES};
use super::partition::PartitionSide;
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, in bytes: below the MTU of most networks, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Size of the header, in bytes.
pub const HEADER_BYTES: usize = 15;
/// Format version; incremented with each format that an older program cannot read. Versions 0 and 1 are unusable: the first
/// programs sent datagrams without a header, which started with the byte 0 or 1.
const FORMAT_VERSION: u8 = 2;
/// Number of buckets into which members are divided when views are compared.
pub const DIGEST_BUCKETS: usize = 64;
/// Upper bound of the encoded size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 512;
/// Maximum length of a text attribute, in bytes. The member that publishes it truncates longer ones.
pub const MAX_TEXT_BYTES: usize = 64;

/// Attributes that a member publishes about itself. Only that member changes them; newer ones have a higher revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// Zone of the member, empty if it has none.
    pub zone: String,
    /// Program version of the member.
    pub version: String,
    /// Digest of the member's settings.
    pub settings_digest: u64,
    /// Version of the settings that this incarnation uses: 1 at its start, incremented by each change.
    pub settings_epoch: u64,
    /// Version of the endpoint list that the member uses.
    pub list_version: u64,
    /// When the member started, in seconds since 1970 by its own clock.
    pub started: u64,
    /// Whether the member is shutting down and completes its messages in flight.
    pub draining: bool,
}

/// What one member knows about another, in the form that is sent to further members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The member that the record is about.
    pub member: Member,
    /// How many times that member has published its attributes in this incarnation.
    pub revision: u32,
    /// Age of the attributes in milliseconds, not including the transit time of datagrams.
    pub age_millis: u32,
    /// Whether this incarnation has left or was declared dead.
    pub departed: bool,
    /// The published attributes, if known.
    pub attributes: Option<Attributes>,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A membership message in foca's encoding.
    Swim(Vec<u8>),
    /// Digests of the buckets of the sender's view.
    Digests {
        /// The sender.
        from: Member,
        /// One digest for each of the `DIGEST_BUCKETS` buckets.
        digests: Vec<u64>,
        /// Whether this message responds to digests. The receiver of a response does not send its digests again.
        is_reply: bool,
    },
    /// Records of members.
    Records {
        /// The sender.
        from: Member,
        /// As many records as fit into the datagram.
        records: Vec<Record>,
    },
    /// A notice that a probe by the sender failed.
    Suspicion {
        /// The sender.
        from: Member,
        /// The member that did not answer.
        suspect: Member,
        /// The SWIM incarnation that is suspected. The suspect raises it when it refutes a suspicion.
        swim_incarnation: u16,
    },
}

const KIND_SWIM: u8 = 1;
const KIND_DIGESTS: u8 = 2;
const KIND_RECORDS: u8 = 3;
const KIND_SUSPICION: u8 = 4;

/// The fields of the header that describe the sender's view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Digest of the sender's view.
    pub digest: u64,
    /// The side of a partition that the sender reports.
    pub side: PartitionSide,
}

/// The sides of a partition, indexed by their byte in the header.
const SIDE_BY_CODE: [PartitionSide; 3] =
    [PartitionSide::Unknown, PartitionSide::Minority, PartitionSide::Majority];

/// Returns the tag of a group.
pub fn group_tag(group: &str) -> u32 {
    crc32fast::hash(group.as_bytes())
}

/// Encodes a datagram. The caller ensures that it does not exceed `MAX_DATAGRAM_BYTES`.
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
    // Serializing these types to memory cannot fail. The receiver would reject an empty body.
    postcard::to_stdvec(body).unwrap_or_default()
}

/// Decodes a datagram of a group into the header and the message.
///
/// # Errors
///
/// `FleetError::DatagramSize`, `DatagramVersion`, `ForeignGroup` or `MalformedDatagram`. Any host can send such datagrams;
/// the caller drops them.
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

/// Returns whether the texts of a record are within their limits, which bounds the memory of the member table.
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
