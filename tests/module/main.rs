//! The decision module driven through its public interface: one test for each rule, mechanism and failure
//! found.
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

/// A forwarder with one endpoint, 1, of destination 10.
fn one_endpoint() -> Forwarder {
    Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0)])
}

/// Sends messages one by one and has them served, so that the endpoint has a latency.
fn serve_some(r: &mut Forwarder, from: u64, dest: u64, count: u64) {
    for id in from..from + count {
        let m = r.message(id, IDEMPOTENT, dest);
        assert_eq!(sends(&r.step(100, &[m])).len(), 1, "message {id}");
        r.step(100, &[ended(id, 0, Outcome::Ok, 100)]);
    }
}
