//! The journal: a checksummed append log in the lasting folder, from which a restart learns what is still owed.
//! It keeps records; what they mean is the core's.
use bytes::Bytes;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// One line of the log. Times are Unix nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Taken on, in the order of these records.
    Taken(Taken),
    /// A try is about to start, to an endpoint in this zone.
    Started { id: u64, at: u64, zone: u32 },
    /// A try ended without delivering.
    Outcome { id: u64, may_have_run: bool },
    /// The message is over: delivered or withdrawn, or a notice is owed for it.
    Ended { id: u64, at: u64, end: End },
    /// Its notice was answered.
    Heard { id: u64 },
    /// A message that is over, whose repeats are answered alike until this time.
    Past { name: String, repeat_key: String, until: u64, delivered: bool },
}

/// What is kept of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Taken {
    pub id: u64,
    pub name: String,
    pub origin: String,
    pub class: u32,
    pub tenant: u32,
    pub key: Option<u64>,
    pub dest: u64,
    pub deadline: u64,
    pub repeat_key: String,
    pub body: Bytes,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Delivered,
    Withdrawn,
    Undeliverable,
    /// Milliseconds after which to come again, if told.
    Deferred(Option<u64>),
}

/// Bytes that a record takes beside its texts, at most.
const OVERHEAD: u64 = 96;
/// The same of what is kept of a message that is over: a record of its own.
const PAST_OVERHEAD: u64 = 32;
/// Share of the folder that the log may fill before it is written anew, and that what is owed may take. Old
/// and new log lie side by side while it is written anew: both shares together stay under the whole.
const SHARE: f64 = 0.42;

/// The open log.
pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    most: u64,
}

impl Journal {
    /// Opens the log of a folder, and reads what it holds up to the first record that is not whole.
    pub fn open(folder: &Path, disk: u64) -> io::Result<(Journal, Vec<Record>)> {
        fs::create_dir_all(folder)?;
        let path = folder.join("journal");
        // A compaction that a kill cut short left its half here; the old log still stands.
        let _ = fs::remove_file(folder.join("journal.new"));
        let held = match fs::read(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        let (records, whole) = replay(&held);
        if whole < held.len() {
            log::warn!("journal: torn tail of {} bytes passed over", held.len() - whole);
        }
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        // Guards against records behind a torn one, which no replay would reach.
        file.set_len(whole as u64)?;
        let most = (disk as f64 * SHARE) as u64;
        Ok((Journal { path, file, size: whole as u64, most }, records))
    }

    /// Bytes that a message is reckoned at.
    pub fn weight(name: &str, repeat_key: &str, body: usize) -> u64 {
        // Its name and key are kept twice: while it is owed, and once it is delivered.
        2 * (name.len() + repeat_key.len()) as u64 + body as u64 + 4 * OVERHEAD
    }

    /// Bytes that a message is reckoned at once it is over.
    pub fn past_weight(name: &str, repeat_key: &str) -> u64 {
        (name.len() + repeat_key.len()) as u64 + PAST_OVERHEAD
    }

    /// Bytes that all that is owed may take.
    pub fn room(&self) -> u64 {
        self.most
    }

    /// Whether the log should be written anew before more is added.
    pub fn is_full(&self) -> bool {
        self.size >= self.most
    }

    /// Adds a record; it outlives the process once this returns.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        let line = encode(record);
        if let Err(fault) = self.file.write_all(&line) {
            // Guards against half a record in the midst of the log.
            self.file.set_len(self.size)?;
            return Err(fault);
        }
        self.size += line.len() as u64;
        Ok(())
    }

    /// Replaces the log by these records; the old one stands until the new one is whole.
    pub fn rewrite(&mut self, records: impl Iterator<Item = Record>) -> io::Result<()> {
        let fresh = self.path.with_extension("new");
        let text: Vec<u8> = records.flat_map(|r| encode(&r)).collect();
        fs::write(&fresh, &text)?;
        fs::rename(&fresh, &self.path)?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.size = text.len() as u64;
        Ok(())
    }
}

fn encode(record: &Record) -> Vec<u8> {
    let mut out = Out(vec![0; 8]);
    match record {
        Record::Taken(t) => {
            out.byte(1).num(t.id).text(&t.name).text(&t.origin).num(t.class.into()).num(t.tenant.into());
            out.byte(t.key.is_some().into()).num(t.key.unwrap_or(0)).num(t.dest).num(t.deadline);
            out.text(&t.repeat_key).bytes(&t.body);
        }
        Record::Started { id, at, zone } => {
            out.byte(2).num(*id).num(*at).num((*zone).into());
        }
        Record::Outcome { id, may_have_run } => {
            out.byte(3).num(*id).byte((*may_have_run).into());
        }
        Record::Ended { id, at, end } => {
            let (kind, wait) = match end {
                End::Delivered => (0, 0),
                End::Withdrawn => (1, 0),
                End::Undeliverable => (2, 0),
                End::Deferred(None) => (3, 0),
                End::Deferred(Some(ms)) => (4, *ms),
            };
            out.byte(4).num(*id).num(*at).byte(kind).num(wait);
        }
        Record::Heard { id } => {
            out.byte(5).num(*id);
        }
        Record::Past { name, repeat_key, until, delivered } => {
            out.byte(6).text(name).text(repeat_key).num(*until).byte((*delivered).into());
        }
    }
    let mut line = out.0;
    let (size, sum) = ((line.len() - 8) as u32, crc32fast::hash(&line[8..]));
    line[..4].copy_from_slice(&size.to_le_bytes());
    line[4..8].copy_from_slice(&sum.to_le_bytes());
    line
}

/// All whole records, and how many bytes they take.
fn replay(held: &[u8]) -> (Vec<Record>, usize) {
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
            let (dest, deadline, repeat_key) = (i.num()?, i.num()?, i.text()?);
            let body = Bytes::copy_from_slice(i.bytes()?);
            let key = keyed.then_some(key);
            Record::Taken(Taken { id, name, origin, class, tenant, key, dest, deadline, repeat_key, body })
        }
        2 => Record::Started { id: i.num()?, at: i.num()?, zone: i.num()? as u32 },
        3 => Record::Outcome { id: i.num()?, may_have_run: i.byte()? == 1 },
        4 => {
            let (id, at, kind, wait) = (i.num()?, i.num()?, i.byte()?, i.num()?);
            let ends = [
                End::Delivered,
                End::Withdrawn,
                End::Undeliverable,
                End::Deferred(None),
                End::Deferred(Some(wait)),
            ];
            Record::Ended { id, at, end: *ends.get(kind as usize)? }
        }
        5 => Record::Heard { id: i.num()? },
        6 => Record::Past {
            name: i.text()?,
            repeat_key: i.text()?,
            until: i.num()?,
            delivered: i.byte()? == 1,
        },
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
