//! A digest of the settings that all forwarders of a deployment share, by which peers notice that theirs differ.
use sha2::{Digest, Sha256};
use std::path::Path;

/// The first 8 bytes of the SHA-256 of the file's `settings`, big-endian. The order and layout of the keys do not
/// matter. Returns 0 if the file can no longer be read: a digest only serves comparisons, so it must not stop a start.
pub(super) fn deployment_digest(path: &Path) -> u64 {
    let Ok(text) = std::fs::read_to_string(path) else { return 0 };
    let Ok(file) = serde_json::from_str::<serde_json::Value>(&text) else { return 0 };
    let Some(settings) = file.get("settings") else { return 0 };
    // serde_json keeps the keys of an object sorted, so equal settings have equal texts.
    let hash = Sha256::digest(settings.to_string());
    hash.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}
