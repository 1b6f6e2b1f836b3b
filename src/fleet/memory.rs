//! What of the fleet outlasts a process: the number of this life, and who was there. So a fleet that restarts whole finds
//! itself again though its seeds stay dead, and a clock that jumps makes nobody an earlier life of itself.
//!
//! One small file in the lasting folder, put in place in one step. It goes behind the journal: it keeps within the share
//! that the journal never uses, and where it cannot be written, the view is forgotten and nothing else happens.
use super::members::Member;
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
pub struct Seen {
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
    seen: Vec<Seen>,
    /// Names of the fleet as this member last agreed on it; none after it has said goodbye.
    agreed: BTreeSet<String>,
}

#[derive(Deserialize)]
struct PageBefore {
    life: u64,
    seen: Vec<Seen>,
}

/// The file, and what it holds.
pub struct Memory {
    disk: Box<dyn Disk>,
    /// Bytes that it may take.
    most: u64,
    page: Page,
    /// It could not be written: said once.
    failing: bool,
}

impl Memory {
    /// Reads the file of a folder that may hold `most` bytes. One that is torn, altered or of another form is as none.
    pub fn open(disk: Box<dyn Disk>, most: u64) -> Memory {
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
        Memory { disk, most, page: page.unwrap_or_default(), failing: false }
    }

    /// Begins a new life: one more than the last, and on disk before anybody hears of it. Without a last one it is
    /// `first`, which is to be above what an earlier life may have had whose folder was lost.
    pub fn begin(&mut self, first: u64) -> u64 {
        self.page.life = if self.page.life == 0 { first.max(1) } else { self.page.life + 1 };
        self.write();
        self.page.life
    }

    /// Those that were there, the last one first.
    pub fn seen(&self) -> &[Seen] {
        &self.page.seen
    }

    /// Its life has risen while it runs: others knew a later one. Later starts go on from there.
    pub fn live(&mut self, life: u64) {
        if life > self.page.life {
            self.page.life = life;
            self.write();
        }
    }

    /// The fleet as it was last agreed.
    pub fn agreed(&self) -> &BTreeSet<String> {
        &self.page.agreed
    }

    /// Takes down who is there now, and the fleet last agreed. Whoever was there before stays known for a while: it may
    /// come back.
    pub fn note(&mut self, there: &[Member], agreed: &BTreeSet<String>, now: u64) {
        let fresh = there.iter().map(|m| Seen { name: m.name.clone(), address: m.address, at: now });
        let mut seen: Vec<Seen> = fresh.collect();
        let gone = |s: &Seen| !there.iter().any(|m| m.address == s.address);
        // One that is ahead of the clock was written before the clock was set back: it counts as of now.
        let kept = self.page.seen.iter().filter(|s| gone(s) && now.saturating_sub(s.at) < AGE_MOST);
        seen.extend(kept.map(|s| Seen { at: s.at.min(now), ..s.clone() }));
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
mod tests {
    use super::*;
    use crate::fleet::members::tests::member;
    use crate::journal::Folder;
    use rstest::rstest;
    use std::path::Path;

    fn open(at: &Path, most: u64) -> Memory {
        Memory::open(Box::new(Folder::open(at).expect("a folder")), most)
    }

    fn members(count: u16) -> Vec<Member> {
        (1..=count).map(|n| member(n, 1)).collect()
    }

    fn fleet() -> BTreeSet<String> {
        ["n0", "n1"].map(String::from).into()
    }

    /// A file of the program before this one.
    #[test]
    fn the_form_before_is_read() {
        let folder = tempfile::tempdir().expect("a folder");
        let seen = vec![Seen { name: "n1".into(), address: member(1, 1).address, at: 9 }];
        let body = postcard::to_stdvec(&(41u64, &seen)).expect("bytes");
        let bytes = [&[FORM_BEFORE][..], &crc32fast::hash(&body).to_le_bytes(), &body].concat();
        std::fs::write(folder.path().join(NAME), bytes).expect("written");
        let mut memory = open(folder.path(), 3_000_000);
        assert_eq!((memory.seen(), memory.agreed().len()), (&seen[..], 0));
        assert_eq!(memory.begin(7), 42);
    }

    #[test]
    fn the_agreed_fleet_and_a_life_that_rose_are_there_after_a_restart() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut memory = open(folder.path(), 3_000_000);
        memory.begin(7);
        memory.note(&members(1), &fleet(), 1);
        memory.live(90);
        memory.live(5);
        let mut memory = open(folder.path(), 3_000_000);
        assert_eq!(memory.agreed(), &fleet());
        assert_eq!(memory.begin(1), 91);
    }

    #[test]
    fn lives_rise_whatever_the_clock_says_and_who_was_there_stays_known() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut memory = open(folder.path(), 3_000_000);
        assert_eq!(memory.begin(5000), 5000);
        memory.note(&members(3), &fleet(), 1_000_000);
        let mut memory = open(folder.path(), 3_000_000);
        assert_eq!(memory.begin(10), 5001, "an earlier clock");
        assert_eq!(memory.seen().len(), 3);
        // Only one is there now, and the clock is an hour behind: the others stay known.
        memory.note(&members(1), &fleet(), 1_000_000 - 3600);
        assert_eq!(open(folder.path(), 3_000_000).seen().len(), 3);
        memory.note(&members(1), &fleet(), 1_000_000 + AGE_MOST);
        assert_eq!(open(folder.path(), 3_000_000).seen().len(), 1, "forgotten by age");
    }

    #[rstest]
    #[case::torn(|b: &mut Vec<u8>| b.truncate(b.len() - 1))]
    #[case::altered(|b: &mut Vec<u8>| b[9] ^= 1)]
    #[case::another_form(|b: &mut Vec<u8>| b[0] = 9)]
    #[case::empty(|b: &mut Vec<u8>| b.clear())]
    fn a_file_that_is_not_whole_is_as_none(#[case] spoil: fn(&mut Vec<u8>)) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut memory = open(folder.path(), 3_000_000);
        memory.begin(7);
        memory.note(&members(3), &fleet(), 1);
        let file = folder.path().join(NAME);
        let mut bytes = std::fs::read(&file).expect("it is there");
        spoil(&mut bytes);
        std::fs::write(&file, bytes).expect("written");
        let mut memory = open(folder.path(), 3_000_000);
        assert_eq!((memory.seen().len(), memory.begin(9)), (0, 9));
    }

    /// In a small folder it keeps the last ones, and within what the journal leaves; in none at all it keeps nothing.
    #[test]
    fn it_stays_within_its_share() {
        let folder = tempfile::tempdir().expect("a folder");
        for (most, share) in [(3_000_000, 29_696), (100_000, 512), (20_000, 0)] {
            let mut memory = open(folder.path(), most);
            memory.note(&members(2000), &BTreeSet::new(), 1);
            let size = std::fs::metadata(folder.path().join(NAME)).map_or(0, |m| m.len());
            assert!(size <= share, "{size} of {share} bytes");
            assert!(share == 0 || memory.seen().first().is_some_and(|s| s.name == "n1"));
            let _ = std::fs::remove_file(folder.path().join(NAME));
        }
    }
}
