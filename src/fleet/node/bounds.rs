//! Upper bounds of the time until all members know of a change, if no datagrams are lost. The lab checks them.
use super::dissemination::GOSSIP_INTERVAL;
use crate::fleet::membership::PROBE_PERIOD;
use crate::fleet::suspicion::MIN_TIMEOUT;
use std::time::Duration;

/// Returns the time until all `others` know of a crash: the time until a member probes the crashed one, the end of that
/// probe, the suspicion timeout and the dissemination.
///
/// With n members, about n probes are sent in each period, each to a random member. The probability that no probe hits the
/// crashed member in k periods is e^-k, so six periods are assumed.
pub fn crash_detection_bound(others: usize) -> Duration {
    let until_probe = if others < 3 { PROBE_PERIOD * others.max(1) as u32 } else { PROBE_PERIOD * 6 };
    let probe_duration = PROBE_PERIOD * 2;
    until_probe + probe_duration + MIN_TIMEOUT + dissemination_bound(others)
}

/// Returns the time until all `others` know of a change: each member sends it to three members, ten times per second.
pub fn dissemination_bound(others: usize) -> Duration {
    let rounds = (others.max(2) as f64).log(4.0).ceil() as u32 + 2;
    GOSSIP_INTERVAL * rounds
}
