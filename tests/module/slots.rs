//! Slots: limits per destination, shares, and calls that occupy a slot.
use crate::common::*;
use crate::one_endpoint;
use micaladder::*;

#[test]
fn no_destination_holds_three_quarters_of_the_slots() {
    let mut forwarder = one_endpoint();
    let burst: Vec<Event> = (1..=20).map(|id| forwarder.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(sends(&forwarder.step(0, &burst)).len(), 5, "less than three quarters of eight slots");
    let mut single_slot = Forwarder::new(Settings { slots: 1, ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let m = single_slot.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&single_slot.step(0, &[m])).len(), 1, "the only slot can be used");
}

/// Found on head-office-relay i03aceb: three slow destinations, each with up to half of the slots, held all slots.
#[test]
fn failing_destinations_share_their_half_of_the_slots() {
    let mut forwarder =
        Forwarder::new(settings(), (1..=4).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    let unanswered: Vec<Event> = (1..=6).map(|id| forwarder.message(id, AT_MOST_ONCE, 1 + id % 3)).collect();
    assert_eq!(sends(&forwarder.step(0, &unanswered)).len(), 6);
    let mut actions = forwarder.step(3000, &[Event::Due]);
    let more: Vec<Event> = (11..=16).map(|id| forwarder.message(id, IDEMPOTENT, 1 + id % 3)).collect();
    actions.extend(forwarder.step(2000, &more));
    actions.extend(forwarder.step(2000, &[Event::Due]));
    assert!(
        sends(&actions).is_empty(),
        "six of eight slots are held by failing destinations: {:?}",
        sends(&actions)
    );
    let healthy: Vec<Event> = (21..=22).map(|id| forwarder.message(id, IDEMPOTENT, 4)).collect();
    assert_eq!(sends(&forwarder.step(0, &healthy)).len(), 2);
}

/// Found on reykjanes-labels: unanswered calls held all slots until their deadlines.
#[test]
fn unanswered_calls_are_cancelled_when_another_message_needs_a_slot() {
    let mut forwarder =
        Forwarder::new(settings(), (1..=9).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    let burst: Vec<Event> = (1..=8).map(|id| forwarder.message(id, AT_MOST_ONCE, id)).collect();
    assert_eq!(sends(&forwarder.step(0, &burst)).len(), 8);
    let cancelled = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Cancel { id, .. } = a { Some(id.0) } else { None })
    };
    let more = forwarder.message(20, IDEMPOTENT, 9);
    let id = cancelled(&forwarder.step(3000, &[more])).expect("one of the eight");
    let mut actions = forwarder.step(10, &[attempt_ended(id, 0, Outcome::Cancelled, 3010)]);
    assert!(sends(&actions).contains(&(20, 9)), "the waiting message gets the slot: {actions:?}");
    actions.extend(forwarder.step(100, &[attempt_ended(20, 0, Outcome::Ok, 100)]));
    assert_eq!(cancelled(&actions), None, "nothing is cancelled while a slot is free");
}

/// Found on lahore-checkin big-2: a call that must not be repeated may use all of its time. One endpoint lost all calls of that
/// class, so most forwarders had one of their three slots occupied by such a call.
#[test]
fn a_single_unanswered_call_is_cancelled_once_another_message_waits_for_its_slot() {
    let settings = Settings { slots: 3, ..settings() };
    let mut forwarder =
        Forwarder::new(settings, (1..=4).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    let cancels =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { id: MessageId(1), .. }));
    let pair = [forwarder.message(1, AT_MOST_ONCE, 1), forwarder.message(9, IDEMPOTENT, 4)];
    assert_eq!(sends(&forwarder.step(0, &pair)).len(), 2);
    // The endpoint answers another message in between, so it does not count as silent.
    let m = forwarder.message(10, IDEMPOTENT, 1);
    assert_eq!(sends(&forwarder.step(100, &[m, attempt_ended(9, 0, Outcome::Ok, 100)])).len(), 1);
    forwarder.step(100, &[attempt_ended(10, 0, Outcome::Ok, 100)]);
    assert!(!cancels(&forwarder.step(6000, &[Event::Due])), "slots are free");
    let burst: Vec<Event> =
        [(2, 2), (3, 3), (4, 4)].map(|(id, d)| forwarder.message(id, IDEMPOTENT, d)).into();
    assert_eq!(sends(&forwarder.step(10, &burst)).len(), 2);
    let actions = forwarder.step(10, &[Event::Due]);
    assert!(cancels(&actions), "{actions:?}");
    let actions = forwarder.step(10, &[attempt_ended(1, 0, Outcome::Cancelled, 6030)]);
    assert!(
        is_failed(&actions, 1) && sends(&actions) == [(4, 4)],
        "message 1 fails at once, message 4 gets its slot: {actions:?}"
    );
}

/// Departs from the design page: a destination whose own latency misses the objective would otherwise keep the highest priority
/// permanently.
#[test]
fn a_slow_destination_does_not_gain_priority_by_its_own_latency() {
    let settings = Settings { slots: 8, max_pending: 2000, ..settings() };
    let mut forwarder = Forwarder::new(settings, vec![list_entry(1, 10, 0, 0), list_entry(2, 20, 0, 0)]);
    let (mut actions, mut id, mut calls) = (Vec::new(), 0, Vec::new());
    let mut served = [0usize; 2];
    for tick in 0..400u64 {
        for (id, h) in sends(&actions) {
            calls.push((tick + if h == 1 { 40 } else { 2 }, id, h, tick));
        }
        let (completed, later): (Vec<_>, Vec<_>) = calls.into_iter().partition(|d| d.0 <= tick);
        calls = later;
        let mut events: Vec<Event> = Vec::new();
        for (_, id, h, sent) in completed {
            served[h as usize - 1] += 1;
            events.push(attempt_ended(id, 0, Outcome::Ok, (tick - sent) * 50));
        }
        for dest in [10, 20] {
            id += 1;
            events.push(forwarder.message(id, IDEMPOTENT, dest));
        }
        actions = forwarder.step(50, &events);
    }
    assert!(served[1] > 350, "messages to the fast destination do not wait: {served:?}");
}

#[test]
fn weighted_shares_follow_the_listed_rates() {
    let entry_with_rate = |id, dest, rate| EndpointEntry { rate, ..list_entry(id, dest, 0, 0) };
    let settings = Settings { slots: 2, listed_rates: ListedRates::Nominal, max_pending: 2000, ..settings() };
    let mut forwarder =
        Forwarder::new(settings, vec![entry_with_rate(1, 10, 30.0), entry_with_rate(2, 20, 10.0)]);
    let burst: Vec<Event> =
        (1..=1000).map(|id| forwarder.message(id, IDEMPOTENT, 10 + 10 * (id % 2))).collect();
    let mut actions = forwarder.step(0, &burst);
    let mut served = [0usize; 2];
    for _ in 0..150 {
        let outcomes: Vec<Event> =
            sends(&actions).iter().map(|(id, _)| attempt_ended(*id, 0, Outcome::Ok, 50)).collect();
        sends(&actions).iter().for_each(|(_, h)| served[*h as usize - 1] += 1);
        actions = forwarder.step(50, &outcomes);
    }
    // A destination holds at most one of the two slots, so both are served, and the one with the larger weight at least as often.
    assert!(served[0] >= served[1] && served[1] > 0, "{served:?}");
}

#[test]
fn a_call_of_several_messages_holds_one_slot() {
    let settings = Settings { slots: 2, ..settings() };
    let mut forwarder = Forwarder::new(settings, vec![list_entry(1, 10, 1, 0)]);
    let burst: Vec<Event> = (1..=6).map(|id| forwarder.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(
        sends(&forwarder.step(0, &burst)).len(),
        3,
        "one call with three messages holds one of the two slots"
    );
}

#[test]
fn a_forwarder_with_one_slot_serves_thousands_of_endpoints() {
    let settings = Settings { forwarders: 400, slots: 1, ..settings() };
    let mut forwarder =
        Forwarder::new(settings, (1..=3000).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    for id in 1..=50 {
        let m = forwarder.message(id, IDEMPOTENT_BY_KEY, id * 60);
        assert_eq!(sends(&forwarder.step(20, &[m])), [(id, id as u32 * 60)]);
        forwarder.step(20, &[attempt_ended(id, 0, Outcome::Ok, 20)]);
    }
}
