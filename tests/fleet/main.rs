//! Many forwarders that share a few endpoints, for behaviour that is harmless in one forwarder and harmful in a hundred.
mod budget;
#[path = "../common/mod.rs"]
mod common;
#[path = "../fleet_common/mod.rs"]
mod fleet_common;
mod outages;
mod simulation;

use common::*;
use micaladder::*;
use simulation::*;

/// Returns the settings of a fleet with listed rates.
fn fleet_settings(forwarders: usize) -> Settings {
    Settings { forwarders, listed_rates: ListedRates::Nominal, ..settings() }
}

/// Found on recorded days of a large fleet: the forwarders that were served kept their connections, and all others tried to
/// connect, 2,600 times per second, until each message had used up its attempts.
#[test]
fn a_hundred_forwarders_share_endpoints_that_accept_twelve_connections() {
    // At each endpoint, 100 calls per second of 30 ms each occupy three connections on average.
    let endpoints = (0..6).map(|_| endpoint(12, 1000)).collect();
    let mut fleet = Fleet::new(&fleet_settings(100), endpoints);
    fleet.run(20_000, 600.0);
    let counts = &fleet.counts;
    assert!(
        counts.connection_limited * 5 < counts.submitted,
        "{} of {} calls met the connection limit",
        counts.connection_limited,
        counts.calls
    );
    assert!(
        counts.in_time * 100 >= counts.submitted * 97,
        "{} of {} in time",
        counts.in_time,
        counts.submitted
    );
}

/// Two forwarders do not reach the connection limit and keep the connections that they use.
#[test]
fn two_forwarders_keep_their_connections() {
    let mut fleet = Fleet::new(&fleet_settings(2), vec![endpoint(12, 1000)]);
    fleet.run(20_000, 40.0);
    let counts = &fleet.counts;
    assert_eq!((counts.connection_limited, counts.calls), (0, counts.submitted));
    assert!(
        counts.handshakes * 20 < counts.calls,
        "{} handshakes, {} calls",
        counts.handshakes,
        counts.calls
    );
}

/// Found on recorded days of a large fleet: after a limit had been lowered, or exceeded once, each forwarder started again at an
/// even share and raised its pace by a tenth per second, so for ten seconds more messages arrived than all forwarders sent.
#[test]
fn a_raised_limit_is_soon_used() {
    let mut fleet = Fleet::new(&fleet_settings(100), vec![endpoint(1000, 210)]);
    let mut run_with_limit = |limit: usize, secs: u64| {
        fleet.endpoints[0].limit = limit;
        let (served, rejected) = (fleet.counts.served, fleet.counts.rejected);
        fleet.run(secs * 1000, 160.0);
        (fleet.counts.served - served, fleet.counts.rejected - rejected)
    };
    let (served, rejected) = run_with_limit(210, 10);
    assert!(
        served > 1500 && rejected == 0,
        "{served} served, {rejected} rejected before the limit was lowered"
    );
    let (served, rejected) = run_with_limit(130, 9);
    assert!(served * 2 > 130 * 9, "{served} served, {rejected} rejected");
    assert!(rejected < served, "{served} served, {rejected} rejected");
    let (served, rejected) = run_with_limit(210, 5);
    assert!(
        served >= 160 * 5,
        "{served} served of {}, {rejected} rejected after the limit was raised",
        160 * 5
    );
}

/// If the list or the settings give no limit, or an impossible one, a rejected message is still retried in time.
#[test]
fn impossible_rates_and_fleet_sizes_give_bounded_paces() {
    for (forwarders, rate) in
        [(0, 0.0), (1, -5.0), (1000, 10.0), (usize::MAX, 1e300), (3, f64::NAN), (3, f64::INFINITY)]
    {
        let list = vec![EndpointEntry { rate, ..list_entry(1, 10, 0, 0) }];
        let mut forwarder = Forwarder::new(fleet_settings(forwarders), list);
        let m = forwarder.message(1, IDEMPOTENT, 10);
        assert_eq!(sends(&forwarder.step(0, &[m])).len(), 1);
        let mut retries = 0;
        forwarder.step(5, &[attempt_ended(1, 0, Outcome::Rejected(None), 5)]);
        for _ in 0..190 {
            for (id, _) in sends(&forwarder.step(100, &[Event::Due])) {
                retries += 1;
                forwarder.step(5, &[attempt_ended(id, retries, Outcome::Rejected(None), 5)]);
            }
        }
        assert!(retries > 0, "{forwarders} forwarders, rate {rate}: the message is retried in time");
    }
}

/// How messages and restarts are distributed over the members of a fleet.
#[derive(Clone, Copy, PartialEq)]
enum Mix {
    Even,
    /// One member in ten gets half of the messages and the others share the rest, so most notice the recovery late.
    Uneven,
    /// As `Uneven`, and one member in five restarts during the outage and so has no record of it.
    Restarted,
}

/// After an outage, the calls of the whole fleet stay within the capacity of the recovering destination, and no forwarder waits
/// long once the capacity is back.
#[rstest::rstest]
fn a_recovering_destination_is_not_overloaded_and_soon_used_by_all(
    #[values(5000, 12_000)] outage: u64, #[values(20, 30, 100, 300)] forwarders: usize,
    #[values(Mix::Even, Mix::Uneven, Mix::Restarted)] mix: Mix,
) {
    let mut fleet = Fleet::new(&fleet_settings(forwarders), vec![endpoint(1000, 200)]);
    fleet.uneven = mix != Mix::Even;
    fleet.endpoints[0].outage = (10_000, 10_000 + outage);
    fleet.run(10_000 + outage / 2, 120.0);
    if mix == Mix::Restarted {
        fleet.restart_every(5);
    }
    fleet.run(outage - outage / 2, 120.0);
    let served_before = fleet.counts.served;
    fleet.run(2000, 120.0);
    assert!(
        fleet.counts.served > served_before,
        "the destination is called in the first two seconds after the outage"
    );
    fleet.run(10_000, 120.0);
    let peak = fleet.endpoints[0].peak_load;
    assert!(peak <= 1.0, "the peak load is {peak:.2} of the overload threshold");
    assert!(peak >= 0.15, "the peak load is only {peak:.2} of the overload threshold");
    let served_before = fleet.counts.served;
    fleet.run(3000, 120.0);
    assert!(
        fleet.counts.served - served_before >= 3 * 108,
        "{} served in three seconds",
        fleet.counts.served - served_before
    );
}

/// What happens in the warm-up after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WarmUpEvent {
    Nothing,
    /// All members restart 1.5 s into it.
    Restart,
    /// Each destination goes out again 3 s into it.
    SecondOutage,
}

/// Guards against issue 60: what each forwarder may send to a returning destination adds up to more than its budget.
#[rstest::rstest]
fn the_calls_of_a_fleet_stay_within_the_budget_of_a_returning_destination(
    #[values(3, 30, 100, 300, 900)] forwarders: usize,
    #[values(Outcome::Error, Outcome::Reset)] failure: Outcome,
    #[values(WarmUpEvent::Nothing, WarmUpEvent::Restart, WarmUpEvent::SecondOutage)] event: WarmUpEvent,
    #[values(false, true)] uneven: bool,
) {
    const MIN_CAPACITY: usize = 12;
    const CAPACITY_OF_THREE_FORWARDERS: usize = 2;
    let capacity = MIN_CAPACITY + forwarders * CAPACITY_OF_THREE_FORWARDERS / 3;
    let demand = 0.8 * capacity as f64;
    let mut fleet = Fleet::new(&fleet_settings(forwarders), vec![endpoint(1000, capacity)]);
    fleet.uneven = uneven && forwarders >= 10;
    // Rejections above the limit are not the subject, and calls in a window are counted in any case.
    fleet.endpoints[0].limit = capacity;
    fleet.endpoints[0].failures = vec![Failure::Outcome(failure)];
    fleet.endpoints[0].outage = (5_000, 13_000);
    fleet.run(14_500, demand);
    match event {
        WarmUpEvent::Nothing => {}
        WarmUpEvent::Restart => fleet.restart_every(1),
        WarmUpEvent::SecondOutage => {
            fleet.run(1500, demand);
            fleet.endpoints[0].outage = (16_000, 21_000);
            fleet.endpoints[0].window.clear();
            fleet.run(6500, demand);
        }
    }
    fleet.run(8500, demand);
    let peak = fleet.endpoints[0].peak_load;
    println!("{forwarders} forwarders, {failure:?}, {event:?}, uneven {uneven}: {peak:.2} of the budget");
    assert!(peak <= 1.0, "{peak:.2} of the budget");
}
