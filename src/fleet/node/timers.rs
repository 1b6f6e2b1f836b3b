//! foca's timers until they are due.
use crate::fleet::member::Member;
use std::collections::BTreeMap;
use std::time::Duration;

type Timer = foca::Timer<Member>;

/// Timers by active time. Those for the same moment are due in the order in which they were set.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<(Duration, u64), Timer>,
    last_id: u64,
}

impl TimerQueue {
    pub(super) fn insert(&mut self, at: Duration, timer: Timer) {
        self.last_id += 1;
        self.timers.insert((at, self.last_id), timer);
    }

    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.timers.first_entry()?;
        let (at, _) = *first.key();
        if at > now {
            return None;
        }
        Some(first.remove())
    }

    pub(super) fn next_at(&self) -> Option<Duration> {
        self.timers.keys().next().map(|(at, _)| *at)
    }
}
