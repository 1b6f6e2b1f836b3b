//! Tests of `trust`.
use super::*;

#[test]
fn the_name_is_a_name() {
    assert!(matches!(server_name(), ServerName::DnsName(n) if n.as_ref() == CERTIFICATE_NAME));
}
