//! Generated events against an oracle written apart from the module: every message ends exactly once and in
//! time, and effects, waits, drains, order, attempt and slot limits hold. It makes event sequences, no servers.
mod common;
use common::*;
use micaladder::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// What the oracle knows of one message.
struct Seen {
    class: usize,
    key: Option<u64>,
    deadline: Nanos,
    tries: u32,
    out: Option<(u32, Nanos)>,
    first_maybe: Option<Nanos>,
    ended: bool,
}

#[derive(Default)]
struct Oracle {
    seen: BTreeMap<u64, Seen>,
    waits: BTreeMap<u64, Nanos>,
    rests: BTreeMap<u64, Nanos>,
    draining: Option<u32>,
}

fn dest_of(host: u32) -> u64 {
    u64::from(host % 3)
}

impl Oracle {
    fn check(&mut self, now: Nanos, actions: &[Action], set: &Settings) {
        for a in actions {
            match a {
                Action::Send { id, host, .. } => self.sent(now, id.0, host.0, set),
                Action::Refuse { id, .. } => {
                    let m = &self.seen[&id.0];
                    let may_have_run = m.first_maybe.is_some() || m.out.is_some();
                    assert!(
                        !may_have_run || m.class != ONCE && m.class != KEYED_ZONE,
                        "refused, may have run"
                    );
                    self.end(now, id.0);
                }
                Action::Fail(id) => self.end(now, id.0),
                _ => {}
            }
        }
        let out = self.seen.values().filter(|m| m.out.is_some()).count();
        assert!(out <= set.slots, "{out} out");
    }

    fn end(&mut self, now: Nanos, id: u64) {
        let m = self.seen.get_mut(&id).expect("a known message");
        assert!(!m.ended, "{id} ends twice");
        assert!(now <= m.deadline + ms(20), "{id} ends late");
        m.ended = true;
    }

    fn sent(&mut self, now: Nanos, id: u64, host: u32, set: &Settings) {
        assert!(self.draining != Some(host), "sent to a draining host");
        assert!(self.waits.get(&dest_of(host)).is_none_or(|w| now >= *w), "sent before a wait was over");
        if let Some(key) = self.seen[&id].key {
            let earlier =
                |(i, m): (&u64, &Seen)| m.key == Some(key) && (*i < id && !m.ended || m.out.is_some());
            assert!(!self.seen.iter().any(earlier), "out of turn");
            let rest = self.rests.get(&key).is_some_and(|r| now < *r);
            assert!(!rest || self.seen[&id].tries > 0, "the key rests");
        }
        let m = self.seen.get_mut(&id).expect("a known message");
        assert!(!m.ended && m.out.is_none() && m.tries < set.most_tries && now < m.deadline);
        if let Some(first) = m.first_maybe {
            assert!(m.class != ONCE, "an unsafe message goes again");
            let keyed = m.class == KEYED || m.class == KEYED_ZONE;
            assert!(!keyed || now - first < ms(8000), "past the window");
        }
        m.tries += 1;
        m.out = Some((host, now));
    }

    fn outcome(&mut self, now: Nanos, id: u64, outcome: Outcome, set: &Settings) {
        let m = self.seen.get_mut(&id).expect("a known message");
        let (host, at) = m.out.take().expect("out");
        match outcome {
            Outcome::Full(Some(wait)) => {
                let until = self.waits.entry(dest_of(host)).or_default();
                *until = (*until).max(now + wait);
            }
            Outcome::Full(None) | Outcome::ConnectFailed | Outcome::Moot => {}
            _ => {
                m.first_maybe.get_or_insert(at);
            }
        }
        m.ended |= outcome == Outcome::Ok;
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            m.key.map(|k| self.rests.insert(k, now + set.order_pause));
        }
    }
}

/// One step: time that passes, a new message (class, destination, key), how the oldest attempt out ends.
type Step = (u64, usize, u64, u64, u8);

fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        0..=5 => Outcome::Ok,
        6 => Outcome::Error,
        7 => Outcome::Full(None),
        8 => Outcome::Full(Some(ms(700))),
        9 => Outcome::Timeout,
        10 => Outcome::ConnectFailed,
        11 => Outcome::Reset,
        12 => Outcome::Moot,
        _ => return None,
    })
}

fn play(steps: &[Step]) {
    let mut r = Relay::new(settings(), (0..6).map(|h| host(h, dest_of(h), 0, (h / 3) as usize)).collect());
    let (set, mut oracle) = (r.set.clone(), Oracle::default());
    for (n, (later, class, dest, key, code)) in steps.iter().enumerate() {
        let now = r.now + ms(*later);
        let mut events = vec![Event::Due];
        if n == steps.len() / 2 {
            oracle.draining = Some(1);
            let gone = Entry { state: Listed::Stopping, ..host(1, 1, 0, 0) };
            events.push(Event::List { whole: false, entries: vec![gone] });
        }
        let oldest = oracle.seen.iter().filter_map(|(id, m)| m.out.map(|o| (o.1, *id))).min();
        if let (Some((at, id)), Some(o)) = (oldest, outcome(*code)) {
            let attempt = oracle.seen[&id].tries - 1;
            let over = oracle.seen[&id].ended || o == Outcome::Ok;
            let (took, report) = (now - at, None);
            oracle.outcome(now, id, o, &set);
            events.push(Event::Ended(Ended { id: MsgId(id), attempt, outcome: o, over, took, report }));
        }
        let id = n as u64 + 1;
        let key = Some(*key).filter(|_| *class == ORDERED);
        let deadline = now + set.classes[*class].deadline;
        let message = Message { id: MsgId(id), class: *class, tenant: 0, key, dest: DestId(*dest), deadline };
        events.push(Event::Message(message));
        let m = Seen { class: *class, key, deadline, tries: 0, out: None, first_maybe: None, ended: false };
        oracle.seen.insert(id, m);
        let actions = r.step(*later, &events);
        oracle.check(r.now, &actions, &set);
    }
    for _ in 0..2050 {
        let actions = r.step(10, &[Event::Due]);
        oracle.check(r.now, &actions, &set);
    }
    assert!(oracle.seen.values().all(|m| m.ended), "every message ends");
}

#[test]
fn generated_events_break_no_rule() {
    let config = Config { cases: 32, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let step = (0u64..120, 0usize..5, 0u64..3, 0u64..3, 0u8..16);
    let steps = proptest::collection::vec(step, 1..160);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |s| {
            play(&s);
            Ok(())
        })
        .expect("no rule is broken");
}
