//! Suspicion timeouts and local health, after Lifeguard (Dadgar, Phillips and Currey, DSN 2018), which foca does not
//! implement. Does no I/O.
//!
//! A suspicion expires after `MAX_TIMEOUT`. Each other member whose own probe of the suspect fails confirms the suspicion
//! and shortens the timeout, down to `MIN_TIMEOUT` with `CONFIRMATIONS_NEEDED` confirmations. The suspect is notified and
//! can refute the suspicion at once. A member whose probes often fail is probably slow itself, and probes less often.
use super::fault_injection::{is_injected, Defect};
use super::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a fully confirmed suspicion: long enough for a live suspect to be notified and to refute the suspicion
/// although datagrams are lost and delayed.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of a suspicion without confirmations: it may be this member that receives no datagrams.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of confirmations that shorten the timeout to `MIN_TIMEOUT`. If fewer members can confirm, all of them must.
const CONFIRMATIONS_NEEDED: usize = 2;
/// Maximum factor by which probe intervals and timeouts grow while the probes of this member fail.
const MAX_PROBE_MULTIPLIER: u32 = 4;

/// Returns the timeout of a suspicion that `confirmations` of `possible` other members confirm.
pub fn suspicion_timeout(confirmations: usize, possible: usize) -> Duration {
    let needed = possible.min(CONFIRMATIONS_NEEDED);
    let shortened_by = match needed {
        0 => 1.0,
        _ => ((confirmations.min(needed) + 1) as f64).ln() / ((needed + 1) as f64).ln(),
    };
    let timeout = MAX_TIMEOUT - (MAX_TIMEOUT - MIN_TIMEOUT).mul_f64(shortened_by);
    if is_injected(Defect::SuspicionExpiresEarly) {
        return timeout / 10;
    }
    timeout
}

struct Suspicion {
    suspect: Member,
    /// The SWIM incarnation that is suspected. The suspect raises it when it refutes a suspicion.
    swim_incarnation: u16,
    since: Duration,
    /// Other members whose probes of the suspect failed.
    confirmed_by: BTreeSet<SocketAddr>,
    /// foca's timer, if the probe by this member failed.
    timer: Option<foca::Timer<Member>>,
}

impl Suspicion {
    fn new(suspect: Member, swim_incarnation: u16, since: Duration) -> Suspicion {
        Suspicion { suspect, swim_incarnation, since, confirmed_by: BTreeSet::new(), timer: None }
    }

    /// Returns when the suspicion expires; `others` is the number of members without this one.
    fn expires_at(&self, others: usize) -> Duration {
        if is_injected(Defect::SuspicionNeverExpires) {
            return self.since + Duration::from_secs(86_400);
        }
        // The first member starts the suspicion, each further one confirms it. This member counts if its own probe failed.
        let suspecting_members = self.confirmed_by.len() + usize::from(self.timer.is_some());
        self.since + suspicion_timeout(suspecting_members.saturating_sub(1), others.saturating_sub(1))
    }
}

/// A suspicion that has expired.
#[derive(Debug, PartialEq)]
pub struct ExpiredSuspicion {
    /// The suspected member.
    pub suspect: Member,
    /// The SWIM incarnation that was suspected.
    pub swim_incarnation: u16,
    /// foca's timer that declares the suspect dead, if the probe by this member failed.
    pub timer: Option<foca::Timer<Member>>,
}

/// The suspicions of this member and its local health. Times are active time of the node's clock.
#[derive(Default)]
pub struct SuspicionTracker {
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    /// One less than the factor for probe intervals and timeouts (Lifeguard's local health multiplier): 0 while probes
    /// succeed, higher while they fail.
    local_health_score: u32,
    /// Whether a probe of the current round has failed.
    has_probe_failed: bool,
}

impl SuspicionTracker {
    fn entry(&mut self, now: Duration, suspect: &Member, swim_incarnation: u16) -> &mut Suspicion {
        let start = || Suspicion::new(suspect.clone(), swim_incarnation, now);
        let suspicion = self.suspicions.entry(suspect.address).or_insert_with(start);
        // foca reports the suspect again after each failed probe, which must not restart the timeout. Without this
        // condition a crash among three members was detected only after 10 s.
        let is_same = suspicion.suspect == *suspect && suspicion.swim_incarnation == swim_incarnation;
        if !is_same || is_injected(Defect::SuspicionRestarts) {
            *suspicion = start();
        }
        suspicion
    }

    /// Starts a suspicion because the probe by this member failed. Keeps foca's timer until the suspicion expires.
    pub fn suspect(
        &mut self, now: Duration, suspect: &Member, swim_incarnation: u16, timer: foca::Timer<Member>,
    ) {
        self.entry(now, suspect, swim_incarnation).timer = Some(timer);
    }

    /// Notes that the probe by another member failed. Starts a suspicion if there is none: in a large fleet only few
    /// members probe the suspect.
    pub fn confirm(&mut self, now: Duration, suspect: &Member, swim_incarnation: u16, by: SocketAddr) {
        let suspicion = self.entry(now, suspect, swim_incarnation);
        // Further confirmations do not shorten the timeout, so the set is bounded.
        if suspicion.confirmed_by.len() <= CONFIRMATIONS_NEEDED {
            suspicion.confirmed_by.insert(by);
        }
    }

    /// Removes and returns the expired suspicions; `others` is the number of members without this one.
    pub fn remove_expired(&mut self, now: Duration, others: usize) -> Vec<ExpiredSuspicion> {
        let expired: Vec<SocketAddr> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| now >= suspicion.expires_at(others))
            .map(|(address, _)| *address)
            .collect();
        let removed = expired.iter().filter_map(|address| self.suspicions.remove(address));
        removed
            .map(|Suspicion { suspect, swim_incarnation, timer, .. }| ExpiredSuspicion {
                suspect,
                swim_incarnation,
                timer,
            })
            .collect()
    }

    /// Returns when the next suspicion expires, unless further confirmations arrive.
    pub fn next_expiry(&self, others: usize) -> Option<Duration> {
        self.suspicions.values().map(|suspicion| suspicion.expires_at(others)).min()
    }

    /// Removes the suspicions for which `is_suspected` returns `false`.
    pub fn retain(&mut self, is_suspected: impl Fn(&Member, u16) -> bool) {
        self.suspicions.retain(|_, suspicion| is_suspected(&suspicion.suspect, suspicion.swim_incarnation));
    }

    /// Returns whether no member is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Notes that a probe by this member failed. Raises the local health score, unless the probed member is already
    /// suspected: then the cause is more likely that member.
    pub fn note_probe_failure(&mut self, probed: &Member) {
        let is_suspected =
            self.suspicions.get(&probed.address).is_some_and(|suspicion| suspicion.suspect == *probed);
        if !is_suspected {
            self.has_probe_failed = true;
            self.local_health_score = (self.local_health_score + 1).min(MAX_PROBE_MULTIPLIER - 1);
        }
    }

    /// Starts a probe round. Lowers the local health score if no probe of the previous round failed.
    pub fn begin_probe_round(&mut self) {
        if !self.has_probe_failed {
            self.local_health_score = self.local_health_score.saturating_sub(1);
        }
        self.has_probe_failed = false;
    }

    /// Returns the current factor for probe intervals and timeouts.
    pub fn probe_multiplier(&self) -> u32 {
        1 + self.local_health_score
    }
}

#[cfg(test)]
mod tests;
