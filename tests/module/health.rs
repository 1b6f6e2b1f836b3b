//! Outages: circuit breaker, trials, suspicion and slow start.
use crate::common::*;
use crate::{one_endpoint, serve_some};
use micaladder::*;
use std::collections::BTreeMap;

#[test]
fn after_an_outage_one_trial_at_a_time_then_a_slow_start() {
    let mut r = one_endpoint();
    serve_some(&mut r, 1, 10, 40);
    let m = r.message(100, IDEMPOTENT, 10);
    let other = r.message(101, AT_MOST_ONCE, 10);
    r.step(0, &[m, other]);
    r.step(20, &[ended(100, 0, Outcome::Reset, 20), ended(101, 0, Outcome::Reset, 20)]);
    let burst: Vec<Event> = (200..240).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    let mut got = r.step(0, &burst);
    assert!(sends(&got).is_empty(), "the breaker is open");
    for _ in 0..60 {
        got.extend(r.step(50, &[Event::Due]));
    }
    let trial = sends(&got);
    assert!((1..=3).contains(&trial.len()), "trials are spaced: {trial:?}");
    let attempt = u32::from(trial[0].0 == 100);
    let mut got = r.step(50, &[ended(trial[0].0, attempt, Outcome::Ok, 50)]);
    let mut first_second = 0;
    for _ in 0..20 {
        let ok: Vec<Event> =
            sends(&got).iter().map(|(id, _)| ended(*id, u32::from(*id == 100), Outcome::Ok, 50)).collect();
        first_second += ok.len();
        got = r.step(50, &ok);
    }
    // Usually five a second; a fifth of its capacity is there, and twice that may be sent.
    assert!((1..=3).contains(&first_second), "sent {first_second}");
}

#[test]
fn a_silent_endpoint_opens_its_breaker_before_any_timeout() {
    let mut r = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 20, 0, 0)]);
    serve_some(&mut r, 1, 10, 20);
    let (m, other) = (r.message(100, IDEMPOTENT, 10), r.message(99, IDEMPOTENT, 10));
    assert_eq!(sends(&r.step(0, &[m, other])).len(), 2);
    let log = r.step(1500, &[Event::Due]);
    assert!(log.contains(&Action::Log { text: "breaker opened", host: Some(EndpointId(1)) }), "{log:?}");
    let (a, b) = (r.message(101, IDEMPOTENT, 10), r.message(102, IDEMPOTENT, 20));
    assert_eq!(sends(&r.step(0, &[a, b])), [(102, 2)], "other endpoints go on");
}

/// Found on a north-plant incident: breakers opened on slow endpoints, and slow starts starved small flows.
#[test]
fn a_slow_endpoint_that_answers_after_all_needs_no_slow_start() {
    let mut r = one_endpoint();
    serve_some(&mut r, 1, 10, 20);
    let m = r.message(100, IDEMPOTENT, 10);
    r.step(0, &[m]);
    r.step(1500, &[Event::Due]);
    r.step(200, &[ended(100, 0, Outcome::Ok, 1700)]);
    let burst: Vec<Event> = (200..204).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(sends(&r.step(0, &burst)).len(), 4);
}

/// Found on a north-plant incident: a quarter of all calls were lost on the path, and breakers opened
/// everywhere.
#[test]
fn one_lost_call_is_no_outage_but_a_second_consecutive_one_is() {
    let mut r = one_endpoint();
    serve_some(&mut r, 1, 10, 20);
    let m = r.message(100, AT_MOST_ONCE, 10);
    r.step(0, &[m]);
    r.step(1500, &[Event::Due]);
    let burst: Vec<Event> = (200..203).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    let again = sends(&r.step(0, &burst));
    assert_eq!(again.len(), 1, "one call goes at once");
    let mut lossy = sends(&r.step(100, &[ended(again[0].0, 0, Outcome::Ok, 100)])).len();
    assert_eq!(lossy, 2, "answered: no slow start");
    let events: Vec<Event> = (210..213).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    lossy = sends(&r.step(1600, &events)).len();
    assert_eq!(lossy, 0, "two in a row went unanswered");
}

/// Found on the grown deployments: forwarders with little traffic that each retried again and again kept a
/// destination down.
#[test]
fn a_forwarder_with_little_traffic_calls_a_failing_destination_about_once_a_message() {
    let set = Settings { forwarders: 60, ..settings() };
    let mut attempts = 0;
    for seed in 1..=20 {
        let mut r = Forwarder::seeded(set.clone(), vec![list_entry(1, 10, 0, 0)], seed * 7919);
        let m = r.message(1, IDEMPOTENT, 10);
        let mut got = r.step(0, &[m]);
        for _ in 0..150 {
            let back: Vec<Event> =
                sends(&got).iter().map(|(id, _)| ended(*id, 0, Outcome::Error, 100)).collect();
            attempts += back.len();
            got = r.step(100, &back);
        }
    }
    assert!((20..=60).contains(&attempts), "{attempts} calls of 20 forwarders with one message each");
}

/// Found on reykjanes-labels-later i06cbee: over a thousand forwarders with a free second call each.
#[test]
fn a_forwarder_with_little_traffic_does_not_call_a_hung_endpoint_again_and_again() {
    let set = Settings { forwarders: 1000, slots: 3, ..settings() };
    let mut attempts = 0;
    for seed in 1..=20 {
        let mut r = Forwarder::seeded(set.clone(), vec![list_entry(1, 10, 0, 0)], seed * 7919);
        let m = r.message(1, IDEMPOTENT, 10);
        let (mut got, mut due) = (r.step(0, &[m]), Vec::new());
        for tick in 0..150u32 {
            due.extend(sends(&got).iter().map(|(id, _)| (tick + 40, *id)));
            let (now, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= tick);
            due = later;
            let lost = |(n, (_, id)): (usize, (u32, u64))| ended(id, n as u32, Outcome::Timeout, 4000);
            attempts += now.len();
            got = r.step(100, &now.into_iter().enumerate().map(lost).collect::<Vec<_>>());
        }
    }
    assert!((20..=30).contains(&attempts), "{attempts} calls of 20 forwarders with one message each in 15 s");
}

/// Found by hunt --rules on lahore-checkin (h3eaca9, failback): all endpoints of a partner were silent; each
/// forwarder tried one after the other as if the rest were healthy, and together they overloaded it when it
/// came back.
#[test]
fn endpoints_without_a_recent_answer_are_suspected_with_a_silent_one() {
    let calls = |answered: bool| {
        let mut calls = 0;
        for seed in 1..=20 {
            let set = Settings { forwarders: 60, ..settings() };
            let mut r =
                Forwarder::seeded(set, (1..=3).map(|h| list_entry(h, 10, 0, 0)).collect(), seed * 7919);
            if answered {
                let all: Vec<Event> = (101..=103).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
                let back: Vec<Event> =
                    sends(&r.step(0, &all)).iter().map(|s| ended(s.0, 0, Outcome::Ok, 100)).collect();
                r.step(100, &back);
            }
            let (mut got, mut attempts) = (Vec::new(), BTreeMap::<u64, u32>::new());
            for step in 0..10u64 {
                let lost = |(id, _): &(u64, u32)| ended(*id, attempts[id] - 1, Outcome::ConnectFailed, 1500);
                let mut events: Vec<Event> = sends(&got).iter().map(lost).collect();
                events.push(r.message(1 + step, IDEMPOTENT, 10));
                got = r.step(100, &events);
                sends(&got).iter().for_each(|(id, _)| *attempts.entry(*id).or_default() += 1);
                calls += sends(&got).len();
            }
        }
        calls
    };
    let (quiet, known) = (calls(false), calls(true));
    assert!(quiet < 50, "20 forwarders made {quiet} calls in the first second");
    assert!(known > quiet, "one that just answered is called: {known}");
}

/// Found on lahore-checkin rough-2: one endpoint of several swallowed one class, served the others and so
/// stayed in use.
#[test]
fn a_class_that_is_lost_at_one_endpoint_goes_to_another() {
    let mut r = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 10, 0, 0)]);
    let (mut lost, mut kept) = (0, 0);
    for id in 1..=60 {
        let class = if id % 2 == 0 { KEYED } else { IDEMPOTENT };
        let m = r.message(id, class, 10);
        let mut got = sends(&r.step(100, &[m]));
        for attempt in 0..4 {
            let Some((_, h)) = got.first().copied() else { break };
            let bad = h == 1 && class == KEYED;
            (lost, kept) = (lost + u32::from(bad), kept + u32::from(h == 1 && !bad));
            let end = if bad { Outcome::Reset } else { Outcome::Ok };
            got = sends(&r.step(100, &[ended(id, attempt, end, 100)]));
        }
    }
    assert!((1..=8).contains(&lost), "{lost} of 30 lost");
    assert!(kept >= 20, "the other class stays: {kept} of 30");
}

/// Found on big-2: the backlog of an outage was sent at the forwarder's own demand, far under what its even
/// share of the listed rate allows, and was late.
#[test]
fn slow_start_follows_the_listed_rate_where_own_demand_is_less() {
    let sent_in_two_seconds = |rate: f64| {
        let set = Settings { listed_rates: ListedRates::Nominal, ..settings() };
        let mut r = Forwarder::new(set, vec![EndpointEntry { rate, ..list_entry(1, 1, 0, 0) }]);
        let (mut next, mut attempts) = (1, BTreeMap::new());
        let mut count = 0;
        for step in 0..140 {
            // Down for four seconds; then each call is served at once.
            let up = step >= 80;
            let fresh: Vec<Event> = (0..u64::from(!up)).map(|_| r.message(next, IDEMPOTENT, 1)).collect();
            next += fresh.len() as u64;
            let mut got = sends(&r.step(50, &fresh));
            while let Some((id, _)) = got.pop() {
                let n: &mut u32 = attempts.entry(id).or_default();
                let outcome = if up { Outcome::Ok } else { Outcome::ConnectFailed };
                count += u32::from(up);
                *n += 1;
                got.extend(sends(&r.step(0, &[ended(id, *n - 1, outcome, 10)])));
            }
        }
        count
    };
    let (own, listed) = (sent_in_two_seconds(0.0), sent_in_two_seconds(40.0));
    assert!(listed > own, "{listed} with the listed rate, {own} without");
    // Two forwarders: an even share is 20 calls a second. Three seconds on, a third of the ramp is over, so
    // under half of the capacity is back, and at most twice that may go.
    assert!(f64::from(listed) <= 3.0 * 20.0 * 0.5 * 2.0, "{listed}");
}
