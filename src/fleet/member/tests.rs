//! Tests of `member`, and members for the tests of other modules.
use super::*;

pub(crate) fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + n).into()
}

pub(crate) fn member(n: u16, incarnation: u64) -> Member {
    Member { address: address(n), name: format!("n{n}"), incarnation }
}

#[test]
fn of_two_members_exactly_one_supersedes_the_other() {
    let (earlier, later) = (member(9, 1), member(1, 2));
    assert!(later.supersedes(&earlier) && !earlier.supersedes(&later), "the later incarnation");
    let (one, other) = (member(1, 5), member(2, 5));
    assert!(other.supersedes(&one) && !one.supersedes(&other), "the name decides a tie");
    assert!(!one.supersedes(&one));
}
