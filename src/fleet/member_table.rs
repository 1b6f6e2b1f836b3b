//! The table behind the view: a row for each member, with what it wrote of itself, how old that is, and what became of
//! it. Bounded; its digest is one number for all of it. Pure.
use super::fault_injection::broken;
use super::member::{Member, MAX_MEMBERS};
use super::wire::{Attributes, Record, PARTS};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Rows of those that are gone, beside as many of those that are there.
pub const GONE_MOST: usize = MAX_MEMBERS;

/// Records of one answer.
const TOLD_MOST: usize = 256;

/// What is known of one member. Times are of this member's clock.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its last known life.
    pub of: Member,
    /// How often it has written its facts.
    pub count: u32,
    /// What it wrote, and when that was.
    pub facts: Option<Attributes>,
    pub written: Duration,
    /// It is there no more.
    pub gone: bool,
    /// Since when it is there, or is there no more.
    pub since: Duration,
    /// When it last spoke itself.
    pub heard: Option<Duration>,
    /// It has shown a certificate in this life: only then it counts.
    pub shown: bool,
    /// Hash of what must be the same in all views, and the part to which it belongs.
    sum: u64,
    part: usize,
}

impl Row {
    fn new(of: Member, now: Duration) -> Row {
        let mut row = Row {
            of,
            count: 0,
            facts: None,
            written: now,
            gone: false,
            since: now,
            heard: None,
            shown: false,
            sum: 0,
            part: 0,
        };
        row.reckon();
        row
    }

    fn reckon(&mut self) {
        let eight = |hash: &[u8]| hash.iter().take(8).fold(0u64, |all, byte| all << 8 | u64::from(*byte));
        let address = self.of.address.to_string();
        let numbers = [self.of.incarnation.to_be_bytes(), u64::from(self.count).to_be_bytes()].concat();
        let all = Sha256::new().chain_update(&address).chain_update(numbers).chain_update(&self.of.name);
        self.sum = eight(&all.finalize());
        self.part = eight(&Sha256::digest(&address)) as usize % PARTS;
    }

    /// It said that it goes, before it went.
    pub fn left(&self) -> bool {
        self.gone && self.facts.as_ref().is_some_and(|f| f.draining)
    }

    /// As it is told to others.
    pub fn record(&self, now: Duration) -> Record {
        let age = now.saturating_sub(self.written).as_millis().min(u128::from(u32::MAX)) as u32;
        Record { of: self.of.clone(), count: self.count, age, gone: self.gone, facts: self.facts.clone() }
    }
}

/// All rows, this member's own among them.
pub struct Rows {
    me: SocketAddr,
    rows: BTreeMap<SocketAddr, Row>,
    /// Sums of the rows that are there, all together and by parts; kept with each change of a row.
    digest: u64,
    parts: Vec<u64>,
    gone: usize,
    changes: u64,
}

impl Rows {
    /// This member alone.
    pub fn new(me: Member, now: Duration) -> Rows {
        let at = me.address;
        let mut rows =
            Rows { me: at, rows: BTreeMap::new(), digest: 0, parts: vec![0; PARTS], gone: 0, changes: 1 };
        rows.change(at, |_| Some(Row::new(me, now)));
        rows
    }

    /// All changes of a row go through here; without one that is known, `change` is given none.
    fn change(&mut self, at: SocketAddr, change: impl FnOnce(Option<Row>) -> Option<Row>) {
        let before = self.rows.remove(&at);
        self.count(before.as_ref());
        if let Some(row) = &before {
            self.gone -= usize::from(row.gone);
        }
        let after = change(before);
        self.count(after.as_ref());
        if let Some(row) = after {
            self.gone += usize::from(row.gone);
            self.rows.insert(at, row);
        }
        self.changes += 1;
    }

    /// In and out are the same.
    fn count(&mut self, row: Option<&Row>) {
        if let Some(row) = row.filter(|r| !r.gone) {
            self.digest ^= row.sum;
            self.parts[row.part] ^= row.sum;
        }
    }

    /// This member's own row.
    pub fn own(&self) -> &Row {
        &self.rows[&self.me]
    }

    /// This member writes its facts, perhaps in a later life; a count that others have seen is passed over.
    pub fn write(&mut self, now: Duration, me: &Member, facts: Attributes, above: u32) {
        self.change(self.me, |own| {
            let own = own.filter(|r| r.of == *me);
            let count = own.as_ref().map_or(0, |r| r.count.max(above)).saturating_add(1);
            let mut row = own.unwrap_or_else(|| Row::new(me.clone(), now));
            (row.count, row.facts, row.written) = (count, Some(facts), now);
            row.reckon();
            Some(row)
        });
    }

    /// One is there, perhaps in another life.
    pub fn up(&mut self, now: Duration, of: &Member) {
        self.change(of.address, |row| {
            let heard = row.as_ref().and_then(|r| r.heard);
            let row = row.filter(|r| r.of == *of && !r.gone);
            Some(row.unwrap_or_else(|| Row { heard, ..Row::new(of.clone(), now) }))
        });
    }

    /// A life of one is over, and with it all that were before. Of those that are gone the last are kept.
    pub fn down(&mut self, now: Duration, of: &Member) {
        let over = |r: &Row| r.of == *of && !r.gone || r.of.incarnation < of.incarnation;
        if self.rows.get(&of.address).is_some_and(over) {
            self.change(of.address, |row| {
                let heard = row.as_ref().and_then(|r| r.heard);
                let row = row.filter(|r| r.of == *of);
                let row = row.unwrap_or_else(|| Row { heard, ..Row::new(of.clone(), now) });
                Some(Row { gone: true, since: now, ..row })
            });
        }
        if self.gone > GONE_MOST {
            let oldest = self.gone().min_by_key(|r| r.since).map(|r| r.of.address);
            oldest.into_iter().for_each(|a| self.forget(a));
        }
    }

    /// Takes in what is told of one; says whether it was newer: worth passing on.
    pub fn take(&mut self, now: Duration, record: &Record) -> bool {
        let older =
            |r: &&Row| r.of == record.of && (r.count < record.count || broken("older facts are taken"));
        if record.of.address == self.me
            || record.facts.is_none()
            || self.rows.get(&record.of.address).filter(older).is_none()
        {
            return false;
        }
        let written = now.saturating_sub(Duration::from_millis(u64::from(record.age)));
        self.change(record.of.address, |row| {
            let mut row = Row { count: record.count, facts: record.facts.clone(), written, ..row? };
            row.reckon();
            Some(row)
        });
        true
    }

    /// It spoke itself.
    pub fn heard(&mut self, now: Duration, from: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&from) {
            row.heard = Some(now);
        }
    }

    /// It has shown a certificate on a connection, in the life named; nothing where that is not the one known.
    pub fn shown(&mut self, who: &Member) {
        // Neighbours that learn connect again and again: only the first time is a change.
        let row = self.rows.get_mut(&who.address).filter(|r| r.of == *who && !r.gone && !r.shown);
        if let Some(row) = row {
            row.shown = true;
            self.changes += 1;
        }
    }

    /// Rises with each change of who is there, counts, or has written what.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The row of an address.
    pub fn get(&self, at: SocketAddr) -> Option<&Row> {
        self.rows.get(&at)
    }

    /// All rows, by address.
    pub fn all(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Those that are there, this one included.
    pub fn there(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|r| !r.gone)
    }

    /// Those that are gone.
    pub fn gone(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|r| r.gone)
    }

    /// A row that is gone and not to be kept any longer.
    pub fn forget(&mut self, at: SocketAddr) {
        self.change(at, |_| None);
    }

    /// One number for who is there, in which life, and which facts of theirs are known.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The same by parts.
    pub fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// What is to be told of the parts in which another view differs, from a place on that moves on each time: a long
    /// answer that is cut short is another one next time.
    pub fn differing(&self, now: Duration, sums: &[u64], from: usize) -> Vec<Record> {
        let mut rows: Vec<&Row> = self.rows.values().filter(|r| self.parts[r.part] != sums[r.part]).collect();
        rows.sort_by_key(|r| (r.part + PARTS - from) % PARTS);
        rows.into_iter().take(TOLD_MOST).map(|row| row.record(now)).collect()
    }
}

#[cfg(test)]
mod tests;
