//! What is remembered of messages that are over, so that their repeats are answered alike. Found by name and by
//! key, and forgotten in time: the cost of a hand-in does not grow with what was.
use crate::journal::{Journal, Record};
use crate::Nanos;
use std::collections::{BTreeMap, HashMap};

struct Gone {
    name: String,
    repeat_key: String,
    delivered: bool,
}

/// Until when one is remembered, and a number of its own.
type Place = (Nanos, u64);

#[derive(Default)]
pub struct Past {
    gone: BTreeMap<Place, Gone>,
    names: HashMap<String, Place>,
    /// Those that were delivered, by the key by which endpoints know them.
    keys: HashMap<String, Place>,
    next: u64,
    weight: u64,
}

impl Past {
    pub fn add(&mut self, name: String, repeat_key: String, until: Nanos, delivered: bool) {
        self.next += 1;
        let place = (until, self.next);
        self.names.insert(name.clone(), place);
        if delivered && !repeat_key.is_empty() {
            self.keys.insert(repeat_key.clone(), place);
        }
        self.weight += Journal::past_weight(&name, &repeat_key);
        self.gone.insert(place, Gone { name, repeat_key, delivered });
    }

    /// Whether the message of this name, or of this key, was delivered; none if it is not known.
    pub fn delivered(&self, name: &str, repeat_key: &str) -> Option<bool> {
        let place = self.names.get(name).or_else(|| self.keys.get(repeat_key))?;
        self.gone.get(place).map(|g| g.delivered)
    }

    /// Forgets what has had its time.
    pub fn forget(&mut self, now: Nanos) {
        while let Some(entry) = self.gone.first_entry().filter(|e| e.key().0 <= now) {
            let (place, gone) = entry.remove_entry();
            self.weight -= Journal::past_weight(&gone.name, &gone.repeat_key);
            // A later one of the same name or key stands.
            if self.names.get(&gone.name) == Some(&place) {
                self.names.remove(&gone.name);
            }
            if self.keys.get(&gone.repeat_key) == Some(&place) {
                self.keys.remove(&gone.repeat_key);
            }
        }
    }

    /// Bytes that the journal must keep for it.
    pub fn weight(&self) -> u64 {
        self.weight
    }

    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.gone.iter().map(|(place, g)| {
            let (name, repeat_key) = (g.name.clone(), g.repeat_key.clone());
            Record::Past { name, repeat_key, until: place.0 .0, delivered: g.delivered }
        })
    }
}
