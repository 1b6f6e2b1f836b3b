//! How long a member that does not answer probes is only suspected, and how far this member's own slowness counts against
//! its judgement: the ideas of Lifeguard (Dadgar, Phillips and Currey, DSN 2018), which foca does not have. Pure.
//!
//! A suspicion expires after `MAX_TIMEOUT`, and sooner the more other members confirm from their own probes that the
//! suspect has not answered: with `CONFIRMATIONS_NEEDED` after `MIN_TIMEOUT`. The suspect itself is notified and can refute
//! the suspicion at once. A member whose own probes fail often slows its probing down, as it is probably slow itself.
use super::fault_injection::{is_injected, Defect};
use super::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a confirmed suspicion: long enough for a live suspect to be notified and to answer, though datagrams are
/// lost and delayed.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of a suspicion that nobody confirms: it may be this member that receives nothing.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(6);
/// This many others must confirm a suspicion for `MIN_TIMEOUT`, or all where there are fewer.
const CONFIRMATIONS_NEEDED: usize = 2;
/// Most by which probes are slowed down while this member's own probes fail.
const MAX_PROBE_MULTIPLIER: u32 = 4;

/// Timeout of a suspicion that `confirmations` others share, of `possible` that could.
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
    /// foca's number of the suspected state: a suspect that refutes a suspicion raises it.
    swim_incarnation: u16,
    since: Duration,
    /// Others whose probes of the suspect failed.
    confirmed_by: BTreeSet<SocketAddr>,
    /// foca's timer, where this member's own probe has failed.
    timer: Option<foca::Timer<Member>>,
}

impl Suspicion {
    fn new(suspect: Member, swim_incarnation: u16, since: Duration) -> Suspicion {
        Suspicion { suspect, swim_incarnation, since, confirmed_by: BTreeSet::new(), timer: None }
    }

    /// When it expires; `others` is the number of members beside this one.
    fn expires_at(&self, others: usize) -> Duration {
        if is_injected(Defect::SuspicionNeverExpires) {
            return self.since + Duration::from_secs(86_400);
        }
        // Confirmations are those beyond the first accuser, who is this member where its own probe has failed.
        let suspecting_members = self.confirmed_by.len() + usize::from(self.timer.is_some());
        self.since + suspicion_timeout(suspecting_members.saturating_sub(1), others.saturating_sub(1))
    }
}

/// A suspicion that has expired.
#[derive(Debug, PartialEq)]
pub struct ExpiredSuspicion {
    /// The suspect.
    pub suspect: Member,
    /// foca's number of the suspected state.
    pub swim_incarnation: u16,
    /// foca's timer that declares the suspect dead, where this member's own probe has failed.
    pub timer: Option<foca::Timer<Member>>,
}

/// Whom this member suspects, and how far it trusts its own probes. Times are those of the node's active clock.
#[derive(Default)]
pub struct SuspicionTracker {
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    /// 0 for a member whose probes succeed; one less than the factor by which probes are slowed down.
    local_health_score: u32,
    /// A probe of the current round has failed.
    has_probe_failed: bool,
}

impl SuspicionTracker {
    fn entry(&mut self, now: Duration, suspect: &Member, swim_incarnation: u16) -> &mut Suspicion {
        let start = || Suspicion::new(suspect.clone(), swim_incarnation, now);
        let suspicion = self.suspicions.entry(suspect.address).or_insert_with(start);
        // foca reports the suspect again with each probe that fails: it is one suspicion until the suspect refutes it.
        // Measured without this condition: a crash among three members was detected after 10 s.
        let is_same = suspicion.suspect == *suspect && suspicion.swim_incarnation == swim_incarnation;
        if !is_same || is_injected(Defect::SuspicionRestarts) {
            *suspicion = start();
        }
        suspicion
    }

    /// Starts a suspicion as this member's own probe has failed; foca's timer waits here until it expires.
    pub fn suspect(
        &mut self, now: Duration, suspect: &Member, swim_incarnation: u16, timer: foca::Timer<Member>,
    ) {
        self.entry(now, suspect, swim_incarnation).timer = Some(timer);
    }

    /// Another member's probe has failed. It starts a suspicion here as well: in a large fleet few probe the suspect
    /// themselves.
    pub fn confirm(&mut self, now: Duration, suspect: &Member, swim_incarnation: u16, by: SocketAddr) {
        let suspicion = self.entry(now, suspect, swim_incarnation);
        // Bounded: further confirmations do not shorten the timeout.
        if suspicion.confirmed_by.len() <= CONFIRMATIONS_NEEDED {
            suspicion.confirmed_by.insert(by);
        }
    }

    /// Takes the suspicions that have expired; `others` is the number of members beside this one.
    pub fn remove_expired(&mut self, now: Duration, others: usize) -> Vec<ExpiredSuspicion> {
        let expired: Vec<SocketAddr> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| now >= suspicion.expires_at(others))
            .map(|(address, _)| *address)
            .collect();
        let taken = expired.iter().filter_map(|address| self.suspicions.remove(address));
        taken
            .map(|Suspicion { suspect, swim_incarnation, timer, .. }| ExpiredSuspicion {
                suspect,
                swim_incarnation,
                timer,
            })
            .collect()
    }

    /// When the next suspicion expires, unless further confirmations come.
    pub fn next_expiry(&self, others: usize) -> Option<Duration> {
        self.suspicions.values().map(|suspicion| suspicion.expires_at(others)).min()
    }

    /// Drops the suspicions that foca no longer has.
    pub fn retain(&mut self, is_suspected: impl Fn(&Member, u16) -> bool) {
        self.suspicions.retain(|_, suspicion| is_suspected(&suspicion.suspect, suspicion.swim_incarnation));
    }

    /// Whether nobody is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// A probe of this member's own was not answered: it may be slow itself, unless others suspect the member as well.
    pub fn note_probe_failure(&mut self, probed: &Member) {
        let is_suspected =
            self.suspicions.get(&probed.address).is_some_and(|suspicion| suspicion.suspect == *probed);
        if !is_suspected {
            self.has_probe_failed = true;
            self.local_health_score = (self.local_health_score + 1).min(MAX_PROBE_MULTIPLIER - 1);
        }
    }

    /// A probe round begins: the one before succeeded unless a failure was noted.
    pub fn begin_probe_round(&mut self) {
        if !self.has_probe_failed {
            self.local_health_score = self.local_health_score.saturating_sub(1);
        }
        self.has_probe_failed = false;
    }

    /// The factor by which probes are slowed down now (Lifeguard's local health multiplier).
    pub fn probe_multiplier(&self) -> u32 {
        1 + self.local_health_score
    }
}

#[cfg(test)]
mod tests;
