//! The memory of this process: what its parts may hold, and what the kernel reports.
//!
//! Each part has a share of `limits.memory_mb`, so that the sum of all that the process may hold stays under the limit. A part turns
//! its share into a number of things, by the most that one of them takes.
//!
//! | part | share of what the program itself leaves |
//! | --- | --- |
//! | client connections and requests being read | 3/8 |
//! | pending and remembered messages | 1/8 |
//! | files of the state folder | 1/8 |
//! | endpoint list | 1/4 |
//! | calls, callbacks, receipts | the rest, bounded by descriptors |
#![warn(missing_docs)]

/// Memory of the program, its libraries and its allocator, without what the shares are for, in bytes.
const PROGRAM_BYTES: u64 = 32_000_000;
/// Smallest part of the limit, as its divisor, that the shares are computed from in a process with less than the program needs.
const LEAST_SHARED_DIVISOR: u64 = 4;

/// Memory of an endpoint, in bytes: its entry in the registry, its state in the decision module, its copies while a list is applied and
/// stored, and an idle connection.
const ENDPOINT_BYTES: u64 = 4_000;
/// Number of buffers of the longest list that fit into half the share of the endpoint list; the other half is for its state.
const LIST_BUFFERS: u64 = 8;
/// Maximum size of a value of discovery, in bytes, in a process with much memory. Holds about ten thousand endpoints, more than any
/// deployment has.
const MAX_LIST_BYTES: u64 = 4 << 20;

/// The shares of the memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    shared: u64,
}

impl MemoryBudget {
    /// Creates the shares of a limit in bytes.
    pub fn new(limit: u64) -> MemoryBudget {
        MemoryBudget { shared: limit.saturating_sub(PROGRAM_BYTES).max(limit / LEAST_SHARED_DIVISOR) }
    }

    /// Returns the bytes for client connections and the requests that are read on them.
    pub fn clients(&self) -> u64 {
        self.shared / 8 * 3
    }

    /// Returns the bytes for pending messages and for complete ones that are remembered.
    pub fn messages(&self) -> u64 {
        self.shared / 8
    }

    /// Returns the bytes for the files of the state folder, which count as memory.
    pub fn files(&self) -> u64 {
        self.shared / 8
    }

    /// Returns the bytes for the endpoint list, from its text on the wire to the state of each endpoint.
    pub fn endpoint_list(&self) -> u64 {
        self.shared / 4
    }

    /// Returns the number of endpoints that the state of the endpoint list has room for.
    pub fn max_endpoints(&self) -> usize {
        (self.endpoint_list() / 2 / ENDPOINT_BYTES) as usize
    }

    /// Returns the maximum size of a value of discovery while it is received, in bytes. Several may be received at once, and the
    /// buffer of each may have grown to twice its size.
    pub fn max_list_bytes(&self) -> usize {
        (self.endpoint_list() / 2 / LIST_BUFFERS).min(MAX_LIST_BYTES) as usize
    }
}

/// Status file of this process, proc_pid_status(5).
const STATUS_FILE: &str = "/proc/self/status";
/// Line of the status file with the resident memory, in units of 1,024 bytes.
const RESIDENT_LINE: &str = "VmRSS:";
/// Bytes in a unit of [`RESIDENT_LINE`].
const STATUS_UNIT_BYTES: u64 = 1024;

/// Returns the resident memory of this process in bytes, with program text and mapped files. Returns `None` on a system
/// without the status file.
pub fn resident_bytes() -> Option<u64> {
    parse_resident_bytes(&std::fs::read_to_string(STATUS_FILE).ok()?)
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(RESIDENT_LINE))?;
    let units: u64 = value.split_whitespace().next()?.parse().ok()?;
    Some(units * STATUS_UNIT_BYTES)
}

#[cfg(test)]
mod tests;
