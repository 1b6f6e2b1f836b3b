//! A digest of the settings that all forwarders of a deployment share, by which peers detect that theirs differ.
use sha2::{Digest, Sha256};
use std::path::Path;

/// Returns the first 8 bytes, big-endian, of the SHA-256 of the file's `settings`, independent of the order and layout of the
/// keys. Returns 0 if the file can no longer be read, because a digest that is only compared must not prevent a start.
pub(super) fn deployment_digest(path: &Path) -> u64 {
    let Ok(text) = std::fs::read_to_string(path) else { return 0 };
    let Ok(file) = serde_json::from_str::<serde_json::Value>(&text) else { return 0 };
    let Some(settings) = file.get("settings") else { return 0 };
    // serde_json keeps the keys of an object sorted, so equal settings have equal texts.
    let hash = Sha256::digest(settings.to_string());
    hash.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}
