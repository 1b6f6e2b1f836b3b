//! Tests of `credentials`.
use super::*;

#[test]
fn the_certificate_name_is_a_dns_name() {
    assert!(matches!(server_name(), ServerName::DnsName(n) if n.as_ref() == CERTIFICATE_NAME));
}
