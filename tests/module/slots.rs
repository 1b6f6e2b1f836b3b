//! Slots: caps, shares and calls that hold one.
use crate::common::*;
use crate::one_endpoint;
use micaladder::*;

#[test]
fn no_destination_holds_three_quarters_of_the_slots() {
    let mut r = one_endpoint();
    let burst: Vec<Event> = (1..=20).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(sends(&r.step(0, &burst)).len(), 5, "under three quarters of eight");
    let mut one = Forwarder::new(Settings { slots: 1, ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let m = one.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&one.step(0, &[m])).len(), 1, "one slot stays usable");
}

/// Found on head-office-relay i03aceb: three slow destinations with half of the slots each held them all.
#[test]
fn failing_destinations_share_their_half_of_the_slots() {
    let mut r = Forwarder::new(settings(), (1..=4).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    let lost: Vec<Event> = (1..=6).map(|id| r.message(id, AT_MOST_ONCE, 1 + id % 3)).collect();
    assert_eq!(sends(&r.step(0, &lost)).len(), 6);
    let mut got = r.step(3000, &[Event::Due]);
    let more: Vec<Event> = (11..=16).map(|id| r.message(id, IDEMPOTENT, 1 + id % 3)).collect();
    got.extend(r.step(2000, &more));
    got.extend(r.step(2000, &[Event::Due]));
    assert!(sends(&got).is_empty(), "six of eight slots are held by failing ones: {:?}", sends(&got));
    let well: Vec<Event> = (21..=22).map(|id| r.message(id, IDEMPOTENT, 4)).collect();
    assert_eq!(sends(&r.step(0, &well)).len(), 2);
}

/// Found on reykjanes-labels: calls that nobody answers filled the slots until their deadlines.
#[test]
fn unanswered_calls_give_their_slots_back() {
    let mut r = Forwarder::new(settings(), (1..=9).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    let burst: Vec<Event> = (1..=8).map(|id| r.message(id, AT_MOST_ONCE, id)).collect();
    assert_eq!(sends(&r.step(0, &burst)).len(), 8);
    let cancelled = |got: &[Action]| {
        got.iter().find_map(|a| if let Action::Cancel { id, .. } = a { Some(id.0) } else { None })
    };
    let more = r.message(20, IDEMPOTENT, 9);
    let id = cancelled(&r.step(3000, &[more])).expect("one of the eight");
    let mut got = r.step(10, &[ended(id, 0, Outcome::Cancelled, 3010)]);
    assert!(sends(&got).contains(&(20, 9)), "its slot goes to another: {got:?}");
    got.extend(r.step(100, &[ended(20, 0, Outcome::Ok, 100)]));
    assert_eq!(cancelled(&got), None, "nothing is cancelled while a slot is free");
}

/// Found on lahore-checkin big-2: a call that must not be repeated may use all of its time, and where one
/// endpoint swallowed that class, most forwarders had one of their three slots held by it.
#[test]
fn one_unanswered_call_gives_its_slot_back_once_another_message_waits_for_it() {
    let set = Settings { slots: 3, ..settings() };
    let mut r = Forwarder::new(set, (1..=4).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    let cancels = |got: &[Action]| got.iter().any(|a| matches!(a, Action::Cancel { id: MessageId(1), .. }));
    let pair = [r.message(1, AT_MOST_ONCE, 1), r.message(9, IDEMPOTENT, 4)];
    assert_eq!(sends(&r.step(0, &pair)).len(), 2);
    // Its endpoint answers another message in between, so it is never silent.
    let m = r.message(10, IDEMPOTENT, 1);
    assert_eq!(sends(&r.step(100, &[m, ended(9, 0, Outcome::Ok, 100)])).len(), 1);
    r.step(100, &[ended(10, 0, Outcome::Ok, 100)]);
    assert!(!cancels(&r.step(6000, &[Event::Due])), "slots are free");
    let burst: Vec<Event> = [(2, 2), (3, 3), (4, 4)].map(|(id, d)| r.message(id, IDEMPOTENT, d)).into();
    assert_eq!(sends(&r.step(10, &burst)).len(), 2);
    let got = r.step(10, &[Event::Due]);
    assert!(cancels(&got), "{got:?}");
    let end = r.step(10, &[ended(1, 0, Outcome::Cancelled, 6030)]);
    assert!(failed(&end, 1) && sends(&end) == [(4, 4)], "answered at once, its slot goes on: {end:?}");
}

/// Departure from the design page.
#[test]
fn a_slow_destination_does_not_gain_priority_by_its_own_latency() {
    let set = Settings { slots: 8, max_pending: 2000, ..settings() };
    let mut r = Forwarder::new(set, vec![list_entry(1, 10, 0, 0), list_entry(2, 20, 0, 0)]);
    let (mut got, mut id, mut due) = (Vec::new(), 0, Vec::new());
    let mut served = [0usize; 2];
    for tick in 0..400u64 {
        for (id, h) in sends(&got) {
            due.push((tick + if h == 1 { 40 } else { 2 }, id, h, tick));
        }
        let (now, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= tick);
        due = later;
        let mut events: Vec<Event> = Vec::new();
        for (_, id, h, sent) in now {
            served[h as usize - 1] += 1;
            events.push(ended(id, 0, Outcome::Ok, (tick - sent) * 50));
        }
        for dest in [10, 20] {
            id += 1;
            events.push(r.message(id, IDEMPOTENT, dest));
        }
        got = r.step(50, &events);
    }
    assert!(served[1] > 350, "the fast one is served as it comes: {served:?}");
}

#[test]
fn weighted_shares_follow_the_listed_rates() {
    let rate = |id, dest, rate| EndpointEntry { rate, ..list_entry(id, dest, 0, 0) };
    let set = Settings { slots: 2, listed_rates: ListedRates::Nominal, max_pending: 2000, ..settings() };
    let mut r = Forwarder::new(set, vec![rate(1, 10, 30.0), rate(2, 20, 10.0)]);
    let burst: Vec<Event> = (1..=1000).map(|id| r.message(id, IDEMPOTENT, 10 + 10 * (id % 2))).collect();
    let mut got = r.step(0, &burst);
    let mut count = [0usize; 2];
    for _ in 0..150 {
        let ok: Vec<Event> = sends(&got).iter().map(|(id, _)| ended(*id, 0, Outcome::Ok, 50)).collect();
        sends(&got).iter().for_each(|(_, h)| count[*h as usize - 1] += 1);
        got = r.step(50, &ok);
    }
    // One slot a destination at most here, so both are served; the one with the larger weight is never
    // behind.
    assert!(count[0] >= count[1] && count[1] > 0, "{count:?}");
}

#[test]
fn a_call_of_several_messages_holds_one_slot() {
    let set = Settings { slots: 2, ..settings() };
    let mut r = Forwarder::new(set, vec![list_entry(1, 10, 1, 0)]);
    let burst: Vec<Event> = (1..=6).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(sends(&r.step(0, &burst)).len(), 3, "one slot of two, three in its call");
}

#[test]
fn a_forwarder_with_one_slot_serves_thousands_of_endpoints() {
    let set = Settings { forwarders: 400, slots: 1, ..settings() };
    let mut r = Forwarder::new(set, (1..=3000).map(|h| list_entry(h, u64::from(h), 0, 0)).collect());
    for id in 1..=50 {
        let m = r.message(id, KEYED, id * 60);
        assert_eq!(sends(&r.step(20, &[m])), [(id, id as u32 * 60)]);
        r.step(20, &[ended(id, 0, Outcome::Ok, 20)]);
    }
}
