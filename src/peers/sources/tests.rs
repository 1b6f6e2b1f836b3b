//! Tests of `sources`.
use super::*;
use crate::fleet::member::tests::{address, member};
use crate::peers::rotation::REJECTED_BACKOFF_SECS;

#[test]
fn selects_three_sources_at_a_time_and_none_in_backoff() {
    let mut sources = Sources::new(address(0), vec![address(1), address(0)], 7);
    assert_eq!(sources.select(0.0, &[]), [address(1)], "seeds are candidates from the start");
    let members: Vec<Member> = (0..9).map(|n| member(n, 1)).collect();
    let selected = sources.select(0.0, &members);
    assert_eq!(selected.len(), MAX_SOURCES - 1);
    assert!(!selected.contains(&address(0)) && !selected.contains(&address(1)));
    assert!(sources.select(0.1, &members).is_empty());
    sources.release(1.0, address(1), REJECTED_BACKOFF_SECS);
    for n in 0..50 {
        let now = 1.0 + f64::from(n);
        for peer in sources.select(now, &members) {
            assert_ne!(peer, address(1));
            sources.release(now, peer, 0.0);
        }
    }
}
