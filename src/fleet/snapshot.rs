//! What of the fleet outlasts a process: the number of its incarnation, the members it knew and the fleet last agreed on.
//! A fleet that restarts as a whole finds itself again although its seeds stay dead, and a clock that is set back
//! makes nobody an earlier incarnation of itself.
//!
//! It is one small file in the state folder, replaced atomically. It must not take space from the journal: it keeps
//! within the share that the journal never uses, and where it cannot be written, the view is lost with the process and
//! nothing else happens.
use super::error::FleetError;
use super::member::Member;
use crate::journal::Disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

const FILE_NAME: &str = "fleet";
/// The next file, until it is complete and renamed.
const TEMPORARY_FILE_NAME: &str = "fleet.new";
/// Rises with each format that an older program cannot read.
const FORMAT: u8 = 2;
/// This format had no agreed fleet; its incarnation and members are still read.
const PREVIOUS_FORMAT: u8 = 1;
/// Format byte and checksum.
const HEADER_BYTES: usize = 5;
/// Share of the folder's limit for the file; during a replacement there are two. The journal leaves three hundredths.
const DISK_SHARE: f64 = 0.01;
/// Size limit in bytes, however large the folder is: enough for some thousand members.
const MAX_BYTES: u64 = 64 * 1024;
/// Files are accounted in whole blocks of this many bytes.
const BLOCK_BYTES: u64 = 512;
/// Members that were absent for this many seconds are forgotten: long enough that a clock an hour off makes no difference.
const MAX_AGE_SECS: u64 = 7 * 86_400;

/// A member that was present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// Its name.
    pub name: String,
    /// The address that it advertised.
    pub address: SocketAddr,
    /// When it was last present, in seconds since 1970 by this machine's clock.
    pub last_seen: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct Snapshot {
    incarnation: u64,
    /// The most recently seen one first.
    known_members: Vec<KnownMember>,
    /// Names of the fleet as this member last agreed on it; none after it has left.
    agreed_fleet: BTreeSet<String>,
}

/// The file's content in `PREVIOUS_FORMAT`.
#[derive(Deserialize)]
struct PreviousSnapshot {
    incarnation: u64,
    known_members: Vec<KnownMember>,
}

/// The snapshot file and its content.
pub struct SnapshotStore {
    disk: Box<dyn Disk>,
    max_bytes: u64,
    snapshot: Snapshot,
    /// The last write failed, which was logged.
    last_write_failed: bool,
}

impl SnapshotStore {
    /// Reads the snapshot of a folder that may hold `folder_bytes`. One that cannot be read is logged and counts as none.
    pub fn open(disk: Box<dyn Disk>, folder_bytes: u64) -> SnapshotStore {
        // Left where a process was killed while it wrote; the old file is still in place.
        let _ = disk.remove(TEMPORARY_FILE_NAME);
        let snapshot = load(disk.as_ref()).unwrap_or_else(|e| {
            match &e {
                FleetError::SnapshotCorrupt => {
                    log::warn!("fleet: what was remembered is not whole, and is passed over");
                }
                _ => log::warn!("fleet: what was remembered cannot be read: {e}"),
            }
            Snapshot::default()
        });
        let share = (folder_bytes as f64 * DISK_SHARE) as u64;
        let max_bytes = (share / BLOCK_BYTES * BLOCK_BYTES).min(MAX_BYTES);
        SnapshotStore { disk, max_bytes, snapshot, last_write_failed: false }
    }

    /// Begins a new incarnation: one above the last, and on disk before any peer learns of it. Without a last one it is
    /// `first`, which must be above that of an earlier process whose folder was lost.
    pub fn begin_incarnation(&mut self, first: u64) -> u64 {
        self.snapshot.incarnation = match self.snapshot.incarnation {
            0 => first.max(1),
            last => last + 1,
        };
        self.write();
        self.snapshot.incarnation
    }

    /// The members that were present, the most recently seen one first.
    pub fn known_members(&self) -> &[KnownMember] {
        &self.snapshot.known_members
    }

    /// Records that the incarnation rose while the process runs, as others knew a later one. Later starts go on from
    /// there.
    pub fn raise_incarnation(&mut self, incarnation: u64) {
        if incarnation > self.snapshot.incarnation {
            self.snapshot.incarnation = incarnation;
            self.write();
        }
    }

    /// The fleet as it was last agreed.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        &self.snapshot.agreed_fleet
    }

    /// Records who is present at `now_secs` (since 1970), and the agreed fleet. Members that were present before stay
    /// known for `MAX_AGE_SECS`: they may come back.
    pub fn record(&mut self, present: &[Member], agreed_fleet: &BTreeSet<String>, now_secs: u64) {
        let mut known_members: Vec<KnownMember> = present
            .iter()
            .map(|m| KnownMember { name: m.name.clone(), address: m.address, last_seen: now_secs })
            .collect();
        for known in &self.snapshot.known_members {
            let is_present = present.iter().any(|m| m.address == known.address);
            if is_present || now_secs.saturating_sub(known.last_seen) >= MAX_AGE_SECS {
                continue;
            }
            // A time in the future was written before the clock was set back.
            let last_seen = known.last_seen.min(now_secs);
            known_members.push(KnownMember { last_seen, ..known.clone() });
        }
        self.snapshot.known_members = known_members;
        self.snapshot.agreed_fleet = agreed_fleet.clone();
        self.write();
    }

    fn write(&mut self) {
        let Some(bytes) = self.encode_within_limit() else { return };
        match self.replace(&bytes).map_err(FleetError::SnapshotWrite) {
            Ok(()) => self.last_write_failed = false,
            Err(e) => {
                // Logged once, not with each write to a disk that is full.
                if !self.last_write_failed {
                    log::warn!("fleet: the view is not remembered: {e}");
                }
                self.last_write_failed = true;
            }
        }
    }

    /// The file's bytes, with as many members as the limit allows; none where it does not even allow the incarnation.
    fn encode_within_limit(&mut self) -> Option<Vec<u8>> {
        let mut bytes = encode(&self.snapshot);
        while !self.fits(&bytes) && !self.snapshot.known_members.is_empty() {
            // The oldest go first, a tenth at a time.
            let kept = self.snapshot.known_members.len() * 9 / 10;
            self.snapshot.known_members.truncate(kept);
            bytes = encode(&self.snapshot);
        }
        if !self.fits(&bytes) {
            // A part of the agreed fleet would be another fleet, of which this member could be a false majority.
            bytes = encode(&Snapshot { incarnation: self.snapshot.incarnation, ..Snapshot::default() });
        }
        self.fits(&bytes).then_some(bytes)
    }

    fn fits(&self, bytes: &[u8]) -> bool {
        bytes.len() as u64 <= self.max_bytes
    }

    fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.disk.create(TEMPORARY_FILE_NAME)?;
        if let Err(e) = file.append(bytes) {
            // A partial file would take space that the journal may need.
            let _ = self.disk.remove(TEMPORARY_FILE_NAME);
            return Err(e);
        }
        self.disk.rename(TEMPORARY_FILE_NAME, FILE_NAME)
    }
}

fn load(disk: &dyn Disk) -> Result<Snapshot, FleetError> {
    match disk.read(FILE_NAME).map_err(FleetError::SnapshotRead)? {
        Some(bytes) => decode(&bytes),
        None => Ok(Snapshot::default()),
    }
}

/// Format byte, checksum (little-endian), content.
fn encode(snapshot: &Snapshot) -> Vec<u8> {
    // Serializing these types to memory cannot fail.
    let body = postcard::to_stdvec(snapshot).unwrap_or_default();
    [&[FORMAT][..], &crc32fast::hash(&body).to_le_bytes(), &body].concat()
}

fn decode(bytes: &[u8]) -> Result<Snapshot, FleetError> {
    let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(FleetError::SnapshotCorrupt)?;
    if header[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(FleetError::SnapshotCorrupt);
    }
    let decoded = match header[0] {
        FORMAT => postcard::from_bytes(body),
        PREVIOUS_FORMAT => postcard::from_bytes::<PreviousSnapshot>(body).map(Snapshot::from),
        _ => return Err(FleetError::SnapshotCorrupt),
    };
    decoded.map_err(|_| FleetError::SnapshotCorrupt)
}

impl From<PreviousSnapshot> for Snapshot {
    fn from(previous: PreviousSnapshot) -> Snapshot {
        Snapshot {
            incarnation: previous.incarnation,
            known_members: previous.known_members,
            agreed_fleet: BTreeSet::new(),
        }
    }
}

#[cfg(test)]
mod tests;
