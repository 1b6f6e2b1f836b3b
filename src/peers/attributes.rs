//! What this member publishes about itself in the fleet's view.
use super::LocalChanges;
use crate::fleet::gossip::FleetHandle;
use crate::fleet::wire::{Attributes, MAX_TEXT_BYTES};
use crate::settings::Config;

/// The attributes with which this member starts. `started` is in seconds since 1970.
pub fn at_start(config: &Config, list_version: u64, started: u64) -> Attributes {
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

/// Publishes the attributes, and again each time that one has changed.
pub async fn publish_changes(fleet: FleetHandle, mut attributes: Attributes, mut changes: LocalChanges) {
    // The digest is an exclusive or, so a new discovery address replaces its part and leaves the rest: all other settings
    // stay until a restart.
    let other_settings =
        attributes.settings_digest ^ address_digest(&changes.discovery_address.borrow_and_update());
    loop {
        attributes.list_version = *changes.list_version.borrow_and_update();
        fleet.publish_attributes(attributes.clone()).await;
        tokio::select! {
            Ok(()) = changes.list_version.changed() => {}
            Ok(()) = changes.discovery_address.changed() => {
                let address = address_digest(&changes.discovery_address.borrow_and_update());
                attributes.settings_digest = other_settings ^ address;
                attributes.settings_epoch += 1;
            }
            else => return,
        }
    }
}

fn address_digest(address: &str) -> u64 {
    u64::from(crc32fast::hash(address.as_bytes()))
}

/// Shortens a text to at most `max` bytes, at the end of a character.
fn truncate(text: &mut String, max: usize) {
    let end = (0..=max.min(text.len())).rfind(|end| text.is_char_boundary(*end));
    text.truncate(end.unwrap_or(0));
}
