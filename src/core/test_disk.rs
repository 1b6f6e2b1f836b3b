//! Helper of the unit tests: an in-memory disk whose operations can be made to fail.
use crate::journal::{self, Disk, FileWriter, Record};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The kinds of operation that can fail.
pub(super) const ALL_OPERATIONS: &[&str] = &["append", "truncate", "create", "rename", "remove"];

/// The files of an in-memory folder, and the faults to inject.
#[derive(Default)]
pub(super) struct FolderState {
    /// Contents of the files, by name.
    pub(super) contents: BTreeMap<String, Vec<u8>>,
    /// Number of operations so far.
    pub(super) operations: u64,
    /// Operations up to this number succeed.
    faults_after: u64,
    /// Number of operations that fail after that.
    max_faults: u64,
    /// Kinds of operation that may fail.
    faulty_kinds: &'static [&'static str],
    /// Number of operations that have failed since the last `inject_faults`.
    pub(super) faults: u64,
    /// Bytes of a failing append that are still written, modulo its length.
    partial_bytes: usize,
}

/// An in-memory folder that its disk, its writers and the test share.
#[derive(Clone, Default)]
pub(super) struct SharedFolder(Arc<Mutex<FolderState>>);

impl SharedFolder {
    pub(super) fn state(&self) -> MutexGuard<'_, FolderState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Counts an operation of this kind, and fails it if a fault is due.
    fn begin_operation(&self, kind: &str) -> io::Result<MutexGuard<'_, FolderState>> {
        let mut state = self.state();
        state.operations += 1;
        if state.operations > state.faults_after
            && state.faults < state.max_faults
            && state.faulty_kinds.contains(&kind)
        {
            state.faults += 1;
            return Err(io::Error::other(format!("{kind} fails")));
        }
        Ok(state)
    }
    /// Returns the records of the journal.
    pub(super) fn journal_records(&self) -> Vec<Record> {
        let bytes = self.state().contents.get("journal").cloned().unwrap_or_default();
        journal::replay(&bytes).records
    }
    /// Returns the size of all files, each rounded up to whole blocks.
    pub(super) fn size(&self) -> usize {
        self.state().contents.values().map(|f| f.len().next_multiple_of(512)).sum()
    }
}

/// Name of an open file; changes when the file is renamed.
type FileName = Arc<Mutex<String>>;

struct InMemoryWriter {
    folder: SharedFolder,
    name: FileName,
}

#[derive(Clone, Default)]
pub(super) struct InMemoryDisk {
    pub(super) folder: SharedFolder,
    /// Names of all files that were ever opened.
    open_files: Arc<Mutex<Vec<FileName>>>,
}

impl InMemoryDisk {
    /// Returns the disk that the next process finds after this one was killed: healthy, with the same files.
    pub(super) fn after_kill(&self) -> InMemoryDisk {
        let disk = InMemoryDisk::default();
        disk.folder.state().contents = std::mem::take(&mut self.folder.state().contents);
        disk
    }

    /// Makes all operations fail until [`recover`](Self::recover) is called.
    pub(super) fn fail_all(&self) {
        self.inject_faults(ALL_OPERATIONS, 0, u64::MAX, 0);
    }

    pub(super) fn recover(&self) {
        self.inject_faults(&[], 0, 0, 0);
    }

    /// Lets `after` further operations succeed, and then fails up to `max_faults` operations of these kinds.
    pub(super) fn inject_faults(
        &self, kinds: &'static [&'static str], after: u64, max_faults: u64, partial_bytes: usize,
    ) {
        let mut state = self.folder.state();
        state.faults_after = state.operations + after;
        (state.faulty_kinds, state.max_faults, state.faults, state.partial_bytes) =
            (kinds, max_faults, 0, partial_bytes);
    }

    fn open_writer(&self, name: &str) -> Box<dyn FileWriter> {
        let name = Arc::new(Mutex::new(name.to_string()));
        self.open_files.lock().expect("lock").push(name.clone());
        Box::new(InMemoryWriter { folder: self.folder.clone(), name })
    }
}

impl Disk for InMemoryDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.folder.state().contents.get(name).cloned())
    }
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        self.folder.state().contents.entry(name.to_string()).or_default();
        Ok(self.open_writer(name))
    }
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        self.folder.begin_operation("create")?.contents.insert(name.to_string(), Vec::new());
        Ok(self.open_writer(name))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.folder.begin_operation("rename")?;
        let bytes = state.contents.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.contents.insert(to.to_string(), bytes);
        for name in self.open_files.lock().expect("lock").iter() {
            let mut name = name.lock().expect("lock");
            // The file that had the new name before is no longer in the folder.
            match name.as_str() {
                n if n == to => *name = "unlinked".to_string(),
                n if n == from => *name = to.to_string(),
                _ => {}
            }
        }
        Ok(())
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.folder.begin_operation("remove")?;
        state.contents.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }
}

impl FileWriter for InMemoryWriter {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let name = self.name.lock().expect("lock").clone();
        match self.folder.begin_operation("append") {
            Ok(mut state) => state.contents.entry(name).or_default().extend(bytes),
            Err(fault) => {
                let mut state = self.folder.state();
                let partial_bytes = state.partial_bytes % bytes.len();
                state.contents.entry(name).or_default().extend(&bytes[..partial_bytes]);
                return Err(fault);
            }
        }
        Ok(())
    }
    fn truncate(&mut self, size: u64) -> io::Result<()> {
        let name = self.name.lock().expect("lock").clone();
        self.folder.begin_operation("truncate")?.contents.entry(name).or_default().truncate(size as usize);
        Ok(())
    }
}
