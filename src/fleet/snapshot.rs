//! What of the fleet outlasts a process: the number of this life, and who was there. So a fleet that restarts whole finds
//! itself again though its seeds stay dead, and a clock that jumps makes nobody an earlier life of itself.
//!
//! One small file in the lasting folder, put in place in one step. It goes behind the journal: it keeps within the share
//! that the journal never uses, and where it cannot be written, the view is forgotten and nothing else happens.
use super::member::Member;
use crate::journal::Disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

const NAME: &str = "fleet";
const FRESH: &str = "fleet.new";
/// Raised with each form of the file that an older program cannot read.
const FORM: u8 = 2;
/// The form before it knew no agreed fleet; its life and those seen are taken over.
const FORM_BEFORE: u8 = 1;
/// Share of the folder for the file; while it is written there are two of it. The journal leaves three hundredths.
const SHARE: f64 = 0.01;
/// No larger than this, however large the folder is, in bytes: some thousand members.
const MOST: u64 = 64 * 1024;
/// Files count in whole blocks of so many bytes.
const BLOCK: u64 = 512;
/// Who has not been there for so long is forgotten, in seconds. A clock that is an hour off changes nothing by that.
const AGE_MOST: u64 = 7 * 86_400;

/// A member that was there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// Its name.
    pub name: String,
    /// Where it was told to be.
    pub address: SocketAddr,
    /// When it was there last, in seconds since 1970 by this machine's clock.
    pub at: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct Page {
    life: u64,
    /// The one that was there last stands first.
    seen: Vec<KnownMember>,
    /// Names of the fleet as this member last agreed on it; none after it has said goodbye.
    agreed: BTreeSet<String>,
}

#[derive(Deserialize)]
struct PageBefore {
    life: u64,
    seen: Vec<KnownMember>,
}

/// The file, and what it holds.
pub struct SnapshotStore {
    disk: Box<dyn Disk>,
    /// Bytes that it may take.
    most: u64,
    page: Page,
    /// It could not be written: said once.
    failing: bool,
}

impl SnapshotStore {
    /// Reads the file of a folder that may hold `most` bytes. One that is torn, altered or of another form is as none.
    pub fn open(disk: Box<dyn Disk>, most: u64) -> SnapshotStore {
        // What a kill cut short; the old file still stands.
        let _ = disk.remove(FRESH);
        let held = disk.read(NAME).unwrap_or_else(|e| {
            log::warn!("fleet: what was remembered cannot be read: {e}");
            None
        });
        let page = held.map(|bytes| {
            read(&bytes).unwrap_or_else(|| {
                log::warn!("fleet: what was remembered is not whole, and is passed over");
                Page::default()
            })
        });
        let most = ((most as f64 * SHARE) as u64 / BLOCK * BLOCK).min(MOST);
        SnapshotStore { disk, most, page: page.unwrap_or_default(), failing: false }
    }

    /// Begins a new life: one more than the last, and on disk before anybody hears of it. Without a last one it is
    /// `first`, which is to be above what an earlier life may have had whose folder was lost.
    pub fn begin_incarnation(&mut self, first: u64) -> u64 {
        self.page.life = if self.page.life == 0 { first.max(1) } else { self.page.life + 1 };
        self.write();
        self.page.life
    }

    /// Those that were there, the last one first.
    pub fn known_members(&self) -> &[KnownMember] {
        &self.page.seen
    }

    /// Its life has risen while it runs: others knew a later one. Later starts go on from there.
    pub fn raise_incarnation(&mut self, life: u64) {
        if life > self.page.life {
            self.page.life = life;
            self.write();
        }
    }

    /// The fleet as it was last agreed.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        &self.page.agreed
    }

    /// Takes down who is there now, and the fleet last agreed. Whoever was there before stays known for a while: it may
    /// come back.
    pub fn record(&mut self, there: &[Member], agreed: &BTreeSet<String>, now: u64) {
        let fresh = there.iter().map(|m| KnownMember { name: m.name.clone(), address: m.address, at: now });
        let mut seen: Vec<KnownMember> = fresh.collect();
        let gone = |s: &KnownMember| !there.iter().any(|m| m.address == s.address);
        // One that is ahead of the clock was written before the clock was set back: it counts as of now.
        let kept = self.page.seen.iter().filter(|s| gone(s) && now.saturating_sub(s.at) < AGE_MOST);
        seen.extend(kept.map(|s| KnownMember { at: s.at.min(now), ..s.clone() }));
        (self.page.seen, self.page.agreed) = (seen, agreed.clone());
        self.write();
    }

    fn write(&mut self) {
        let mut bytes = text(&self.page);
        while bytes.len() as u64 > self.most && !self.page.seen.is_empty() {
            // The oldest go, a part at a time: what is left stands for the rest.
            self.page.seen.truncate(self.page.seen.len() * 9 / 10);
            bytes = text(&self.page);
        }
        if bytes.len() as u64 > self.most {
            // Without the agreed fleet it knows itself on no side; a part of it would be another fleet.
            bytes = text(&Page { life: self.page.life, ..Page::default() });
        }
        if bytes.len() as u64 > self.most {
            return;
        }
        let done = self.replace(&bytes);
        if let (Err(e), false) = (&done, self.failing) {
            log::warn!("fleet: the view is not remembered: {e}");
        }
        self.failing = done.is_err();
    }

    fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        self.disk.create(FRESH)?.append(bytes).inspect_err(|_| {
            // Its half would take room that the journal may need.
            let _ = self.disk.remove(FRESH);
        })?;
        self.disk.rename(FRESH, NAME)
    }
}

/// Form, checksum, page.
fn text(page: &Page) -> Vec<u8> {
    let body = postcard::to_stdvec(page).unwrap_or_default();
    [&[FORM][..], &crc32fast::hash(&body).to_le_bytes(), &body].concat()
}

fn read(bytes: &[u8]) -> Option<Page> {
    let (head, body) = bytes.split_at_checked(5)?;
    let sum = u32::from_le_bytes(head[1..].try_into().ok()?);
    let whole = crc32fast::hash(body) == sum;
    match head[0] {
        FORM if whole => postcard::from_bytes(body).ok(),
        FORM_BEFORE if whole => postcard::from_bytes(body).ok().map(|PageBefore { life, seen }| Page {
            life,
            seen,
            agreed: BTreeSet::new(),
        }),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
