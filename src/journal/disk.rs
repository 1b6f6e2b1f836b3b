//! The file operations that the journal needs, behind traits, so that tests can make each of them fail.
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A folder of files, addressed by file name.
pub trait Disk: Send {
    /// Reads a whole file; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The file exists and cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Opens a file for appending, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or created.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>>;
    /// Creates an empty file for appending, and replaces an existing one.
    ///
    /// # Errors
    ///
    /// The existing file cannot be removed, or the new one cannot be created.
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>>;
    /// Renames a file, and atomically replaces an existing file of the new name.
    ///
    /// # Errors
    ///
    /// The file cannot be renamed; both files are unchanged.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The file does not exist or cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A file that is open for appending. It stays valid when the file is renamed.
pub trait FileWriter: Send {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// The write failed. Any part of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `size` bytes.
    ///
    /// # Errors
    ///
    /// The file cannot be truncated.
    fn truncate(&mut self, size: u64) -> io::Result<()>;
}

/// A [`Disk`] backed by a folder of the file system.
pub struct Folder(PathBuf);

impl Folder {
    /// Opens the folder, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The folder cannot be created.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder(path.to_path_buf()))
    }
}

impl Disk for Folder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.0.join(name)) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            other => other.map(Some),
        }
    }
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        Ok(Box::new(OpenOptions::new().create(true).append(true).open(self.0.join(name))?))
    }
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        // `OpenOptions` rejects truncating together with appending, so an existing file is removed first.
        match self.remove(name) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => self.open_append(name),
        }
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

impl FileWriter for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }
    fn truncate(&mut self, size: u64) -> io::Result<()> {
        self.set_len(size)
    }
}

/// Opens the state folder as a disk. In a debug build tests can inject faults into it.
///
/// # Errors
///
/// The folder cannot be created.
pub fn open_disk(folder: &Path) -> io::Result<Box<dyn Disk>> {
    let folder = Folder::open(folder)?;
    #[cfg(debug_assertions)]
    let disk = FaultyFolder::wrap(folder);
    #[cfg(not(debug_assertions))]
    let disk = Box::new(folder);
    Ok(disk)
}

/// A folder whose operations fail while a file lists them (`open`, `append`, `cut` for truncating, `create`, `rename`,
/// `remove`).
/// For tests that start the real program; not part of release builds.
#[cfg(debug_assertions)]
pub struct FaultyFolder {
    folder: Folder,
    faults: PathBuf,
}

#[cfg(debug_assertions)]
impl FaultyFolder {
    /// Wraps the folder if `MICALADDER_DISK_FAULTS` names a file with faults; otherwise returns the folder itself.
    pub fn wrap(folder: Folder) -> Box<dyn Disk> {
        match std::env::var("MICALADDER_DISK_FAULTS") {
            Ok(faults) => Box::new(FaultyFolder { folder, faults: faults.into() }),
            Err(_) => Box::new(folder),
        }
    }
}

#[cfg(debug_assertions)]
fn inject_fault(faults: &Path, operation: &str) -> io::Result<()> {
    let failing = fs::read_to_string(faults).unwrap_or_default();
    if failing.split_whitespace().any(|name| name == operation) {
        let message = format!("fault injected by a test: {operation} fails");
        return Err(io::Error::new(ErrorKind::StorageFull, message));
    }
    Ok(())
}

#[cfg(debug_assertions)]
struct FaultyWriter {
    writer: Box<dyn FileWriter>,
    faults: PathBuf,
}

#[cfg(debug_assertions)]
impl Disk for FaultyFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        inject_fault(&self.faults, "open")?;
        Ok(Box::new(FaultyWriter { writer: self.folder.open_append(name)?, faults: self.faults.clone() }))
    }
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        inject_fault(&self.faults, "create")?;
        Ok(Box::new(FaultyWriter { writer: self.folder.create(name)?, faults: self.faults.clone() }))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        inject_fault(&self.faults, "rename")?;
        self.folder.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        inject_fault(&self.faults, "remove")?;
        self.folder.remove(name)
    }
}

#[cfg(debug_assertions)]
impl FileWriter for FaultyWriter {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        inject_fault(&self.faults, "append").inspect_err(|_| {
            // Like a disk that fills up, writes the first bytes before the error.
            let _ = self.writer.append(&bytes[..bytes.len() / 2]);
        })?;
        self.writer.append(bytes)
    }
    fn truncate(&mut self, size: u64) -> io::Result<()> {
        inject_fault(&self.faults, "cut")?;
        self.writer.truncate(size)
    }
}
