//! Endpoints that operators take out by hand and call back, and the count of those that are listed and avoided.
use super::orders::Member;
use super::Core;
use crate::interface::{DestId, Entry, Event, Hint, HostId, Listed, Nanos, News};
use crate::journal::{End, Record};
use crate::metrics::{Ending, Metrics};
use std::sync::Arc;

/// Endpoints that are out by hand at once, and those remembered that are listed no more. Bounds what the journal keeps.
const SUSPENDED_MOST: usize = 256;
const RETIRED_MOST: usize = 1024;
/// Endpoints that are avoided are counted so often, in seconds: the metrics may be half a second old.
const COUNT_EACH: f64 = 0.1;

/// What came of an operator's word on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hand {
    /// It holds, and the journal has it.
    Done,
    /// No such endpoint was ever listed here.
    Unknown,
    /// As many are out by hand as may be: call one back first.
    Full,
    /// The journal could not be written: what was in force stays. See the log, and ask again.
    Unwritten,
}

/// How a message's end is counted; none where its client ended it.
pub(super) fn ending(end: End) -> Option<Ending> {
    match end {
        End::Delivered => Some(Ending::Fulfilled),
        End::Undeliverable => Some(Ending::Faulted),
        End::Deferred(_) => Some(Ending::Throttled),
        End::Withdrawn => None,
    }
}

impl Core {
    /// An operator takes an endpoint out (`out`) or calls it back. From `Done` on, nothing new goes to one that is out,
    /// whatever discovery says, and a restart knows of it.
    pub fn hand(&mut self, now: Nanos, uid: String, out: bool) -> Hand {
        if !self.uids.contains_key(&uid) && !self.suspended.contains(&uid) && !self.retired.contains(&uid) {
            return Hand::Unknown;
        }
        if self.suspended.contains(&uid) == out {
            return Hand::Done;
        }
        if out && self.suspended.len() >= SUSPENDED_MOST {
            return Hand::Full;
        }
        if !self.ledger.first(now, &Record::Suspended { uid: uid.clone(), out }) {
            return Hand::Unwritten;
        }
        log::warn!(host = uid, out; "by an operator's hand");
        let host = self.uids.get(&uid).copied();
        self.suspend(uid, out);
        if let Some((host, member)) = host.and_then(|h| Some((h, self.hosts.get(&h)?))) {
            let entries = vec![self.entry(host, member)];
            self.events.push(Event::List { whole: false, entries });
            if !out {
                // Guards an endpoint that was restarted meanwhile: it returns cold, as after an outage.
                let (news, age) = (News::Back { since: Nanos(0) }, Nanos(0));
                self.events.push(Event::Hint(Hint { host, news, age }));
            }
            // At once: a try that waits for its connection is asked anew, and that counts what has been taken in.
            self.wake = Some(now);
        }
        Hand::Done
    }

    /// Keeps who is out, as an operator said or the journal says.
    pub(super) fn suspend(&mut self, uid: String, out: bool) {
        if out {
            self.suspended.insert(uid);
        } else {
            self.suspended.remove(&uid);
        }
    }

    /// A member as the module is told of it.
    pub(super) fn entry(&self, host: HostId, m: &Member) -> Entry {
        // Guards "out by hand": to the module it is a drain, which it keeps already.
        let out = m.state == Listed::Running && self.suspended.contains(&m.uid);
        let state = if out { Listed::Stopping } else { m.state };
        Entry { host, zone: m.zone, kind: m.kind, dest: DestId(m.dest), state, rate: m.rate }
    }

    /// It is listed no more.
    pub(super) fn forget_listed(&mut self, uid: &str) {
        if self.retired.len() >= RETIRED_MOST {
            self.retired.pop_front();
        }
        self.retired.push_back(uid.to_string());
    }

    /// The metrics, which are kept up from now on.
    pub fn shown(&mut self, now: Nanos) -> Arc<Metrics> {
        self.count_at = Some(now);
        self.wake = Some(now);
        self.metrics.clone()
    }

    /// Keeps the metrics up that tell how things stand, where somebody is shown them.
    pub(super) fn count(&mut self) {
        let Some(at) = self.count_at else { return };
        self.metrics.set_open(self.open);
        if self.now >= at {
            self.count_at = Some(self.now + COUNT_EACH);
            let listed = self.hosts.iter().filter(|(_, m)| m.state != Listed::Gone);
            let avoided = |(host, m): &(&HostId, &Member)| {
                self.entry(**host, m).state != Listed::Running || self.balancer.avoids(**host)
            };
            let (all, out) = (listed.clone().count(), listed.filter(avoided).count());
            self.metrics.set_endpoints(all, out);
        }
    }
}
