//! Publishes this member's attributes to the fleet.
use super::LocalChanges;
use crate::fleet::gossip::FleetHandle;
use crate::fleet::wire::{Attributes, MAX_TEXT_BYTES};
use crate::settings::Config;

/// Returns the attributes of this member at its start. `started` is in seconds since the Unix epoch.
pub fn initial(config: &Config, list_version: u64, started: u64) -> Attributes {
    let mut zone = config.deployment.zones.get(config.deployment.module.zone).cloned().unwrap_or_default();
    truncate(&mut zone, MAX_TEXT_BYTES);
    Attributes {
        zone,
        version: env!("CARGO_PKG_VERSION").into(),
        settings_digest: config.digest() ^ address_digest(&config.discovery),
        settings_epoch: 1,
        list_version,
        started,
        ..Attributes::default()
    }
}

/// Publishes the attributes now and after each change.
pub async fn publish_changes(fleet: FleetHandle, mut attributes: Attributes, mut changes: LocalChanges) {
    // The published digest is the XOR of the address digest and the digest of all other settings, which are fixed until a
    // restart. A new discovery address changes only the address digest.
    let other_settings_digest =
        attributes.settings_digest ^ address_digest(&changes.discovery_address.borrow_and_update());
    loop {
        attributes.list_version = *changes.list_version.borrow_and_update();
        fleet.publish_attributes(attributes.clone()).await;
        tokio::select! {
            Ok(()) = changes.list_version.changed() => {}
            Ok(()) = changes.discovery_address.changed() => {
                let address_digest = address_digest(&changes.discovery_address.borrow_and_update());
                attributes.settings_digest = other_settings_digest ^ address_digest;
                attributes.settings_epoch += 1;
            }
            else => return,
        }
    }
}

fn address_digest(address: &str) -> u64 {
    u64::from(crc32fast::hash(address.as_bytes()))
}

/// Truncates a text to at most `max_bytes` bytes, at a character boundary.
fn truncate(text: &mut String, max_bytes: usize) {
    let end = (0..=max_bytes.min(text.len())).rfind(|end| text.is_char_boundary(*end));
    text.truncate(end.unwrap_or(0));
}
