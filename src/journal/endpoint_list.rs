//! The endpoint list on disk: the list that discovery sent last. A process that starts on the folder continues from it, since
//! the list in its configuration may be older.
//!
//! The list is one small file beside the journal, because versions without it stop reading the journal at an unknown record. They
//! ignore the file. It starts with a complete list, which replaces the file atomically, and changes are appended, so that the
//! cost of a change does not grow with the list. An incomplete change at the end is ignored.
//!
//! Each part of the file, the list and every change, has this form:
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | format version |
//! | 4 | length of the payload, little-endian |
//! | 4 | CRC-32 of the payload, little-endian |
//! | rest | payload in postcard: first a [`StoredEndpointList`], then a [`StoredListChange`] each |
use super::disk::Disk;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Name of the file in use.
const LIST_FILE: &str = "endpoints";
/// Name of a new list while it is written.
const NEW_LIST_FILE: &str = "endpoints.new";
/// Format version; incremented with each format that an older program cannot read.
const FORMAT_VERSION: u8 = 1;
/// Size of the header, in bytes: format version, length and checksum.
const HEADER_BYTES: usize = 9;

/// The endpoint list that a process received from discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpointList {
    /// Address of the discovery server that numbered the revision.
    pub source: String,
    /// Revision of the list.
    pub revision: u64,
    /// Revision of the list in the configuration from which the process started.
    pub configured_revision: u64,
    /// The endpoints, without removed ones.
    pub endpoints: Vec<StoredEndpoint>,
    /// Destinations of all endpoints that were ever listed, in ascending order.
    pub destinations: Vec<u64>,
}

/// Changes of a [`StoredEndpointList`], as one update of discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredListChange {
    /// Revision of the list after the changes, numbered by the source of the list.
    pub revision: u64,
    /// New, changed and removed endpoints.
    pub endpoints: Vec<StoredEndpoint>,
}

/// State of a [`StoredEndpoint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredEndpointState {
    /// Accepts messages.
    Running,
    /// Accepts no new messages.
    Draining,
    /// No longer listed; occurs in changes only.
    Removed,
}

/// An endpoint of a [`StoredEndpointList`] or a [`StoredListChange`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpoint {
    /// Name of the endpoint in discovery.
    pub uid: String,
    /// Address on which it listens, `HOST:PORT`.
    pub address: String,
    /// Name of its zone; empty if the settings had none.
    pub zone: String,
    /// Name of its kind; empty if the settings had none.
    pub kind: String,
    /// Destination that it serves.
    pub dest: u64,
    /// State in the list.
    pub state: StoredEndpointState,
    /// Listed rate, in messages per second.
    pub rate: f64,
}

/// Why the stored list cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The file is truncated, altered or of an unknown format.
    #[error("the file is truncated, altered or of an unknown format")]
    Corrupt,
    /// The file cannot be read.
    #[error(transparent)]
    Disk(#[from] io::Error),
}

/// Encodes a part of the file with its header.
pub(super) fn encode(part: &impl Serialize) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(part).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// Decodes the first part of the bytes; returns it with the bytes after it, or `None` if it is incomplete or altered.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (version, numbers) = header.split_first()?;
    let (length, checksum) = numbers.split_at_checked(size_of::<u32>())?;
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    let (payload, rest) = rest.split_at_checked(length as usize)?;
    if *version != FORMAT_VERSION || crc32fast::hash(payload) != checksum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, rest))
}

/// Returns the list after these changes.
fn apply(list: StoredEndpointList, changes: Vec<StoredListChange>) -> StoredEndpointList {
    let mut by_uid: BTreeMap<String, StoredEndpoint> =
        list.endpoints.into_iter().map(|endpoint| (endpoint.uid.clone(), endpoint)).collect();
    let mut destinations: BTreeSet<u64> = list.destinations.into_iter().collect();
    let mut revision = list.revision;
    for change in changes {
        revision = change.revision;
        for endpoint in change.endpoints {
            destinations.insert(endpoint.dest);
            by_uid.insert(endpoint.uid.clone(), endpoint);
        }
    }
    let is_listed = |endpoint: &StoredEndpoint| endpoint.state != StoredEndpointState::Removed;
    StoredEndpointList {
        revision,
        endpoints: by_uid.into_values().filter(is_listed).collect(),
        destinations: destinations.into_iter().collect(),
        ..list
    }
}

/// Reads the list and the size of its file in bytes; `None` if there is no file.
pub(super) fn read(disk: &dyn Disk) -> Result<Option<(StoredEndpointList, u64)>, ReadError> {
    let Some(bytes) = disk.read(LIST_FILE)? else { return Ok(None) };
    let (list, mut rest) = decode(&bytes).ok_or(ReadError::Corrupt)?;
    let mut changes = Vec::new();
    while let Some((change, after)) = decode(rest) {
        changes.push(change);
        rest = after;
    }
    Ok(Some((apply(list, changes), bytes.len() as u64)))
}

/// Replaces the stored list.
pub(super) fn replace(disk: &dyn Disk, bytes: &[u8]) -> io::Result<()> {
    let result = write_new(disk, bytes);
    if result.is_err() {
        // An incomplete file takes up space.
        remove_unfinished(disk);
    }
    result
}

fn write_new(disk: &dyn Disk, bytes: &[u8]) -> io::Result<()> {
    disk.create(NEW_LIST_FILE)?.append(bytes)?;
    disk.rename(NEW_LIST_FILE, LIST_FILE)
}

/// Appends a change to the stored list. The file is not kept open, as changes are rare and descriptors are limited.
pub(super) fn append(disk: &dyn Disk, bytes: &[u8]) -> io::Result<()> {
    disk.open_append(LIST_FILE)?.append(bytes)
}

/// Removes the stored list, if there is one.
pub(super) fn remove(disk: &dyn Disk) {
    let _ = disk.remove(LIST_FILE);
}

/// Removes a list whose writing was interrupted, for example by a kill.
pub(super) fn remove_unfinished(disk: &dyn Disk) {
    let _ = disk.remove(NEW_LIST_FILE);
}

#[cfg(test)]
mod tests;
