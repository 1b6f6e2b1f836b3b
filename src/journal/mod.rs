//! The journal: a checksummed append-only log in the lasting folder, from which a restart learns what is still owed.
//! It keeps records; what they mean is the core's business.
//!
//! `record` has the records, `codec` their bytes, `limits` the shares of the folder, `disk` the files, and `append_log` the open
//! journal with its compaction.
#![warn(missing_docs)]
mod append_log;
mod codec;
mod disk;
mod limits;
mod record;

pub use append_log::{Journal, JournalError};
pub use codec::encoded_len;
pub(crate) use codec::{encode, replay};
pub use disk::{open_disk, Disk, FileWriter, Folder};
pub use record::{AcceptedMessage, Completion, LateOutcome, Record};
