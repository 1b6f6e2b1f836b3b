//! A destination's held messages, in order, so that nothing that a round asks of them needs a look at all of them. No
//! decision is taken here; `logic.rs` says what a message is worth and which may go.
//!
//! Messages of one class lose worth alike: what is left of one depends on its deadline alone. So a question for the
//! one that is worth least, or that loses most by waiting, is a question for neighbours of a few points in time.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What messages that are treated alike have in common: their class, where their first attempt that may have run went,
/// if there was one, and how often they were tried: among those the first to come has the least time left, mostly.
pub(crate) type Sort = (usize, Option<usize>, u32);

/// By when it has to be delivered, when it came here, and which it is.
pub(crate) type Place = (Nanos, u64, MessageId);

/// Messages of a sort, by deadline and by when they came here: of those that are worth the same the first goes first.
#[derive(Default)]
struct Row {
    by_deadline: BTreeSet<Place>,
    by_arrival: BTreeMap<u64, Place>,
}

impl Row {
    fn insert(&mut self, place: Place) {
        self.by_deadline.insert(place);
        self.by_arrival.insert(place.1, place);
    }
    fn remove(&mut self, place: &Place) {
        self.by_deadline.remove(place);
        self.by_arrival.remove(&place.1);
    }
}

#[derive(Default)]
pub(crate) struct Pile {
    places: HashMap<u64, (Sort, Place)>,
    all: BTreeMap<Sort, Row>,
    /// Those that no earlier message of their key holds up.
    in_turn: BTreeMap<Sort, Row>,
    next: u64,
}

impl Pile {
    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds one that is not there.
    pub fn push(&mut self, id: MessageId, sort: Sort, deadline: Nanos, in_turn: bool) {
        self.next += 1;
        let place = (deadline, self.next, id);
        self.places.insert(id.0, (sort, place));
        self.all.entry(sort).or_default().insert(place);
        if in_turn {
            self.turn(id);
        }
    }

    /// No earlier message holds it up any more; nothing if it is not here.
    pub fn turn(&mut self, id: MessageId) {
        if let Some((sort, place)) = self.places.get(&id.0) {
            self.in_turn.entry(*sort).or_default().insert(*place);
        }
    }

    /// Takes one out; nothing if it is not here.
    pub fn remove(&mut self, id: MessageId) {
        let Some((sort, place)) = self.places.remove(&id.0) else { return };
        for rows in [&mut self.all, &mut self.in_turn] {
            let Some(row) = rows.get_mut(&sort) else { continue };
            row.remove(&place);
            if row.by_deadline.is_empty() {
                rows.remove(&sort);
            }
        }
    }

    /// Of each sort the first to have its time up, and the first and the last that came.
    pub fn ends(&self) -> impl Iterator<Item = Place> + '_ {
        let of = |row: &Row| {
            let mut came = row.by_arrival.values().copied();
            [row.by_deadline.first().copied(), came.next(), came.next_back()]
        };
        self.all.values().flat_map(of).flatten()
    }

    /// Those in turn, sort by sort.
    pub fn in_turn(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.in_turn.values().flat_map(|row| row.by_arrival.values()).map(|place| place.2)
    }

    /// Of each sort those in turn that `fits` and that are next to one of the points in time, and the first that came.
    /// `points` gives a class's.
    pub fn next_to<'a, const N: usize>(
        &'a self, points: impl Fn(usize) -> [Nanos; N] + 'a, fits: impl Fn(MessageId) -> bool + 'a,
    ) -> impl Iterator<Item = Place> + 'a {
        self.in_turn.iter().flat_map(move |(sort, row)| {
            let fit = |place: &&Place| fits(place.2);
            let around = points(sort.0).into_iter().flat_map(|at| {
                let at = (at, u64::MAX, MessageId(u64::MAX));
                let row = &row.by_deadline;
                [row.range(..=at).rev().find(fit), row.range(at..).find(fit)]
            });
            let found: Vec<Place> =
                around.chain([row.by_arrival.values().find(fit)]).flatten().copied().collect();
            found
        })
    }
}

#[cfg(test)]
mod tests;
