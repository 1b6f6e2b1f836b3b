//! Tests of the decision module through its public interface: one for each rule, mechanism and failure found.
#[path = "../common/mod.rs"]
mod common;

mod connections;
mod endpoint_list;
mod health;
mod messages;
mod ordering;
mod pacing;
mod robustness;
mod shedding;
mod slots;
mod sources;

use common::*;
use micaladder::*;

/// Returns a forwarder with endpoint 1 of destination 10 only.
fn one_endpoint() -> Forwarder {
    Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0)])
}

/// Sends messages one at a time and answers each after 100 ms, so that the endpoint has a known latency.
fn serve_messages(forwarder: &mut Forwarder, from: u64, dest: u64, count: u64) {
    for id in from..from + count {
        let m = forwarder.message(id, IDEMPOTENT, dest);
        assert_eq!(sends(&forwarder.step(100, &[m])).len(), 1, "message {id}");
        forwarder.step(100, &[attempt_ended(id, 0, Outcome::Ok, 100)]);
    }
}
