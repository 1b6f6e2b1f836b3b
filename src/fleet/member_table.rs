//! The table behind the view: for each member its last known incarnation, what it published, how old that is, and whether
//! it is present. Bounded. Its digest is one number for all of it, kept up to date with each change. Pure.
use super::fault_injection::{is_injected, Defect};
use super::member::{Member, MAX_MEMBERS};
use super::wire::{Attributes, Record, DIGEST_BUCKETS};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Entries of departed members, in addition to as many of present ones.
pub const MAX_DEPARTED: usize = MAX_MEMBERS;
/// Most records in answer to one comparison.
const MAX_RECORDS_PER_COMPARISON: usize = 256;

/// What is known of one member. Times are of this member's clock.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its last known incarnation.
    pub member: Member,
    /// How often it has published its attributes in this incarnation.
    pub revision: u32,
    /// What it published, where that is known.
    pub attributes: Option<Attributes>,
    /// When it published that.
    pub published_at: Duration,
    /// It has left or was declared dead.
    pub departed: bool,
    /// When it became present or departed.
    pub state_since: Duration,
    /// When a datagram of its own last came.
    pub last_contact: Option<Duration>,
    /// It has presented a valid certificate in this incarnation. Members that have not do not count.
    pub authenticated: bool,
    /// Hash of what is the same in all views that agree: address, incarnation, revision and name.
    hash: u64,
    /// The bucket that its hash belongs to, by address.
    bucket: usize,
}

impl MemberEntry {
    fn new(member: Member, now: Duration) -> MemberEntry {
        let mut entry = MemberEntry {
            member,
            revision: 0,
            attributes: None,
            published_at: now,
            departed: false,
            state_since: now,
            last_contact: None,
            authenticated: false,
            hash: 0,
            bucket: 0,
        };
        entry.update_hash();
        entry
    }

    fn update_hash(&mut self) {
        let address = self.member.address.to_string();
        let content = Sha256::new()
            .chain_update(&address)
            .chain_update(self.member.incarnation.to_be_bytes())
            .chain_update(u64::from(self.revision).to_be_bytes())
            .chain_update(&self.member.name);
        self.hash = leading_u64(&content.finalize());
        self.bucket = leading_u64(&Sha256::digest(&address)) as usize % DIGEST_BUCKETS;
    }

    /// Whether it announced that it leaves before it departed.
    pub fn left_gracefully(&self) -> bool {
        self.departed && self.attributes.as_ref().is_some_and(|a| a.draining)
    }

    /// The entry as it is sent to others.
    pub fn to_record(&self, now: Duration) -> Record {
        let age_millis = now.saturating_sub(self.published_at).as_millis();
        Record {
            member: self.member.clone(),
            revision: self.revision,
            age_millis: u32::try_from(age_millis).unwrap_or(u32::MAX),
            departed: self.departed,
            attributes: self.attributes.clone(),
        }
    }
}

/// The first eight bytes of a hash as a number.
fn leading_u64(hash: &[u8]) -> u64 {
    hash.iter().take(8).fold(0u64, |number, byte| number << 8 | u64::from(*byte))
}

/// All members by address, this one included.
pub struct MemberTable {
    local: SocketAddr,
    entries: BTreeMap<SocketAddr, MemberEntry>,
    /// XOR of the hashes of the present members, for all and by bucket.
    digest: u64,
    bucket_digests: Vec<u64>,
    departed_count: usize,
    change_count: u64,
}

impl MemberTable {
    /// This member alone.
    pub fn new(local: Member, now: Duration) -> MemberTable {
        let address = local.address;
        let mut table = MemberTable {
            local: address,
            entries: BTreeMap::new(),
            digest: 0,
            bucket_digests: vec![0; DIGEST_BUCKETS],
            departed_count: 0,
            change_count: 1,
        };
        table.insert_entry(MemberEntry::new(local, now));
        table
    }

    /// Takes an entry out of the table, and its hash out of the digests.
    fn remove_entry(&mut self, address: SocketAddr) -> Option<MemberEntry> {
        let entry = self.entries.remove(&address)?;
        self.toggle_hash(&entry);
        self.departed_count -= usize::from(entry.departed);
        Some(entry)
    }

    /// Puts an entry into the table, in place of one that was taken out, and its hash into the digests.
    fn insert_entry(&mut self, entry: MemberEntry) {
        self.toggle_hash(&entry);
        self.departed_count += usize::from(entry.departed);
        self.entries.insert(entry.member.address, entry);
        self.change_count += 1;
    }

    /// Adds the hash of a present member to the digests, or removes it: XOR does either.
    fn toggle_hash(&mut self, entry: &MemberEntry) {
        if !entry.departed {
            self.digest ^= entry.hash;
            self.bucket_digests[entry.bucket] ^= entry.hash;
        }
    }

    /// This member's own entry.
    pub fn local_entry(&self) -> &MemberEntry {
        &self.entries[&self.local]
    }

    /// Publishes this member's attributes, under its own next revision or above one that others have seen.
    pub fn publish(&mut self, now: Duration, local: &Member, attributes: Attributes, above_revision: u32) {
        let mut entry = match self.remove_entry(self.local) {
            Some(mut entry) if entry.member == *local => {
                entry.revision = entry.revision.max(above_revision);
                entry
            }
            // A new incarnation begins with no revision.
            _ => MemberEntry::new(local.clone(), now),
        };
        entry.revision = entry.revision.saturating_add(1);
        entry.attributes = Some(attributes);
        entry.published_at = now;
        entry.update_hash();
        self.insert_entry(entry);
    }

    /// A member is present, perhaps in another incarnation.
    pub fn mark_present(&mut self, now: Duration, member: &Member) {
        let entry = match self.remove_entry(member.address) {
            Some(entry) if entry.member == *member && !entry.departed => entry,
            previous => new_incarnation(previous, member, now),
        };
        self.insert_entry(entry);
    }

    /// An incarnation has departed, and with it all earlier ones. Of departed members the most recent ones are kept.
    pub fn mark_departed(&mut self, now: Duration, member: &Member) {
        let is_new_departure = self.entries.get(&member.address).is_some_and(|entry| {
            entry.member == *member && !entry.departed || entry.member.incarnation < member.incarnation
        });
        if is_new_departure {
            let mut entry = match self.remove_entry(member.address) {
                Some(entry) if entry.member == *member => entry,
                previous => new_incarnation(previous, member, now),
            };
            entry.departed = true;
            entry.state_since = now;
            self.insert_entry(entry);
        }
        if self.departed_count > MAX_DEPARTED {
            let oldest = self.departed().min_by_key(|e| e.state_since).map(|e| e.member.address);
            if let Some(address) = oldest {
                self.remove(address);
            }
        }
    }

    /// Takes in another member's record of a third. Returns whether it was newer than what was known, and so is worth
    /// passing on.
    pub fn apply_record(&mut self, now: Duration, record: &Record) -> bool {
        let address = record.member.address;
        if address == self.local || record.attributes.is_none() {
            return false;
        }
        let is_newer = self.entries.get(&address).is_some_and(|entry| {
            entry.member == record.member
                && (entry.revision < record.revision || is_injected(Defect::OldRecordsAccepted))
        });
        if !is_newer {
            return false;
        }
        let Some(mut entry) = self.remove_entry(address) else { return false };
        entry.revision = record.revision;
        entry.attributes.clone_from(&record.attributes);
        entry.published_at = now.saturating_sub(Duration::from_millis(u64::from(record.age_millis)));
        entry.update_hash();
        self.insert_entry(entry);
        true
    }

    /// A datagram of the member's own came.
    pub fn mark_contact(&mut self, now: Duration, from: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&from) {
            entry.last_contact = Some(now);
        }
    }

    /// A member has presented a valid certificate in this incarnation. Ignored where another one is known.
    pub fn mark_authenticated(&mut self, member: &Member) {
        let Some(entry) = self.entries.get_mut(&member.address) else { return };
        // Peers connect again and again: only the first time is a change.
        if entry.member == *member && !entry.departed && !entry.authenticated {
            entry.authenticated = true;
            self.change_count += 1;
        }
    }

    /// Rises with each change of who is present, authenticated, or has published what.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// The entry at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&MemberEntry> {
        self.entries.get(&address)
    }

    /// The entry at an address, if the member there is present.
    pub fn get_present(&self, address: SocketAddr) -> Option<&MemberEntry> {
        self.get(address).filter(|entry| !entry.departed)
    }

    /// All entries, by address.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Present members, this one included.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(|entry| !entry.departed)
    }

    /// Departed members.
    pub fn departed(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(|entry| entry.departed)
    }

    /// Removes an entry.
    pub fn remove(&mut self, address: SocketAddr) {
        self.remove_entry(address);
        self.change_count += 1;
    }

    /// One number for who is present, in which incarnation, with which revision of its attributes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest by buckets.
    pub fn bucket_digests(&self) -> &[u64] {
        &self.bucket_digests
    }

    /// Records of the buckets in which another view differs, by bucket from `first_bucket` on. Callers vary that one, so
    /// that an answer which was cut short is followed by a different one.
    pub fn differing_records(
        &self, now: Duration, other_digests: &[u64], first_bucket: usize,
    ) -> Vec<Record> {
        let mut entries: Vec<&MemberEntry> = self
            .entries
            .values()
            .filter(|entry| self.bucket_digests[entry.bucket] != other_digests[entry.bucket])
            .collect();
        entries.sort_by_key(|entry| (entry.bucket + DIGEST_BUCKETS - first_bucket) % DIGEST_BUCKETS);
        entries.into_iter().take(MAX_RECORDS_PER_COMPARISON).map(|entry| entry.to_record(now)).collect()
    }
}

/// An entry for an incarnation that was not known. When the address was last heard is kept.
fn new_incarnation(previous: Option<MemberEntry>, member: &Member, now: Duration) -> MemberEntry {
    let mut entry = MemberEntry::new(member.clone(), now);
    entry.last_contact = previous.and_then(|p| p.last_contact);
    entry
}

#[cfg(test)]
mod tests;
