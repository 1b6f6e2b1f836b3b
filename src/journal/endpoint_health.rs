//! The health of endpoints on disk: those that were in an outage or in slow start when the last process ended. A new process
//! would send to them without a limit otherwise, and many processes that restart together would overload them.
//!
//! Each part of the [state file](super::state_file) holds a list of [`StoredEndpointHealth`]; a later entry of an endpoint
//! replaces earlier ones.
use super::disk::Disk;
use super::state_file::{decode, StateFile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

/// The file.
pub(super) const FILE: StateFile = StateFile { name: "health", new_name: "health.new" };

/// Health of a [`StoredEndpointHealth`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredHealth {
    /// Calls are sent without restriction; replaces an earlier entry.
    Healthy,
    /// Calls failed, and none has been served since.
    Failing,
    /// Calls are served again after an outage.
    SlowStart,
}

/// Health of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpointHealth {
    /// Name of the endpoint in discovery.
    pub uid: String,
    /// Its health.
    pub health: StoredHealth,
    /// Calls per second that its destination served while it was healthy.
    pub served_rate: f64,
}

/// Reads the health of the endpoints that are not healthy, and the size of the file in bytes. A file that is truncated or
/// altered is read up to that place.
pub(super) fn read(disk: &dyn Disk) -> io::Result<(Vec<StoredEndpointHealth>, u64)> {
    let bytes = FILE.read(disk)?.unwrap_or_default();
    let mut by_uid = BTreeMap::new();
    let mut rest = &bytes[..];
    while let Some((part, after)) = decode::<Vec<StoredEndpointHealth>>(rest) {
        by_uid.extend(part.into_iter().map(|entry| (entry.uid.clone(), entry)));
        rest = after;
    }
    by_uid.retain(|_, entry| entry.health != StoredHealth::Healthy);
    Ok((by_uid.into_values().collect(), bytes.len() as u64))
}

#[cfg(test)]
mod tests;
