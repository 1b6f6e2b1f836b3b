//! How fast the fleet learns of a change where datagrams arrive, as formulas. The lab checks them.
use super::dissemination::GOSSIP_INTERVAL;
use crate::fleet::membership::PROBE_PERIOD;
use crate::fleet::suspicion::MIN_TIMEOUT;
use std::time::Duration;

/// Time until all `others` know of a crash: until a member probes the crashed one, the end of that probe, the suspicion,
/// and the dissemination.
///
/// With n members about n probes are sent in each period, each to a random member, so that all of them miss the crashed
/// one for k periods with the probability e^-k: six periods stand for a round.
pub fn crash_detection_bound(others: usize) -> Duration {
    let probed = if others < 3 { PROBE_PERIOD * others.max(1) as u32 } else { PROBE_PERIOD * 6 };
    let probe_ended = PROBE_PERIOD * 2;
    probed + probe_ended + MIN_TIMEOUT + dissemination_bound(others)
}

/// Time until all `others` know of a change: each passes it on to three members, ten times a second.
pub fn dissemination_bound(others: usize) -> Duration {
    let rounds = (others.max(2) as f64).log(4.0).ceil() as u32 + 2;
    GOSSIP_INTERVAL * rounds
}
