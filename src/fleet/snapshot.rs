//! The snapshot of the fleet on disk: the incarnation of this member, the known members and the fleet last agreed on.
//! With it, a fleet that restarts as a whole re-forms even if its seeds do not come up, and a member whose clock was set
//! back still starts with a higher incarnation.
//!
//! The snapshot is one small file in the state folder, replaced atomically. Its size stays within the share of the folder
//! that the journal never uses, so that it takes no space from the journal. If the file cannot be written, the view is
//! lost when the process ends; nothing else is affected.
use super::error::FleetError;
use super::member::Member;
use crate::journal::Disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

const FILE_NAME: &str = "fleet";
/// Name of the new file until it is complete and renamed.
const TEMPORARY_FILE_NAME: &str = "fleet.new";
/// Current format version; incremented with each format that an older program cannot read.
const FORMAT_VERSION: u8 = 2;
/// Previous format version, which had no agreed fleet. The incarnation and the members are still read from it.
const PREVIOUS_FORMAT_VERSION: u8 = 1;
/// Size of the header, in bytes: format version and checksum.
const HEADER_BYTES: usize = 5;
/// Share of the folder's size limit that the file may use. During a replacement two files exist; the journal leaves 3% of
/// the limit free.
const DISK_SHARE: f64 = 0.01;
/// Maximum size of the file in bytes, regardless of the folder's limit: enough for several thousand members.
const MAX_FILE_BYTES: u64 = 64 * 1024;
/// Block size by which disk usage is counted, in bytes.
const BLOCK_BYTES: u64 = 512;
/// Members that were absent for this many seconds are removed: long enough that a clock error of an hour does not matter.
const MAX_AGE_SECS: u64 = 7 * 86_400;

/// A member that was present at some time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// Name of the member.
    pub name: String,
    /// The address that the member advertised.
    pub address: SocketAddr,
    /// When the member was last present, in seconds since 1970 by this machine's clock.
    pub last_seen: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct Snapshot {
    incarnation: u64,
    /// Members in order of `last_seen`, the most recent first.
    known_members: Vec<KnownMember>,
    /// Names of the members of the fleet last agreed on; empty after this member has left.
    agreed_fleet: BTreeSet<String>,
}

/// Content of the file in `PREVIOUS_FORMAT_VERSION`.
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
    /// Whether the last write failed; the failure is already logged.
    last_write_failed: bool,
}

impl SnapshotStore {
    /// Reads the snapshot from a folder with a size limit of `folder_bytes`. Logs a file that cannot be read and starts
    /// without a snapshot.
    pub fn open(disk: Box<dyn Disk>, folder_bytes: u64) -> SnapshotStore {
        // Left over if a process was killed during a write. The previous snapshot is still in place.
        let _ = disk.remove(TEMPORARY_FILE_NAME);
        let snapshot = load(disk.as_ref()).unwrap_or_else(|e| {
            match &e {
                FleetError::SnapshotCorrupt => {
                    log::warn!(
                        "fleet: ignoring a corrupt snapshot file: truncated, altered or of an unknown format"
                    );
                }
                _ => log::warn!("fleet: starting without a snapshot: {e}"),
            }
            Snapshot::default()
        });
        let share = (folder_bytes as f64 * DISK_SHARE) as u64;
        let max_bytes = (share / BLOCK_BYTES * BLOCK_BYTES).min(MAX_FILE_BYTES);
        SnapshotStore { disk, max_bytes, snapshot, last_write_failed: false }
    }

    /// Starts a new incarnation, one above the last one, and writes it to disk before any peer receives it. Without a
    /// snapshot the incarnation is `first`, which must be above that of an earlier process whose folder was lost.
    pub fn begin_incarnation(&mut self, first: u64) -> u64 {
        self.snapshot.incarnation = match self.snapshot.incarnation {
            0 => first.max(1),
            last => last + 1,
        };
        self.write();
        self.snapshot.incarnation
    }

    /// Returns the members that were present at some time, the most recently seen one first.
    pub fn known_members(&self) -> &[KnownMember] {
        &self.snapshot.known_members
    }

    /// Stores an incarnation that was raised while the process runs because other members knew a higher one. Later starts
    /// continue from it.
    pub fn raise_incarnation(&mut self, incarnation: u64) {
        if incarnation > self.snapshot.incarnation {
            self.snapshot.incarnation = incarnation;
            self.write();
        }
    }

    /// Returns the names of the members of the fleet last agreed on.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        &self.snapshot.agreed_fleet
    }

    /// Stores the members that are present at `now_secs` (since 1970) and the agreed fleet. Members that were present
    /// before are kept for `MAX_AGE_SECS`, as they may return.
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
            // `last_seen` is in the future if the clock was set back after it was written.
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
                // Logged once, and not for each write to a full disk.
                if !self.last_write_failed {
                    log::warn!("fleet: the snapshot is not saved: {e}");
                }
                self.last_write_failed = true;
            }
        }
    }

    /// Encodes the snapshot with as many members as the size limit allows. Returns `None` if not even the incarnation
    /// fits.
    fn encode_within_limit(&mut self) -> Option<Vec<u8>> {
        let mut bytes = encode(&self.snapshot);
        while !self.fits(&bytes) && !self.snapshot.known_members.is_empty() {
            // Drops a tenth of the members at a time, those seen least recently.
            let kept = self.snapshot.known_members.len() * 9 / 10;
            self.snapshot.known_members.truncate(kept);
            bytes = encode(&self.snapshot);
        }
        if !self.fits(&bytes) {
            // Drops the agreed fleet as a whole: a part of it would be a smaller fleet, of which the present members could
            // wrongly be the majority.
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
            // A partial file would use space that the journal may need.
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

/// Encodes a snapshot: format version, CRC-32 of the content (little-endian), content.
fn encode(snapshot: &Snapshot) -> Vec<u8> {
    // Serializing these types to memory cannot fail.
    let body = postcard::to_stdvec(snapshot).unwrap_or_default();
    [&[FORMAT_VERSION][..], &crc32fast::hash(&body).to_le_bytes(), &body].concat()
}

fn decode(bytes: &[u8]) -> Result<Snapshot, FleetError> {
    let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(FleetError::SnapshotCorrupt)?;
    if header[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(FleetError::SnapshotCorrupt);
    }
    let decoded = match header[0] {
        FORMAT_VERSION => postcard::from_bytes(body),
        PREVIOUS_FORMAT_VERSION => postcard::from_bytes::<PreviousSnapshot>(body).map(Snapshot::from),
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
