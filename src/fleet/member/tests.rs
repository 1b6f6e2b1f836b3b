//! Members for the tests of this package and of those above it.
use super::*;

pub(crate) fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + n).into()
}

pub(crate) fn member(n: u16, incarnation: u64) -> Member {
    Member { address: address(n), name: format!("n{n}"), incarnation }
}
