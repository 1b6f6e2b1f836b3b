//! Tests of the status file's format.
use super::{parse_resident_bytes, resident_bytes};

#[test]
fn the_resident_memory_is_read_from_the_status_file() {
    let status = "Name:\tmicaladder\nVmHWM:\t    9000 kB\nVmRSS:\t    8124 kB\nThreads:\t1\n";
    assert_eq!(parse_resident_bytes(status), Some(8124 * 1024));
    assert_eq!(parse_resident_bytes("Name:\tmicaladder\n"), None);
    assert!(resident_bytes().is_some_and(|bytes| bytes > 0));
}
