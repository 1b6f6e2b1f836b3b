//! A datagram between forwarders, as bytes, without I/O: a head, and one of a few things to say.
//!
//! The head is a form (1 byte), a tag of the group (4, so that two fleets which meet by mistake stay two), the digest of
//! the sender's view (8, so that views are compared with each datagram), the side of a cut that it takes itself to be on
//! (1) and a kind (1); all numbers big-endian. Behind it comes what foca wrote, or a record as `postcard`. What cannot be read is none of ours.
use super::fault_injection::broken;
use super::member::{Member, MAX_NAME_BYTES};
use super::partition::PartitionSide;
use serde::{Deserialize, Serialize};

/// Datagrams stay under what most networks carry in one piece.
pub const DATAGRAM: usize = 1400;
/// Bytes of the head.
pub const HEAD: usize = 15;
/// Raised with each form that an older program cannot read. Without a head, foca's own datagrams began with 0 or 1.
const FORM: u8 = 2;
/// A view is compared in so many parts.
pub const PARTS: usize = 64;
/// Bytes that a record may add to a datagram: name, facts and numbers.
pub const MAX_RECORD_BYTES: usize = 512;
/// Longer texts of facts are cut by the one who writes them, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// What a member says of itself. Nobody else speaks for it; a newer one carries a higher count.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// Its zone, empty where it has none.
    pub zone: String,
    /// Its program's version.
    pub version: String,
    /// Digest of its settings, and how often this life has taken up new ones.
    pub settings_digest: u64,
    /// Counts the settings that this life has used, from 1 on.
    pub settings_epoch: u64,
    /// Version of discovery's list that it uses.
    pub list_version: u64,
    /// When it started, in seconds since 1970 by its own clock.
    pub started: u64,
    /// It was told to end, and finishes what it holds.
    pub draining: bool,
}

/// What is told of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Of whom.
    pub of: Member,
    /// How often it has written its facts.
    pub count: u32,
    /// How long ago it wrote them, in milliseconds; ways between members do not count.
    pub age: u32,
    /// This life of it is over.
    pub gone: bool,
    /// What it wrote, where that is known.
    pub facts: Option<Attributes>,
}

/// What may come.
#[derive(Clone, Debug, PartialEq)]
pub enum Say {
    /// Membership: foca's bytes.
    Members(Vec<u8>),
    /// Digests of the parts of a view; `back`: in answer to one.
    Parts { from: Member, sums: Vec<u64>, back: bool },
    /// Records.
    Records { from: Member, records: Vec<Record> },
    /// The sender has not been answered by a member, in the life named; `number` is foca's, which the member raises with
    /// each doubt that it answers.
    Doubt { from: Member, of: Member, number: u16 },
}

const MEMBERS: u8 = 1;
const SUMS: u8 = 2;
const RECORDS: u8 = 3;
const DOUBT: u8 = 4;

/// What the head says of the sender's view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Head {
    /// Its digest.
    pub digest: u64,
    /// Its side.
    pub side: PartitionSide,
}

const SIDES: [PartitionSide; 3] = [PartitionSide::Unknown, PartitionSide::Minority, PartitionSide::Majority];

/// The tag of a group.
pub fn tag(group: &str) -> u32 {
    crc32fast::hash(group.as_bytes())
}

/// As a datagram. Longer ones than `DATAGRAM` are the caller's to avoid.
pub fn encode(tag: u32, head: Head, say: &Say) -> Vec<u8> {
    let mut out = Vec::with_capacity(DATAGRAM);
    out.push(FORM);
    out.extend(tag.to_be_bytes());
    out.extend(head.digest.to_be_bytes());
    out.push(head.side as u8);
    // Writing to memory fails for no value of these types.
    let body = |value: Result<Vec<u8>, postcard::Error>| value.unwrap_or_default();
    let (kind, body) = match say {
        Say::Members(bytes) => (MEMBERS, bytes.clone()),
        Say::Parts { from, sums, back } => (SUMS, body(postcard::to_stdvec(&(from, sums, back)))),
        Say::Records { from, records } => (RECORDS, body(postcard::to_stdvec(&(from, records)))),
        Say::Doubt { from, of, number } => (DOUBT, body(postcard::to_stdvec(&(from, of, number)))),
    };
    out.push(kind);
    out.extend(body);
    out
}

/// Reads a datagram of this group: the sender's view, and what it says.
pub fn decode(own: u32, bytes: &[u8]) -> Option<(Head, Say)> {
    if bytes.len() > DATAGRAM || bytes.len() < HEAD || bytes[0] != FORM {
        return None;
    }
    if bytes[1..5] != own.to_be_bytes() && !broken("groups are not told apart") {
        return None;
    }
    let digest = u64::from_be_bytes(bytes[5..13].try_into().ok()?);
    let head = Head { digest, side: *SIDES.get(usize::from(bytes[13]))? };
    let body = &bytes[HEAD..];
    let say = match bytes[14] {
        MEMBERS => Say::Members(body.into()),
        SUMS => {
            let (from, sums, back): (Member, Vec<u64>, bool) = postcard::from_bytes(body).ok()?;
            (sums.len() == PARTS).then_some(Say::Parts { from, sums, back })?
        }
        RECORDS => {
            let (from, records): (Member, Vec<Record>) = postcard::from_bytes(body).ok()?;
            records.iter().all(fits).then_some(Say::Records { from, records })?
        }
        DOUBT => {
            let (from, of, number) = postcard::from_bytes(body).ok()?;
            Say::Doubt { from, of, number }
        }
        _ => return None,
    };
    Some((head, say))
}

/// Guards the table against texts without end.
fn fits(record: &Record) -> bool {
    let short = |f: &Attributes| f.zone.len() <= MAX_TEXT_BYTES && f.version.len() <= MAX_TEXT_BYTES;
    record.of.name.len() <= MAX_NAME_BYTES && record.facts.as_ref().is_none_or(short)
}

#[cfg(test)]
mod tests;
