//! Tests of the errors after which the daemon tries again.
use super::DaemonError;
use rstest::rstest;
use std::io::{self, ErrorKind};

#[rstest]
#[case::disk_full(io::Error::from_raw_os_error(28), true)]
#[case::device_fails(io::Error::from_raw_os_error(5), true)]
#[case::no_descriptor(io::Error::from_raw_os_error(24), true)]
#[case::no_permission(ErrorKind::PermissionDenied.into(), false)]
#[case::address_in_use(ErrorKind::AddrInUse.into(), false)]
#[case::not_a_folder(ErrorKind::NotADirectory.into(), false)]
fn only_errors_that_pass_by_themselves_are_tried_again(#[case] error: io::Error, #[case] expected: bool) {
    assert_eq!(DaemonError::Journal(error).may_pass(), expected);
}
