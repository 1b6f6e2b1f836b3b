//! Small files beside the journal that a process keeps for the next one on the folder. Versions without such a file ignore it,
//! whereas they would stop reading the journal at an unknown record.
//!
//! A file starts with a complete part, which replaces the file atomically, and changes are appended, so that the cost of a
//! change does not grow with the file. An incomplete part at the end is ignored. Each part has this form:
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | format version |
//! | 4 | length of the payload, little-endian |
//! | 4 | CRC-32 of the payload, little-endian |
//! | rest | payload in postcard |
use super::disk::Disk;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;

/// Format version; incremented with each format that an older program cannot read.
const FORMAT_VERSION: u8 = 1;
/// Size of the header, in bytes: format version, length and checksum.
const HEADER_BYTES: usize = 9;

/// Encodes a part of a file with its header.
pub(super) fn encode(part: &impl Serialize) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(part).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// Decodes the first part of the bytes; returns it with the bytes after it, or `None` if it is incomplete or altered.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (version, numbers) = header.split_first()?;
    let (length, checksum) = numbers.split_at_checked(size_of::<u32>())?;
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    let (payload, rest) = rest.split_at_checked(length as usize)?;
    if *version != FORMAT_VERSION || crc32fast::hash(payload) != checksum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, rest))
}

/// The names of a file.
pub(super) struct StateFile {
    /// Name of the file in use.
    pub name: &'static str,
    /// Name of a new file while it is written.
    pub new_name: &'static str,
}

impl StateFile {
    /// Reads the file; `None` if there is none.
    pub(super) fn read(&self, disk: &dyn Disk) -> io::Result<Option<Vec<u8>>> {
        disk.read(self.name)
    }

    /// Replaces the file.
    pub(super) fn replace(&self, disk: &dyn Disk, bytes: &[u8]) -> io::Result<()> {
        let result = self.write_new(disk, bytes);
        if result.is_err() {
            // An incomplete file takes up space.
            self.remove_unfinished(disk);
        }
        result
    }

    fn write_new(&self, disk: &dyn Disk, bytes: &[u8]) -> io::Result<()> {
        disk.create(self.new_name)?.append(bytes)?;
        disk.rename(self.new_name, self.name)
    }

    /// Appends a part. The file is not kept open, as changes are rare and descriptors are limited.
    pub(super) fn append(&self, disk: &dyn Disk, bytes: &[u8]) -> io::Result<()> {
        disk.open_append(self.name)?.append(bytes)
    }

    /// Removes the file, if there is one.
    pub(super) fn remove(&self, disk: &dyn Disk) {
        let _ = disk.remove(self.name);
    }

    /// Removes a new file whose writing was interrupted, for example by a kill.
    pub(super) fn remove_unfinished(&self, disk: &dyn Disk) {
        let _ = disk.remove(self.new_name);
    }
}
