//! The state folder that two processes share, and the locks that give each process its role.
use super::state::RequestId;
use super::TakeoverError;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The id assumed for a request whose file contains none; earlier versions of this program write such requests.
const REQUEST_WITHOUT_ID: RequestId = RequestId(0);

/// The state folder, as the processes of a takeover share it.
#[derive(Clone)]
pub struct SharedFolder(PathBuf);

/// A file lock, held until this value is dropped or the process ends, even if it is killed.
pub struct FolderLock(File);

/// A role in the takeover. Each role has its own lock file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockName {
    /// The owner of the journal.
    Owner,
    /// A process that requests the folder, until it serves.
    Next,
    /// A process that has released the journal and listens behind its successor.
    Standby,
}

impl LockName {
    fn file_name(self) -> &'static str {
        match self {
            LockName::Owner => "owner",
            LockName::Next => "next",
            LockName::Standby => "standby",
        }
    }
}

/// Returns whether the lock was acquired; `false` while another process holds it.
pub(super) fn is_acquired(result: Result<(), TryLockError>) -> io::Result<bool> {
    match result {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

impl SharedFolder {
    /// Opens the folder at `path`; creates the folder if it does not exist.
    ///
    /// # Errors
    ///
    /// The folder cannot be created.
    pub fn open(path: &Path) -> Result<SharedFolder, TakeoverError> {
        let error = |source| TakeoverError { path: path.to_path_buf(), problem: "cannot be created", source };
        std::fs::create_dir_all(path).map_err(error)?;
        Ok(SharedFolder(path.to_path_buf()))
    }

    pub(super) fn path_of(&self, file_name: &str) -> PathBuf {
        self.0.join(file_name)
    }

    pub(super) fn open_file(&self, file_name: &str) -> Result<File, TakeoverError> {
        let path = self.path_of(file_name);
        let opened = OpenOptions::new().create(true).read(true).append(true).open(&path);
        opened.map_err(|source| TakeoverError { path, problem: "cannot be opened", source })
    }

    /// Acquires a lock; returns `None` while another process holds it.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or locked.
    pub fn try_lock(&self, name: LockName) -> Result<Option<FolderLock>, TakeoverError> {
        let file = self.open_file(name.file_name())?;
        let acquired = is_acquired(file.try_lock()).map_err(|source| self.lock_error(name, source))?;
        Ok(acquired.then_some(FolderLock(file)))
    }

    /// Acquires a lock, and blocks the thread until it is free; the kernel wakes the thread without a delay from polling.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or locked.
    pub fn lock(&self, name: LockName) -> Result<FolderLock, TakeoverError> {
        let file = self.open_file(name.file_name())?;
        file.lock().map_err(|source| self.lock_error(name, source))?;
        Ok(FolderLock(file))
    }

    fn lock_error(&self, name: LockName, source: io::Error) -> TakeoverError {
        TakeoverError { path: self.path_of(name.file_name()), problem: "cannot be locked", source }
    }

    /// Requests the folder; returns `None` while another process requests it. The request holds until the lock is dropped.
    ///
    /// # Errors
    ///
    /// The file cannot be opened, locked or written.
    pub fn request(&self, id: RequestId) -> Result<Option<FolderLock>, TakeoverError> {
        let Some(lock) = self.try_lock(LockName::Next)? else { return Ok(None) };
        self.renew_request(&lock, id)?;
        Ok(Some(lock))
    }

    /// Writes a new id for a request that may have expired.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn renew_request(&self, lock: &FolderLock, id: RequestId) -> Result<(), TakeoverError> {
        let write = || {
            lock.0.set_len(0)?;
            (&lock.0).write_all(id.0.to_string().as_bytes())
        };
        let path = self.path_of(LockName::Next.file_name());
        write().map_err(|source| TakeoverError { path, problem: "cannot be written", source })
    }

    /// Returns the id of another process's request, if there is one.
    pub fn pending_request(&self) -> Option<RequestId> {
        if !self.is_locked(LockName::Next) {
            return None;
        }
        let text = std::fs::read_to_string(self.path_of(LockName::Next.file_name())).unwrap_or_default();
        Some(text.parse().map_or(REQUEST_WITHOUT_ID, RequestId))
    }

    /// Returns whether another process holds the lock; `false` if the lock's file does not exist or cannot be opened.
    pub fn is_locked(&self, name: LockName) -> bool {
        let Ok(file) = File::open(self.path_of(name.file_name())) else { return false };
        matches!(is_acquired(file.try_lock_shared()), Ok(false))
    }
}
