//! The journal: a checksummed append log in the lasting folder, from which a restart learns what is still owed.
//! It keeps records; what they mean is the core's.
mod disk;

use bytes::Bytes;
pub use disk::{open_disk, Disk, FileWriter, Folder};
use std::io;
use std::path::Path;

/// One line of the log. Times are Unix nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Taken on, in the order of these records.
    Accepted(AcceptedMessage),
    /// An attempt is about to start, to an endpoint in this zone. In a log that was written anew it may stand for further
    /// ones before it, all of which are over.
    AttemptStarted { id: u64, at: u64, zone: u32, before: u32 },
    /// An attempt ended without delivering.
    AttemptEnded { id: u64, may_have_run: bool },
    /// The message is over: delivered or withdrawn, or a notice is owed for it.
    Completed { id: u64, at: u64, completion: Completion },
    /// Its notice was answered.
    CallbackAcknowledged { id: u64 },
    /// A message that is over, whose repeats are answered alike until this time.
    Deduplicated { name: String, idempotency_key: String, until: u64, delivered: bool },
    /// An operator took an endpoint out, or called it back. Older programs read no further than the first of these.
    Suspended { uid: String, suspended: bool },
    /// What came of an attempt that the process before this one had out when it let the journal go; `at` is when it started.
    LateOutcome { id: u64, at: u64, outcome: LateOutcome },
    /// What that process had seen of an endpoint, in the core's numbers.
    Observed { uid: String, at: u64, kind: u8, values: [u64; 2] },
}

/// How such an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateOutcome {
    Delivered,
    /// The endpoint says that nothing more is owed.
    Final,
    MayHaveRun,
    NeverRan,
}

/// What is kept of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    pub id: u64,
    pub name: String,
    pub origin: String,
    pub class: u32,
    pub tenant: u32,
    pub key: Option<u64>,
    pub dest: u64,
    pub deadline: u64,
    pub idempotency_key: String,
    pub body: Bytes,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    Delivered,
    Withdrawn,
    Undeliverable,
    /// Milliseconds after which to come again, if told.
    Deferred(Option<u64>),
}

/// Bytes of a message's records beside its texts: taken, an attempt with its outcome, and its end with the word that it
/// was heard.
const TAKEN: u64 = 76;
const TRY: u64 = 52;
const END: u64 = 52;
/// The same of what is kept of a message that is over.
const PAST: u64 = 28;

/// Shares of the folder. While the log is written anew, old and new lie side by side: `LAST` and `FULL` together
/// stay under the whole, whatever has failed before.
///
/// What is owed may take this, and so may the log that is written anew. The gap to `FULL` is what each writing
/// anew gains at the least.
const OWED: f64 = 0.4;
/// Nothing more is taken on in the log before it is written anew.
const FULL: f64 = 0.45;
/// The reserve above that is for what has been taken on: its attempts, outcomes and ends, where the log cannot be
/// written anew.
const LAST: f64 = 0.52;

/// Each file counts in whole blocks of so many bytes.
const BLOCK: u64 = 512;
/// The log, the one that takes its place, and the three of a hand-over.
const FILES: u64 = 5;
const NAME: &str = "journal";
const FRESH: &str = "journal.new";
/// Bytes written at once while the log is written anew.
const PIECE: usize = 64 * 1024;

/// Why a record is not in the log.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The log's own limit.
    #[error("its share of the folder is used up")]
    CapacityExceeded,
    #[error(transparent)]
    Disk(#[from] io::Error),
}

/// The open log.
pub struct Journal {
    disk: Box<dyn Disk>,
    tail: Box<dyn FileWriter>,
    /// Bytes of whole records.
    size: u64,
    /// Bytes of a record that is not whole may lie behind them.
    torn: bool,
    /// Bytes that its files may hold together.
    most: f64,
}

impl Journal {
    /// Opens the log of a folder that may hold `most` bytes, and reads it up to the first record that is not whole.
    pub fn open(folder: &Path, most: u64) -> io::Result<(Journal, Vec<Record>)> {
        Journal::open_on(open_disk(folder)?, most)
    }

    /// The same on any disk.
    pub fn open_on(disk: Box<dyn Disk>, most: u64) -> io::Result<(Journal, Vec<Record>)> {
        // A writing anew that a kill cut short left its half here; the old log still stands.
        let _ = disk.remove(FRESH);
        let held = disk.read(NAME)?.unwrap_or_default();
        let (records, whole) = replay(&held);
        let torn = whole < held.len();
        if torn {
            log::warn!("journal: torn tail of {} bytes passed over", held.len() - whole);
        }
        let tail = disk.open_append(NAME)?;
        let most = most.saturating_sub(FILES * BLOCK) as f64;
        let mut journal = Journal { disk, tail, size: whole as u64, torn, most };
        if let Err(e) = journal.mend() {
            log::error!("journal: its torn tail cannot be cut off: {e}");
        }
        Ok((journal, records))
    }

    /// Bytes that a message is reckoned at: no less than its records take in a log that is written anew. Attempts that
    /// are over take one record; and once the message is over, what is remembered of it takes the place of its attempts.
    pub fn reserved_bytes(name: &str, origin: &str, idempotency_key: &str, body: usize) -> u64 {
        let texts = (name.len() + idempotency_key.len() + origin.len() + body) as u64;
        texts + TAKEN + END + Journal::deduplicated_bytes(name, idempotency_key).max(2 * TRY)
    }

    /// Bytes that a message is reckoned at once it is over.
    pub fn deduplicated_bytes(name: &str, idempotency_key: &str) -> u64 {
        (name.len() + idempotency_key.len()) as u64 + PAST
    }

    /// Bytes that all that is owed may take.
    pub fn pending_capacity(&self) -> u64 {
        (self.most * OWED) as u64
    }

    /// Whether the log should be written anew before a record of so many bytes is taken on.
    pub fn needs_compaction(&self, more: u64) -> bool {
        self.size + more > (self.most * FULL) as u64
    }

    /// Whether bytes lie behind the last whole record that could not be cut off.
    pub fn has_partial_record(&self) -> bool {
        self.torn
    }

    /// Adds a record; it outlives the process once this returns. Where it fails, the log is as it was before.
    pub fn append(&mut self, record: &Record) -> Result<(), JournalError> {
        let line = encode(record);
        let share = if matches!(record, Record::Accepted(_)) { FULL } else { LAST };
        if self.size + line.len() as u64 > (self.most * share) as u64 {
            return Err(JournalError::CapacityExceeded);
        }
        self.mend()?;
        if let Err(fault) = self.tail.append(&line) {
            self.torn = true;
            // What cannot be cut off now is cut off before the next record.
            let _ = self.mend();
            return Err(fault.into());
        }
        self.size += line.len() as u64;
        Ok(())
    }

    /// Guards against whole records behind a torn one, which no replay would reach.
    fn mend(&mut self) -> io::Result<()> {
        if self.torn {
            self.tail.truncate(self.size)?;
            self.torn = false;
        }
        Ok(())
    }

    /// Replaces the log by these records. Where this fails, the old one stands and goes on.
    pub fn compact(&mut self, records: impl Iterator<Item = Record>) -> Result<(), JournalError> {
        let done = self.write_anew(records);
        if done.is_err() {
            // Its half counts in the folder. Where even this fails, the next writing anew begins with it.
            let _ = self.disk.remove(FRESH);
        }
        done
    }

    fn write_anew(&mut self, records: impl Iterator<Item = Record>) -> Result<(), JournalError> {
        let mut tail = self.disk.create(FRESH)?;
        let (mut size, mut piece) = (0, Vec::with_capacity(PIECE));
        for record in records {
            piece.extend(encode(&record));
            if piece.len() >= PIECE {
                size += piece.len() as u64;
                if size > (self.most * FULL) as u64 {
                    return Err(JournalError::CapacityExceeded);
                }
                tail.append(&piece)?;
                piece.clear();
            }
        }
        size += piece.len() as u64;
        if size > (self.most * FULL) as u64 {
            return Err(JournalError::CapacityExceeded);
        }
        tail.append(&piece)?;
        self.disk.rename(FRESH, NAME)?;
        // The file that was written is the one that goes on: nothing is opened that could fail.
        (self.tail, self.size, self.torn) = (tail, size, false);
        Ok(())
    }
}

/// Bytes of this record in the log.
pub fn encoded_len(record: &Record) -> u64 {
    encode(record).len() as u64
}

pub(crate) fn encode(record: &Record) -> Vec<u8> {
    let mut out = Out(vec![0; 8]);
    match record {
        Record::Accepted(t) => {
            out.byte(1).num(t.id).text(&t.name).text(&t.origin).num(t.class.into()).num(t.tenant.into());
            out.byte(t.key.is_some().into()).num(t.key.unwrap_or(0)).num(t.dest).num(t.deadline);
            out.text(&t.idempotency_key).bytes(&t.body);
        }
        Record::AttemptStarted { id, at, zone, before } => {
            // Older programs read the lower half of the last number only.
            out.byte(2).num(*id).num(*at).num(u64::from(*zone) | u64::from(*before) << 32);
        }
        Record::AttemptEnded { id, may_have_run } => {
            out.byte(3).num(*id).byte((*may_have_run).into());
        }
        Record::Completed { id, at, completion: end } => {
            let (kind, wait) = match end {
                Completion::Delivered => (0, 0),
                Completion::Withdrawn => (1, 0),
                Completion::Undeliverable => (2, 0),
                Completion::Deferred(None) => (3, 0),
                Completion::Deferred(Some(ms)) => (4, *ms),
            };
            out.byte(4).num(*id).num(*at).byte(kind).num(wait);
        }
        Record::CallbackAcknowledged { id } => {
            out.byte(5).num(*id);
        }
        Record::Deduplicated { name, idempotency_key, until, delivered } => {
            out.byte(6).text(name).text(idempotency_key).num(*until).byte((*delivered).into());
        }
        Record::Suspended { uid, suspended: away } => {
            out.byte(7).text(uid).byte((*away).into());
        }
        Record::LateOutcome { id, at, outcome: how } => {
            let how = match how {
                LateOutcome::Delivered => 0,
                LateOutcome::Final => 1,
                LateOutcome::MayHaveRun => 2,
                LateOutcome::NeverRan => 3,
            };
            out.byte(8).num(*id).num(*at).byte(how);
        }
        Record::Observed { uid, at, kind, values } => {
            out.byte(9).text(uid).num(*at).byte(*kind).num(values[0]).num(values[1]);
        }
    }
    let mut line = out.0;
    let (size, sum) = ((line.len() - 8) as u32, crc32fast::hash(&line[8..]));
    line[..4].copy_from_slice(&size.to_le_bytes());
    line[4..8].copy_from_slice(&sum.to_le_bytes());
    line
}

/// All whole records, and how many bytes they take.
pub(crate) fn replay(held: &[u8]) -> (Vec<Record>, usize) {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((record, next)) = one(held, at) {
        records.push(record);
        at = next;
    }
    (records, at)
}

fn one(held: &[u8], at: usize) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(held.get(at..at + 4)?.try_into().ok()?));
    let (size, sum) = (word(at)? as usize, word(at + 4)?);
    let end = at.checked_add(8)?.checked_add(size)?;
    let text = held.get(at + 8..end)?;
    (crc32fast::hash(text) == sum).then(|| decode(In(text))).flatten().map(|r| (r, end))
}

fn decode(mut i: In) -> Option<Record> {
    Some(match i.byte()? {
        1 => {
            let (id, name, origin) = (i.num()?, i.text()?, i.text()?);
            let (class, tenant) = (i.num()? as u32, i.num()? as u32);
            let (keyed, key) = (i.byte()? == 1, i.num()?);
            let (dest, deadline, idempotency_key) = (i.num()?, i.num()?, i.text()?);
            let body = Bytes::copy_from_slice(i.bytes()?);
            let key = keyed.then_some(key);
            Record::Accepted(AcceptedMessage {
                id,
                name,
                origin,
                class,
                tenant,
                key,
                dest,
                deadline,
                idempotency_key,
                body,
            })
        }
        2 => {
            let (id, at, place) = (i.num()?, i.num()?, i.num()?);
            Record::AttemptStarted { id, at, zone: place as u32, before: (place >> 32) as u32 }
        }
        3 => Record::AttemptEnded { id: i.num()?, may_have_run: i.byte()? == 1 },
        4 => {
            let (id, at, kind, wait) = (i.num()?, i.num()?, i.byte()?, i.num()?);
            let ends = [
                Completion::Delivered,
                Completion::Withdrawn,
                Completion::Undeliverable,
                Completion::Deferred(None),
                Completion::Deferred(Some(wait)),
            ];
            Record::Completed { id, at, completion: *ends.get(kind as usize)? }
        }
        5 => Record::CallbackAcknowledged { id: i.num()? },
        6 => Record::Deduplicated {
            name: i.text()?,
            idempotency_key: i.text()?,
            until: i.num()?,
            delivered: i.byte()? == 1,
        },
        7 => Record::Suspended { uid: i.text()?, suspended: i.byte()? == 1 },
        8 => {
            let (id, at, how) = (i.num()?, i.num()?, i.byte()?);
            let all =
                [LateOutcome::Delivered, LateOutcome::Final, LateOutcome::MayHaveRun, LateOutcome::NeverRan];
            Record::LateOutcome { id, at, outcome: *all.get(how as usize)? }
        }
        9 => Record::Observed { uid: i.text()?, at: i.num()?, kind: i.byte()?, values: [i.num()?, i.num()?] },
        _ => return None,
    })
}

struct Out(Vec<u8>);

impl Out {
    fn byte(&mut self, b: u8) -> &mut Self {
        self.0.push(b);
        self
    }
    fn num(&mut self, n: u64) -> &mut Self {
        self.0.extend(n.to_le_bytes());
        self
    }
    fn bytes(&mut self, b: &[u8]) -> &mut Self {
        self.0.extend((b.len() as u32).to_le_bytes());
        self.0.extend(b);
        self
    }
    fn text(&mut self, t: &str) -> &mut Self {
        self.bytes(t.as_bytes())
    }
}

struct In<'a>(&'a [u8]);

impl<'a> In<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }
    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn num(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(n as usize)
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
}
