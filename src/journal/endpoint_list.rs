//! The endpoint list on disk: the list that discovery sent last. A process that starts on the folder continues from it, since
//! the list in its configuration may be older.
//!
//! The first part of the [state file](super::state_file) holds a [`StoredEndpointList`], the others a [`StoredListChange`] each.
use super::disk::Disk;
use super::state_file::{decode, StateFile};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// The file.
pub(super) const FILE: StateFile = StateFile { name: "endpoints", new_name: "endpoints.new" };

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
    let Some(bytes) = FILE.read(disk)? else { return Ok(None) };
    let (list, mut rest) = decode(&bytes).ok_or(ReadError::Corrupt)?;
    let mut changes = Vec::new();
    while let Some((change, after)) = decode(rest) {
        changes.push(change);
        rest = after;
    }
    Ok(Some((apply(list, changes), bytes.len() as u64)))
}

#[cfg(test)]
mod tests;
