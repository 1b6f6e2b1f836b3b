//! Tests of `teachers`.
use super::*;
use crate::fleet::member::tests::{address, member};
use crate::peers::rotation::SHUNNED;

#[test]
fn three_teach_and_one_that_ended_is_left_alone_for_a_while() {
    let mut teachers = Sources::new(address(0), vec![address(1), address(0)], 7);
    assert_eq!(teachers.choose(0.0, &[]), [address(1)], "seeds are there from the start");
    let members: Vec<Member> = (0..9).map(|n| member(n, 1)).collect();
    let chosen = teachers.choose(0.0, &members);
    assert_eq!(chosen.len(), MAX_SOURCES - 1);
    assert!(!chosen.contains(&address(0)) && !chosen.contains(&address(1)));
    assert!(teachers.choose(0.1, &members).is_empty());
    teachers.ended(1.0, address(1), SHUNNED);
    for n in 0..50 {
        let now = 1.0 + f64::from(n);
        for one in teachers.choose(now, &members) {
            assert_ne!(one, address(1));
            teachers.ended(now, one, 0.0);
        }
    }
}
