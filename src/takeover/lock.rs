//! The lasting folder as two processes share it, and the locks that say which of them does what.
use super::state::RequestId;
use super::TakeoverError;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A request without a name, as an earlier version of this program makes it.
const UNNAMED_REQUEST: RequestId = RequestId(0);

/// The lasting folder, as far as it is part of a takeover.
#[derive(Clone)]
pub struct SharedFolder(PathBuf);

/// A lock that this process holds until this is dropped, or the process ends in whatever way.
pub struct FolderLock(File);

/// Which lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockName {
    /// That of the journal's owner.
    Owner,
    /// That of the process that asks to become the owner, until it serves.
    Next,
    /// That of the process that has released the journal, and goes on to listen behind its successor.
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

/// Whether the lock was acquired; `false` while another process holds it.
pub(super) fn acquired(result: Result<(), TryLockError>) -> io::Result<bool> {
    match result {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

impl SharedFolder {
    /// Opens the folder at this path; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The folder cannot be created.
    pub fn open(path: &Path) -> Result<SharedFolder, TakeoverError> {
        let error = |source| TakeoverError { path: path.to_path_buf(), problem: "no folder", source };
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

    /// Acquires a lock; `None` while another process holds it.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or locked.
    pub fn try_lock(&self, name: LockName) -> Result<Option<FolderLock>, TakeoverError> {
        let file = self.open_file(name.file_name())?;
        let is_ours = acquired(file.try_lock()).map_err(|source| self.lock_error(name, source))?;
        Ok(is_ours.then_some(FolderLock(file)))
    }

    /// Acquires a lock, and blocks the thread until it is free: the kernel wakes it in that very moment.
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

    /// Asks for the folder; `None` while another process does. The request stands until the lock is dropped.
    ///
    /// # Errors
    ///
    /// The file cannot be opened, locked or written.
    pub fn request(&self, id: RequestId) -> Result<Option<FolderLock>, TakeoverError> {
        let Some(lock) = self.try_lock(LockName::Next)? else { return Ok(None) };
        self.renew_request(&lock, id)?;
        Ok(Some(lock))
    }

    /// Replaces a request that may have expired.
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

    /// The request of another process.
    pub fn pending_request(&self) -> Option<RequestId> {
        if !self.is_locked(LockName::Next) {
            return None;
        }
        let text = std::fs::read_to_string(self.path_of(LockName::Next.file_name())).unwrap_or_default();
        Some(text.parse().map_or(UNNAMED_REQUEST, RequestId))
    }

    /// Whether another process holds the lock. One whose file does not exist or cannot be opened is held by none.
    pub fn is_locked(&self, name: LockName) -> bool {
        let Ok(file) = File::open(self.path_of(name.file_name())) else { return false };
        matches!(acquired(file.try_lock_shared()), Ok(false))
    }
}
