//! The member table: for each member its last known incarnation, its published attributes and their age, and whether it is
//! present. The number of entries is bounded. A digest of the present members is updated with each change. Does no I/O.
use super::fault_injection::{is_injected, Defect};
use super::member::{Member, MAX_MEMBERS};
use super::wire::{Attributes, Record, DIGEST_BUCKETS};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of entries of departed members, in addition to up to `MAX_MEMBERS` present ones.
pub const MAX_DEPARTED: usize = MAX_MEMBERS;
/// Maximum number of records in the response to one comparison.
const MAX_RECORDS_PER_COMPARISON: usize = 256;

/// Everything that is known about one member. Times are by the clock of the local member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The member, in its last known incarnation.
    pub member: Member,
    /// How many times the member has published its attributes in this incarnation.
    pub revision: u32,
    /// The published attributes, if known.
    pub attributes: Option<Attributes>,
    /// When the member published its attributes.
    pub published_at: Duration,
    /// Whether the member has left or was declared dead.
    pub departed: bool,
    /// When the member became present or departed.
    pub state_since: Duration,
    /// When the last datagram sent by the member itself arrived.
    pub last_contact: Option<Duration>,
    /// Whether the member has presented a valid certificate in this incarnation. Only such members count for a majority.
    pub authenticated: bool,
    /// Hash of the fields on which all agreeing views are equal: address, incarnation, revision and name.
    hash: u64,
    /// Index of the digest bucket that the hash belongs to, derived from the address.
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

    /// Returns whether the member announced that it leaves before it departed.
    pub fn left_gracefully(&self) -> bool {
        self.departed && self.attributes.as_ref().is_some_and(|a| a.draining)
    }

    /// Converts the entry to a record, the form that is sent to other members.
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

/// Returns the first eight bytes of a hash as a big-endian number.
fn leading_u64(hash: &[u8]) -> u64 {
    hash.iter().take(8).fold(0u64, |number, byte| number << 8 | u64::from(*byte))
}

/// All known members by address, including the local one.
pub struct MemberTable {
    local_address: SocketAddr,
    entries: BTreeMap<SocketAddr, MemberEntry>,
    /// XOR of the hashes of all present members.
    digest: u64,
    /// XOR of the hashes of the present members, by bucket.
    bucket_digests: Vec<u64>,
    departed_count: usize,
    change_count: u64,
}

impl MemberTable {
    /// Creates a table that contains only the local member.
    pub fn new(local: Member, now: Duration) -> MemberTable {
        let mut table = MemberTable {
            local_address: local.address,
            entries: BTreeMap::new(),
            digest: 0,
            bucket_digests: vec![0; DIGEST_BUCKETS],
            departed_count: 0,
            change_count: 1,
        };
        table.insert_entry(MemberEntry::new(local, now));
        table
    }

    /// Removes an entry from the table, and its hash from the digests.
    fn remove_entry(&mut self, address: SocketAddr) -> Option<MemberEntry> {
        let entry = self.entries.remove(&address)?;
        self.toggle_hash(&entry);
        self.departed_count -= usize::from(entry.departed);
        Some(entry)
    }

    /// Inserts an entry into the table, and its hash into the digests. An entry at the same address must be removed first.
    fn insert_entry(&mut self, entry: MemberEntry) {
        self.toggle_hash(&entry);
        self.departed_count += usize::from(entry.departed);
        self.entries.insert(entry.member.address, entry);
        self.change_count += 1;
    }

    /// Adds the hash of a present member to the digests or removes it; both are the same XOR.
    fn toggle_hash(&mut self, entry: &MemberEntry) {
        if !entry.departed {
            self.digest ^= entry.hash;
            self.bucket_digests[entry.bucket] ^= entry.hash;
        }
    }

    /// Returns the entry of the local member.
    pub fn local_entry(&self) -> &MemberEntry {
        &self.entries[&self.local_address]
    }

    /// Publishes the attributes of the local member with a revision above both its last one and `above_revision`, a revision
    /// that other members have received.
    pub fn publish(&mut self, now: Duration, local: &Member, attributes: Attributes, above_revision: u32) {
        let mut entry = match self.remove_entry(self.local_address) {
            Some(mut entry) if entry.member == *local => {
                entry.revision = entry.revision.max(above_revision);
                entry
            }
            // A new incarnation starts at revision 0.
            _ => MemberEntry::new(local.clone(), now),
        };
        entry.revision = entry.revision.saturating_add(1);
        entry.attributes = Some(attributes);
        entry.published_at = now;
        entry.update_hash();
        self.insert_entry(entry);
    }

    /// Marks a member as present, possibly in another incarnation than before.
    pub fn mark_present(&mut self, now: Duration, member: &Member) {
        let entry = match self.remove_entry(member.address) {
            Some(entry) if entry.member == *member && !entry.departed => entry,
            previous => new_incarnation(previous, member, now),
        };
        self.insert_entry(entry);
    }

    /// Marks an incarnation and all lower ones of a member as departed. If there are too many departed members, the one that
    /// departed first is removed.
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

    /// Applies the attributes of a record received from another member. Returns whether they were newer than the known
    /// ones, and so are to be disseminated.
    pub fn apply_record(&mut self, now: Duration, record: &Record) -> bool {
        let address = record.member.address;
        if address == self.local_address || record.attributes.is_none() {
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

    /// Notes that a datagram sent by the member itself arrived.
    pub fn mark_contact(&mut self, now: Duration, from: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&from) {
            entry.last_contact = Some(now);
        }
    }

    /// Marks a member as authenticated: it has presented a valid certificate in this incarnation. Ignored if the table has
    /// another incarnation.
    pub fn mark_authenticated(&mut self, member: &Member) {
        let Some(entry) = self.entries.get_mut(&member.address) else { return };
        // Peers reconnect often; only the first authentication of an incarnation is a change.
        if entry.member == *member && !entry.departed && !entry.authenticated {
            entry.authenticated = true;
            self.change_count += 1;
        }
    }

    /// Returns a counter that increases whenever the presence, the authentication or the attributes of a member change.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the entry at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&MemberEntry> {
        self.entries.get(&address)
    }

    /// Returns the entry at an address if the member is present.
    pub fn get_present(&self, address: SocketAddr) -> Option<&MemberEntry> {
        self.get(address).filter(|entry| !entry.departed)
    }

    /// Returns all entries in order of address.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the entries of present members, including the local one.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(|entry| !entry.departed)
    }

    /// Returns the entries of departed members.
    pub fn departed(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(|entry| entry.departed)
    }

    /// Removes the entry at an address.
    pub fn remove(&mut self, address: SocketAddr) {
        self.remove_entry(address);
        self.change_count += 1;
    }

    /// Returns the digest of the present members, their incarnations and the revisions of their attributes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of each bucket.
    pub fn bucket_digests(&self) -> &[u64] {
        &self.bucket_digests
    }

    /// Returns the records of the buckets whose digests differ from `other_digests`, in order of bucket from `first_bucket`
    /// on. Callers vary `first_bucket`, so that successive truncated responses contain different records.
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

/// Creates the entry of an incarnation that was not known. It keeps the last contact with the address.
fn new_incarnation(previous: Option<MemberEntry>, member: &Member, now: Duration) -> MemberEntry {
    let mut entry = MemberEntry::new(member.clone(), now);
    entry.last_contact = previous.and_then(|p| p.last_contact);
    entry
}

#[cfg(test)]
mod tests;
