//! What the journal asks of the folder in which it lies, and nothing more: a test's can fail at each of it.
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A folder of files.
pub trait Disk: Send {
    /// The whole of a file; none if there is no such file.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Opens a file at its end; made if it is not there.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>>;
    /// Opens a file that is empty, whatever it held.
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>>;
    /// Puts a file in the place of another, in one step.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// The end of an open file. It stays the same file whatever name it gets.
pub trait FileWriter: Send {
    /// Adds bytes. Where this fails, any part of them may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Shortens the file to this size.
    fn truncate(&mut self, size: u64) -> io::Result<()>;
}

/// A folder of the file system.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes the folder where it is not there.
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
        // Truncating and appending do not go together; what an earlier attempt left is taken away first.
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

/// The lasting folder as a disk; in a build for tests one that may fail.
pub fn open_disk(folder: &Path) -> io::Result<Box<dyn Disk>> {
    let folder = Folder::open(folder)?;
    #[cfg(debug_assertions)]
    let disk = Faulty::over(folder);
    #[cfg(not(debug_assertions))]
    let disk = Box::new(folder);
    Ok(disk)
}

/// A folder that fails as a file says, one word for each thing that fails now (`append`, `cut`, `create`,
/// `rename`, `remove`). For the tests that start the real program: release builds do not hold it.
#[cfg(debug_assertions)]
pub struct Faulty {
    folder: Folder,
    faults: PathBuf,
}

#[cfg(debug_assertions)]
impl Faulty {
    /// Where `MICALADDER_DISK_FAULTS` names a file.
    pub fn over(folder: Folder) -> Box<dyn Disk> {
        match std::env::var("MICALADDER_DISK_FAULTS") {
            Ok(faults) => Box::new(Faulty { folder, faults: faults.into() }),
            Err(_) => Box::new(folder),
        }
    }
}

#[cfg(debug_assertions)]
fn strike(faults: &Path, what: &str) -> io::Result<()> {
    let now = fs::read_to_string(faults).unwrap_or_default();
    match now.split_whitespace().any(|w| w == what) {
        true => Err(io::Error::new(ErrorKind::StorageFull, format!("a test lets {what} fail"))),
        false => Ok(()),
    }
}

#[cfg(debug_assertions)]
struct FaultyWriter {
    tail: Box<dyn FileWriter>,
    faults: PathBuf,
}

#[cfg(debug_assertions)]
impl Disk for Faulty {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        Ok(Box::new(FaultyWriter { tail: self.folder.open_append(name)?, faults: self.faults.clone() }))
    }
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        strike(&self.faults, "create")?;
        Ok(Box::new(FaultyWriter { tail: self.folder.create(name)?, faults: self.faults.clone() }))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        strike(&self.faults, "rename")?;
        self.folder.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        strike(&self.faults, "remove")?;
        self.folder.remove(name)
    }
}

#[cfg(debug_assertions)]
impl FileWriter for FaultyWriter {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        strike(&self.faults, "append").inspect_err(|_| {
            // As a disk that fills up does: the first bytes still go in.
            let _ = self.tail.append(&bytes[..bytes.len() / 2]);
        })?;
        self.tail.append(bytes)
    }
    fn truncate(&mut self, size: u64) -> io::Result<()> {
        strike(&self.faults, "cut")?;
        self.tail.truncate(size)
    }
}
