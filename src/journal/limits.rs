//! The journal's shares of the state folder. During a compaction the folder holds the journal and its compacted copy, so
//! `USABLE_SHARE` and `ACCEPTING_SHARE` together stay below the whole, even after earlier failures.

/// Share of the folder for pending messages, and thus for the records of a compacted journal. The distance to
/// `ACCEPTING_SHARE` is the least that a compaction gains.
const PENDING_SHARE: f64 = 0.4;
/// Share of the folder above which the journal is compacted before it accepts another message.
const ACCEPTING_SHARE: f64 = 0.45;
/// Share of the folder that the journal may use in total. The part above `ACCEPTING_SHARE` is a reserve for the attempts,
/// outcomes and completions of accepted messages while the journal cannot be compacted.
const USABLE_SHARE: f64 = 0.52;

/// Block size of the file system: each file takes whole blocks.
const BLOCK_BYTES: u64 = 512;
/// Number of files in the folder: the journal, the compacted journal that replaces it, and the three files of a takeover.
const FILE_COUNT: u64 = 5;
/// Bytes by which a state file may grow before it is written as a whole again, in addition to the part of its size that
/// [`STATE_FILE_GROWTH_DIVISOR`] gives.
const STATE_FILE_GROWTH_BYTES: u64 = 4096;
/// Divisor of the size of a state file that gives a part of its growth.
const STATE_FILE_GROWTH_DIVISOR: u64 = 4;
/// Largest share of the folder for the file of the endpoint list and its replacement.
const ENDPOINT_LIST_SHARE: f64 = 0.1;
/// Largest share of the folder for the file with the health of endpoints and its replacement.
const ENDPOINT_HEALTH_SHARE: f64 = 0.1;

/// Size of an accepted message's record without its texts and body.
const ACCEPTED_RECORD_BYTES: u64 = 76;
/// Size of the records of an attempt: its start and its end.
const ATTEMPT_RECORDS_BYTES: u64 = 52;
/// Size of the records of a completion and of its acknowledged callback.
const COMPLETION_RECORDS_BYTES: u64 = 52;
/// Size of a deduplication record without its texts.
const DEDUPLICATED_RECORD_BYTES: u64 = 28;

/// Size limits that follow from the capacity of the folder.
pub(super) struct Limits {
    /// Capacity of the folder, in bytes.
    capacity: u64,
    /// Bytes reserved for the endpoint list.
    endpoint_list_bytes: u64,
    /// Bytes reserved for the health of endpoints.
    endpoint_health_bytes: u64,
}

impl Limits {
    /// Creates the limits for a folder with a capacity of `capacity` bytes.
    pub(super) fn new(capacity: u64) -> Limits {
        Limits { capacity, endpoint_list_bytes: 0, endpoint_health_bytes: 0 }
    }

    /// Reserves the bytes for an endpoint list of this size. Returns `false` and reserves nothing if the list exceeds its share
    /// of the folder.
    pub(super) fn reserve_endpoint_list(&mut self, size: u64) -> bool {
        let reserved = self.state_file_bytes(size, ENDPOINT_LIST_SHARE);
        self.endpoint_list_bytes = reserved.unwrap_or(0);
        reserved.is_some()
    }

    /// Reserves the bytes for the health of endpoints in a file of this size. Returns `false` and leaves the reservation as it
    /// is if the file exceeds its share of the folder.
    pub(super) fn reserve_endpoint_health(&mut self, size: u64) -> bool {
        let reserved = self.state_file_bytes(size, ENDPOINT_HEALTH_SHARE);
        self.endpoint_health_bytes = reserved.unwrap_or(self.endpoint_health_bytes);
        reserved.is_some()
    }

    /// Returns the bytes of a state file of this size and its replacement; `None` if they exceed this share of the folder.
    fn state_file_bytes(&self, size: u64, share: f64) -> Option<u64> {
        let file = state_file_limit(size).next_multiple_of(BLOCK_BYTES);
        let replacement = size.next_multiple_of(BLOCK_BYTES);
        Some(file + replacement).filter(|bytes| *bytes as f64 <= self.capacity as f64 * share)
    }

    /// Returns the bytes available for the contents of all files of the journal together.
    fn available_bytes(&self) -> f64 {
        let state_files = self.endpoint_list_bytes + self.endpoint_health_bytes;
        self.capacity.saturating_sub(FILE_COUNT * BLOCK_BYTES + state_files) as f64
    }

    /// Returns the limit on the reservations of all messages, in bytes.
    pub(super) fn pending(&self) -> u64 {
        (self.available_bytes() * PENDING_SHARE) as u64
    }

    /// Returns the size up to which the journal accepts messages, in bytes. Also the limit of a compacted journal.
    pub(super) fn accepting(&self) -> u64 {
        (self.available_bytes() * ACCEPTING_SHARE) as u64
    }

    /// Returns the size up to which the journal accepts all other records, in bytes.
    pub(super) fn usable(&self) -> u64 {
        (self.available_bytes() * USABLE_SHARE) as u64
    }
}

/// Returns the size in bytes up to which changes are appended to a state file of `size` bytes.
pub(super) fn state_file_limit(size: u64) -> u64 {
    size + size / STATE_FILE_GROWTH_DIVISOR + STATE_FILE_GROWTH_BYTES
}

/// Returns the bytes to reserve for a pending message. The records of at most two attempts are counted: a compacted journal
/// combines all ended attempts, and has the one in flight. The deduplication record of a complete message replaces them.
pub(super) fn reserved_bytes(name: &str, origin: &str, idempotency_key: &str, body: usize) -> u64 {
    let texts = (name.len() + idempotency_key.len() + origin.len() + body) as u64;
    let attempts_or_deduplication = deduplicated_bytes(name, idempotency_key).max(2 * ATTEMPT_RECORDS_BYTES);
    texts + ACCEPTED_RECORD_BYTES + COMPLETION_RECORDS_BYTES + attempts_or_deduplication
}

/// Returns the bytes to reserve for an entry of the deduplication cache.
pub(super) fn deduplicated_bytes(name: &str, idempotency_key: &str) -> u64 {
    (name.len() + idempotency_key.len()) as u64 + DEDUPLICATED_RECORD_BYTES
}
