//! What of its own experience a forwarder still has to tell one neighbour, without I/O: all of it at first, then what
//! changed.
use super::frame::Item;
use crate::interface::{Nanos, News};
use std::collections::HashMap;
use std::mem::{discriminant, Discriminant};

/// News that only grew older is told anew after so long, in seconds: a sight of a second ago counts for more than one
/// of a minute ago, and more often is more bytes for little.
const AFRESH: f64 = 1.0;
/// That an endpoint is well, and how fast, is worth less.
const WELL_AFRESH: f64 = 5.0;
/// A pace or a latency that moved by less, as a share, is the same.
const SAME: f64 = 0.2;
/// Two ends of one wait, or two beginnings of one outage, in seconds.
const SAME_TIME: f64 = 0.05;

/// One thing that was told, in this forwarder's own time.
struct Told {
    news: News,
    /// When it was seen, and when it was told.
    seen: Nanos,
    at: Nanos,
}

/// What one neighbour has been told.
#[derive(Default)]
pub struct Telling {
    told: HashMap<(String, Discriminant<News>), Told>,
}

impl Telling {
    /// What is to be told now of all that is known.
    pub fn due(&mut self, now: Nanos, known: &[Item]) -> Vec<Item> {
        let mut due = Vec::new();
        for item in known {
            let key = (item.uid.clone(), topic(&item.news));
            let seen = now - item.age;
            if self.told.get(&key).is_some_and(|t| !t.needs(now, seen, &item.news)) {
                continue;
            }
            self.told.insert(key, Told { news: item.news, seen, at: now });
            due.push(item.clone());
        }
        // Bounded by what is known: what is known no more is forgotten here too.
        if self.told.len() > 2 * known.len() + 64 {
            let keys: std::collections::HashSet<_> =
                known.iter().map(|i| (i.uid.clone(), topic(&i.news))).collect();
            self.told.retain(|key, _| keys.contains(key));
        }
        due
    }
}

/// Out, back and well are states of one thing; of each thing only the last word counts.
fn topic(news: &News) -> Discriminant<News> {
    match news {
        News::Out { .. } | News::Back { .. } | News::Well { .. } => {
            discriminant(&News::Back { since: Nanos(0) })
        }
        News::Wait { .. } | News::Pace { .. } | News::Room { .. } => discriminant(news),
    }
}

impl Told {
    fn needs(&self, now: Nanos, seen: Nanos, news: &News) -> bool {
        let apart = |a: f64, b: f64| (a - b).abs() > SAME * b.abs().max(1e-6);
        // A span of now against one that was told then.
        let moved =
            |then: Nanos, now_: f64| (self.at.secs() + then.secs() - now.secs() - now_).abs() > SAME_TIME;
        let began = |then: Nanos, now_: Nanos| {
            ((self.at.secs() - then.secs()) - (now.secs() - now_.secs())).abs() > SAME_TIME
        };
        let afresh = seen > self.seen && (now - self.at).secs() >= AFRESH;
        match (self.news, *news) {
            (News::Out { since: a, risky: r }, News::Out { since: b, risky }) => {
                began(a, b) || r != risky || afresh
            }
            (News::Back { since: a }, News::Back { since: b }) => began(a, b) || afresh,
            (News::Well { mean: a, .. }, News::Well { mean: b, .. }) => {
                let long = (now - self.at).secs() >= WELL_AFRESH && seen > self.seen;
                long || apart(b, a) && (now - self.at).secs() >= AFRESH
            }
            (News::Wait { left: a }, News::Wait { left: b }) => moved(a, b.secs()),
            (News::Pace { rate: a }, News::Pace { rate: b }) => apart(b, a) && seen > self.seen || afresh,
            (News::Room { calls: a }, News::Room { calls: b }) => apart(b, a) || afresh,
            (_, _) => true,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(secs: f64) -> Nanos {
        Nanos::from_secs(1000.0 + secs)
    }

    fn item(news: News, age: f64) -> Item {
        Item { uid: "s-1".into(), news, age: Nanos::from_secs(age) }
    }

    #[test]
    fn all_at_first_and_then_what_changed() {
        let mut telling = Telling::default();
        let out = |since: f64, age| item(News::Out { since: Nanos::from_secs(since), risky: true }, age);
        assert_eq!(telling.due(at(0.0), &[out(5.0, 0.5)]).len(), 1);
        // The same outage, a moment later, with no new sight.
        assert!(telling.due(at(0.1), &[out(5.1, 0.6)]).is_empty());
        assert!(telling.due(at(3.0), &[out(8.0, 3.5)]).is_empty(), "nothing was seen since");
        assert_eq!(telling.due(at(3.1), &[out(8.1, 0.1)]).len(), 1, "a new sight of it");
        let back = item(News::Back { since: Nanos::from_secs(0.1) }, 0.0);
        assert_eq!(telling.due(at(3.2), &[back]).len(), 1, "its return, at once");
        // Another outage that began only now.
        assert_eq!(telling.due(at(3.3), &[out(0.1, 0.0)]).len(), 1);
    }

    #[test]
    fn a_wait_is_told_once_however_much_of_it_is_left() {
        let mut telling = Telling::default();
        let wait = |left: f64, age| item(News::Wait { left: Nanos::from_secs(left) }, age);
        assert_eq!(telling.due(at(0.0), &[wait(4.0, 0.0)]).len(), 1);
        for tenth in 1..30 {
            let past = f64::from(tenth) / 10.0;
            assert!(telling.due(at(past), &[wait(4.0 - past, past)]).is_empty());
        }
        assert_eq!(telling.due(at(3.0), &[wait(2.0, 0.0)]).len(), 1, "another wait");
    }

    #[test]
    fn an_endpoint_that_is_well_costs_little() {
        let mut telling = Telling::default();
        let mut told = 0;
        for tenth in 0..600 {
            let well = item(News::Well { mean: 0.1 + 0.001 * f64::from(tenth % 7), dev: 0.01 }, 0.0);
            told += telling.due(at(f64::from(tenth) / 10.0), &[well]).len();
        }
        assert!((10..=14).contains(&told), "{told} in a minute");
    }

    #[test]
    fn what_is_known_no_more_is_forgotten() {
        let mut telling = Telling::default();
        for n in 0..10_000 {
            let mut one = item(News::Back { since: Nanos(0) }, 0.0);
            one.uid = format!("s-{n}");
            telling.due(at(f64::from(n)), &[one]);
        }
        assert!(telling.told.len() < 100);
    }
}
