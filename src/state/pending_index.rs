//! The pending messages of a destination, indexed by deadline and by arrival, so that no question of a round
//! needs a scan of all of them. No decision is taken here; `logic` defines a message's value and which ones
//! may be sent.
//!
//! Messages of one class lose value alike: the value that is left depends on the deadline alone. So the
//! message with the least value, or the largest loss by waiting, is next to one of a few points in time.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What messages that are treated alike have in common. The first to arrive of a group mostly has the least
/// time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey {
    /// Their class.
    pub class: usize,
    /// Zone of their first attempt that may have run, if there was one.
    pub first_run_zone: Option<usize>,
    /// Attempts so far.
    pub attempts: u32,
}

/// Place of a message in its group, ordered by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// When it is given up.
    pub deadline: Nanos,
    /// Sequence number of its arrival in this index.
    pub arrival: u64,
    /// Which message it is.
    pub id: MessageId,
}

/// Messages of a group by deadline, and by arrival: of those with the same value the first to arrive goes
/// first.
#[derive(Default)]
struct Group {
    /// Earliest deadline first.
    by_deadline: BTreeSet<Position>,
    /// First arrival first.
    by_arrival: BTreeMap<u64, Position>,
}

impl Group {
    /// Adds a message.
    fn insert(&mut self, position: Position) {
        self.by_deadline.insert(position);
        self.by_arrival.insert(position.arrival, position);
    }

    /// Removes a message.
    fn remove(&mut self, position: &Position) {
        self.by_deadline.remove(position);
        self.by_arrival.remove(&position.arrival);
    }
}

/// The pending messages of a destination.
#[derive(Default)]
pub(crate) struct PendingIndex {
    /// Where each message stands.
    positions: HashMap<u64, (GroupKey, Position)>,
    /// All messages.
    all: BTreeMap<GroupKey, Group>,
    /// Messages that no earlier message of their ordering key holds up.
    unblocked: BTreeMap<GroupKey, Group>,
    /// Number of the last arrival.
    last_arrival: u64,
}

impl PendingIndex {
    /// How many messages it holds.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a message that is not in the index.
    pub fn insert(&mut self, id: MessageId, group: GroupKey, deadline: Nanos, unblocked: bool) {
        self.last_arrival += 1;
        let position = Position { deadline, arrival: self.last_arrival, id };
        self.positions.insert(id.0, (group, position));
        self.all.entry(group).or_default().insert(position);
        if unblocked {
            self.unblock(id);
        }
    }

    /// Notes that no earlier message holds it up any more; does nothing if it is not in the index.
    pub fn unblock(&mut self, id: MessageId) {
        if let Some((group, position)) = self.positions.get(&id.0) {
            self.unblocked.entry(*group).or_default().insert(*position);
        }
    }

    /// Removes a message; does nothing if it is not in the index.
    pub fn remove(&mut self, id: MessageId) {
        let Some((key, position)) = self.positions.remove(&id.0) else { return };
        for groups in [&mut self.all, &mut self.unblocked] {
            let Some(group) = groups.get_mut(&key) else { continue };
            group.remove(&position);
            if group.by_deadline.is_empty() {
                groups.remove(&key);
            }
        }
    }

    /// Of each group the message with the earliest deadline, and the first and the last to arrive.
    pub fn extremes(&self) -> impl Iterator<Item = Position> + '_ {
        self.all.values().flat_map(extremes_of_group).flatten()
    }

    /// The messages that are not blocked, group by group in the order of their arrival.
    pub fn unblocked(&self) -> impl Iterator<Item = MessageId> + '_ {
        let positions = self.unblocked.values().flat_map(|group| group.by_arrival.values());
        positions.map(|position| position.id)
    }

    /// Of each group the unblocked messages that are `eligible` and next to one of the points in time, on
    /// either side, and the first one to arrive. `points` gives the points of a class.
    pub fn nearest<'a, const N: usize>(
        &'a self, points: impl Fn(usize) -> [Nanos; N] + 'a, eligible: impl Fn(MessageId) -> bool + 'a,
    ) -> impl Iterator<Item = Position> + 'a {
        self.unblocked
            .iter()
            .flat_map(move |(key, group)| nearest_of_group(group, points(key.class), &eligible))
    }
}

/// The earliest deadline, the first and the last arrival of a group.
fn extremes_of_group(group: &Group) -> [Option<Position>; 3] {
    let mut arrivals = group.by_arrival.values().copied();
    [group.by_deadline.first().copied(), arrivals.next(), arrivals.next_back()]
}

/// The eligible messages of a group next to the points, and the first arrival.
fn nearest_of_group<const N: usize>(
    group: &Group, points: [Nanos; N], eligible: &impl Fn(MessageId) -> bool,
) -> Vec<Position> {
    let is_eligible = |position: &&Position| eligible(position.id);
    let mut found = Vec::new();
    for deadline in points {
        let point = Position { deadline, arrival: u64::MAX, id: MessageId(u64::MAX) };
        found.extend(group.by_deadline.range(..=point).rev().find(is_eligible).copied());
        found.extend(group.by_deadline.range(point..).find(is_eligible).copied());
    }
    found.extend(group.by_arrival.values().find(is_eligible).copied());
    found
}

#[cfg(test)]
mod tests;
