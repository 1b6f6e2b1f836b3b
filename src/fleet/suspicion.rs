//! How long a member that does not answer is only suspected, and how far this one's own slowness counts against its
//! judgement: the ideas of Lifeguard (Dadgar, Phillips and Currey, DSN 2018) beside foca, which has none of them. Pure.
//!
//! A suspicion ends a member after `LONG`, and sooner the more others say of their own that it has not answered them:
//! with `ENOUGH` of them after `SHORT`. Who suspects also tells the member itself, which can say otherwise at once. A
//! member whose own probes fail often slows its probing down: more likely it is slow itself.
use super::fault_injection::broken;
use super::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Long enough for a member that lives to hear of it and to be heard, though datagrams are lost and take their time.
pub const SHORT: Duration = Duration::from_millis(2500);
/// Without a word from others: it may be this one that hears nobody.
pub const LONG: Duration = Duration::from_secs(6);
/// So many others need to say the same, or all there are.
const ENOUGH: usize = 2;
/// A probe takes up to so many times as long while this one's own probes fail.
const SLOW_MOST: u32 = 4;

/// How long a suspicion lasts that so many others share, of so many that could.
pub fn lasts(shared: usize, could: usize) -> Duration {
    let enough = could.min(ENOUGH);
    let share = match enough {
        0 => 1.0,
        _ => ((shared.min(enough) + 1) as f64).ln() / ((enough + 1) as f64).ln(),
    };
    let lasts = LONG - (LONG - SHORT).mul_f64(share);
    if broken("suspicion is short") {
        lasts / 10
    } else {
        lasts
    }
}

struct Suspect {
    of: Member,
    /// foca's number of what it doubts: a member that answers raises it.
    number: u16,
    since: Duration,
    /// Who else says so.
    by: BTreeSet<SocketAddr>,
    /// foca's, where this one's own probe has failed.
    timer: Option<foca::Timer<Member>>,
}

impl Suspect {
    fn ends(&self, others: usize) -> Duration {
        let doubters = self.by.len() + usize::from(self.timer.is_some());
        if broken("suspicion never ends") {
            return self.since + Duration::from_secs(86_400);
        }
        self.since + lasts(doubters.saturating_sub(1), others.saturating_sub(1))
    }
}

/// A suspicion that ends: of whom, under which number, and foca's timer where this one's own probe has failed.
pub type Over = (Member, u16, Option<foca::Timer<Member>>);

/// Who is suspected by this one, and how far it trusts itself. Times are this one's own.
#[derive(Default)]
pub struct SuspicionTracker {
    suspects: BTreeMap<SocketAddr, Suspect>,
    slow: u32,
    failed: bool,
}

impl SuspicionTracker {
    fn entry(&mut self, now: Duration, of: &Member, number: u16) -> &mut Suspect {
        let fresh = || Suspect { of: of.clone(), number, since: now, by: BTreeSet::new(), timer: None };
        let suspect = self.suspects.entry(of.address).or_insert_with(fresh);
        // foca says so again with each probe that fails: the suspicion is the same until the member has answered it.
        // Measured without this line: a crash among three was known after 10 s.
        if (&suspect.of, suspect.number) != (of, number) || broken("suspicion begins anew") {
            *suspect = fresh();
        }
        suspect
    }

    /// A probe of this one's own has failed, and foca suspects the member; its timer waits here.
    pub fn suspect(&mut self, now: Duration, of: &Member, number: u16, timer: foca::Timer<Member>) {
        self.entry(now, of, number).timer = Some(timer);
    }

    /// Another one has not been answered either. Also who has not probed the member itself may find it dead by that: in
    /// a large fleet few have.
    pub fn shared(&mut self, now: Duration, of: &Member, number: u16, by: SocketAddr) {
        let suspect = self.entry(now, of, number);
        // Bounded: more would not shorten it.
        if suspect.by.len() <= ENOUGH {
            suspect.by.insert(by);
        }
    }

    /// Suspicions that end now; `others` is how many members there are beside this one.
    pub fn due(&mut self, now: Duration, others: usize) -> Vec<Over> {
        let over = |s: &Suspect| now >= s.ends(others);
        let due: Vec<SocketAddr> = self.suspects.iter().filter(|(_, s)| over(s)).map(|(a, _)| *a).collect();
        due.iter().filter_map(|a| self.suspects.remove(a)).map(|s| (s.of, s.number, s.timer)).collect()
    }

    /// When the next one ends, as things are.
    pub fn next(&self, others: usize) -> Option<Duration> {
        self.suspects.values().map(|s| s.ends(others)).min()
    }

    /// Whoever is suspected no more is forgotten.
    pub fn keep(&mut self, suspected: impl Fn(&Member, u16) -> bool) {
        self.suspects.retain(|_, s| suspected(&s.of, s.number));
    }

    /// Whether anybody is suspected.
    pub fn any(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// A probe of this one's own was not answered: it may be slow itself, unless others suspect that member too.
    pub fn failed(&mut self, of: &Member) {
        if self.suspects.get(&of.address).is_none_or(|s| s.of != *of) {
            self.failed = true;
            self.slow = (self.slow + 1).min(SLOW_MOST - 1);
        }
    }

    /// A round of probing begins: the one before went well unless it was told to have failed.
    pub fn round(&mut self) {
        if !std::mem::take(&mut self.failed) {
            self.slow = self.slow.saturating_sub(1);
        }
    }

    /// How many times as long a probe takes now.
    pub fn pace(&self) -> u32 {
        1 + self.slow
    }
}

#[cfg(test)]
mod tests;
