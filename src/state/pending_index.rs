//! An index of the pending messages of a destination, ordered by deadline and by arrival, so that no query of
//! a round scans all messages. `logic` defines the value of a message and which messages may be sent.
//!
//! The remaining value of a message depends only on its class and its deadline. The message with the lowest
//! value, or with the largest loss by waiting, therefore has a deadline next to one of a few points in time.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Identifies a group of messages that are treated alike. The first message of a group to arrive usually has
/// the least time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey {
    /// Class of the messages.
    pub class: usize,
    /// Zone of the first attempt that may have run, if any.
    pub first_run_zone: Option<usize>,
    /// Number of attempts so far.
    pub attempts: u32,
}

/// Position of a message in its group, ordered by deadline and then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// Time at which delivery is given up.
    pub deadline: Nanos,
    /// Sequence number of the arrival in this index.
    pub arrival: u64,
    /// Identifier of the message.
    pub id: MessageId,
}

/// The messages of a group by deadline and by arrival. Of messages with the same value, the first to arrive
/// is sent first.
#[derive(Default)]
struct Group {
    /// Messages ordered by deadline, earliest first.
    by_deadline: BTreeSet<Position>,
    /// Messages ordered by arrival, earliest first.
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
    /// Group and position of each message.
    positions: HashMap<u64, (GroupKey, Position)>,
    /// All messages.
    all: BTreeMap<GroupKey, Group>,
    /// Messages that are not blocked by an earlier message of their ordering key.
    unblocked: BTreeMap<GroupKey, Group>,
    /// Sequence number of the last arrival.
    last_arrival: u64,
}

impl PendingIndex {
    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the index is empty.
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

    /// Marks a message as no longer blocked by an earlier message of its ordering key. Does nothing if the
    /// message is not in the index.
    pub fn unblock(&mut self, id: MessageId) {
        if let Some((group, position)) = self.positions.get(&id.0) {
            self.unblocked.entry(*group).or_default().insert(*position);
        }
    }

    /// Removes a message. Does nothing if the message is not in the index.
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

    /// Returns, for each group, the message with the earliest deadline and the first and the last message to
    /// arrive.
    pub fn extremes(&self) -> impl Iterator<Item = Position> + '_ {
        self.all.values().flat_map(extremes_of_group).flatten()
    }

    /// Returns the messages that are not blocked, group by group in the order of their arrival.
    pub fn unblocked(&self) -> impl Iterator<Item = MessageId> + '_ {
        let positions = self.unblocked.values().flat_map(|group| group.by_arrival.values());
        positions.map(|position| position.id)
    }

    /// Returns, for each group, the unblocked `eligible` messages whose deadlines are next to one of the
    /// points in time on either side, and the first eligible message to arrive. `points` gives the points of
    /// a class.
    pub fn nearest<'a, const N: usize>(
        &'a self, points: impl Fn(usize) -> [Nanos; N] + 'a, eligible: impl Fn(MessageId) -> bool + 'a,
    ) -> impl Iterator<Item = Position> + 'a {
        self.unblocked
            .iter()
            .flat_map(move |(key, group)| nearest_of_group(group, points(key.class), &eligible))
    }
}

/// Returns the earliest deadline and the first and the last arrival of a group.
fn extremes_of_group(group: &Group) -> [Option<Position>; 3] {
    let mut arrivals = group.by_arrival.values().copied();
    [group.by_deadline.first().copied(), arrivals.next(), arrivals.next_back()]
}

/// Returns the eligible messages of a group next to the points, and the first eligible arrival.
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
