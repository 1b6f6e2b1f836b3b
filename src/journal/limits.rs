//! How much of the lasting folder the journal uses, and what for. Journal and compacted journal lie side by side during a
//! compaction: `USABLE` and `ACCEPTING` together stay under the whole, whatever has failed before.

/// Share of the folder that pending messages may take, and so may the compacted journal. The distance to `ACCEPTING` is
/// the least that each compaction gains.
const PENDING: f64 = 0.4;
/// Beyond this share the journal is compacted before it accepts another message.
const ACCEPTING: f64 = 0.45;
/// The share above `ACCEPTING` is reserved for accepted messages: their attempts, outcomes and completions, for the time
/// when the journal cannot be compacted.
const USABLE: f64 = 0.52;

/// File systems count each file in whole blocks of so many bytes.
const BLOCK: u64 = 512;
/// The journal, the compacted journal that replaces it, and the three files of a takeover.
const FILES: u64 = 5;

/// Bytes of an accepted message's record beside its texts and body.
const ACCEPTED_RECORD: u64 = 76;
/// Bytes of an attempt's records: its start and its outcome.
const ATTEMPT_RECORDS: u64 = 52;
/// Bytes of the records of a completion and of its acknowledged callback.
const COMPLETION_RECORDS: u64 = 52;
/// Bytes of an entry of the deduplication cache beside its texts.
const DEDUPLICATED_RECORD: u64 = 28;

/// The sizes that follow from the capacity of the folder, in bytes.
pub(super) struct Limits {
    /// Bytes of the folder that the contents of the journal's files may take together.
    usable_folder: f64,
}

impl Limits {
    /// For a folder that may hold `capacity` bytes.
    pub(super) fn new(capacity: u64) -> Limits {
        Limits { usable_folder: capacity.saturating_sub(FILES * BLOCK) as f64 }
    }

    /// What pending messages may take.
    pub(super) fn pending(&self) -> u64 {
        (self.usable_folder * PENDING) as u64
    }

    /// Up to which size the journal accepts messages; also the limit of a compacted journal.
    pub(super) fn accepting(&self) -> u64 {
        (self.usable_folder * ACCEPTING) as u64
    }

    /// Up to which size the journal takes any other record.
    pub(super) fn usable(&self) -> u64 {
        (self.usable_folder * USABLE) as u64
    }
}

/// What is reserved for a pending message. A compacted journal has one record for all attempts that are over; and a
/// completed message's entry in the deduplication cache takes the place of its attempts.
pub(super) fn reserved_bytes(name: &str, origin: &str, idempotency_key: &str, body: usize) -> u64 {
    let texts = (name.len() + idempotency_key.len() + origin.len() + body) as u64;
    let attempts_or_entry = deduplicated_bytes(name, idempotency_key).max(2 * ATTEMPT_RECORDS);
    texts + ACCEPTED_RECORD + COMPLETION_RECORDS + attempts_or_entry
}

/// What is reserved for an entry of the deduplication cache.
pub(super) fn deduplicated_bytes(name: &str, idempotency_key: &str) -> u64 {
    (name.len() + idempotency_key.len()) as u64 + DEDUPLICATED_RECORD
}
