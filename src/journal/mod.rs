//! The journal: a checksummed append-only log in the state folder, from which a restarted process restores its pending
//! messages. It stores records; the core interprets them.
//!
//! | module | content |
//! | --- | --- |
//! | `record` | the records |
//! | `codec` | their encoding |
//! | `limits` | the journal's shares of the folder |
//! | `disk` | file operations |
//! | `append_log` | the open journal and its compaction |
//! | `state_file` | small files beside the log |
//! | `endpoint_list` | the endpoint list in a file of its own |
//! | `endpoint_health` | the endpoints in an outage or in slow start, in a file of its own |
#![warn(missing_docs)]
mod append_log;
mod codec;
mod disk;
mod endpoint_health;
mod endpoint_list;
mod limits;
mod record;
mod state_file;

pub use append_log::{Journal, JournalError};
pub use codec::encoded_len;
pub(crate) use codec::{encode, replay};
pub use disk::{open_disk, Disk, FileWriter, Folder};
pub use endpoint_health::{StoredEndpointHealth, StoredHealth};
pub use endpoint_list::{StoredEndpoint, StoredEndpointList, StoredEndpointState, StoredListChange};
pub use record::{AcceptedMessage, Completion, LateOutcome, Record};
