//! The queue of foca's timers.
use crate::fleet::member::Member;
use std::collections::BTreeMap;
use std::time::Duration;

type Timer = foca::Timer<Member>;

/// Timers in order of their active time. Timers for the same time are due in the order in which they were set.
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
