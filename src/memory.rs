//! The resident memory of this process, as the kernel reports it.
#![warn(missing_docs)]

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
