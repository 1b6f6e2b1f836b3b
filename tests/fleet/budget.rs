//! The budget of a returning destination: all forwarders together keep within it, whatever the outage was like, however the messages
//! are distributed and whenever the forwarders restart.
use super::fleet_settings;
use super::simulation::*;
use crate::common::*;
use crate::fleet_common::CallBudget;
use micaladder::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Start of the outage in ms.
const OUTAGE_AT_MS: u64 = 6000;
const OUTAGE_MS: u64 = 8000;
const WARM_UP_MS: u64 = 9000;
/// Numbers of forwarders, and capacities of the destination in calls per second.
const SIZES: [(usize, usize); 3] = [(3, 17), (49, 5), (100, 30)];
const RESTARTS: [Restart; 5] = [
    Restart::Never,
    Restart::InOutage(0.2),
    Restart::InOutage(0.9),
    Restart::InWarmUp(1500),
    Restart::Rolling,
];
const MANY_CONNECTIONS: usize = 1000;
const NO_LIMIT: usize = 10_000;
/// Messages that each forwarder gets in `Traffic::Backlog`, and how long before the return.
const BACKLOG: usize = 2;
const BACKLOG_BEFORE_RETURN_MS: u64 = 300;
/// Time between restarts in `Restart::Rolling`.
const RESTART_STEP_MS: u64 = 100;
const PARALLEL_PLAYS: usize = 4;
/// Demand as a share of the capacity.
const DEMAND_SHARE: f64 = 0.8;
/// Share of the calls in a window from which on the budget binds: those of forwarders that had a failed or rejected call.
const NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// How the messages are distributed over time and forwarders.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Even,
    /// One forwarder in ten gets half of the messages.
    Uneven,
    /// Each forwarder gets two messages shortly before the return.
    Backlog,
    /// Each forwarder gets a message right after the start of the outage, so that all know of it.
    AllKnow,
}

/// Which forwarders restart, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Restart {
    Never,
    /// All, at this share of the outage.
    InOutage(f64),
    /// All, this time in ms after the return.
    InWarmUp(u64),
    /// One after another, from the start of the outage to the end of the warm-up.
    Rolling,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    forwarders: usize,
    /// Capacity in calls per second.
    capacity: usize,
    endpoints: usize,
    failure: Failure,
    traffic: Traffic,
    restart: Restart,
    seed: u64,
}

/// What came of a scenario.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// The highest number of calls in a window as a share of the budget.
    pub load: f64,
    /// The same for windows in which the budget binds.
    pub notified_load: f64,
    /// The fullest of these windows.
    pub fullest: String,
    /// Messages served from the return to the end, and those of them that were served in time.
    pub served: usize,
    pub in_time: usize,
}

impl Scenario {
    fn demand(&self) -> f64 {
        DEMAND_SHARE * self.capacity as f64
    }

    fn returns_at(&self) -> u64 {
        OUTAGE_AT_MS + OUTAGE_MS
    }

    fn play(&self) -> Outcomes {
        let settings = Settings { warm_up: ms(WARM_UP_MS), ..fleet_settings(self.forwarders) };
        let outage = (OUTAGE_AT_MS, self.returns_at());
        // Rejections above the limit are not the subject, and calls in a window are counted in any case.
        let one = || Endpoint {
            outage,
            failures: vec![self.failure],
            listed: self.capacity as f64,
            ..endpoint(MANY_CONNECTIONS, NO_LIMIT)
        };
        let endpoints = (0..self.endpoints).map(|_| one()).collect();
        let mut fleet = Fleet::of_destinations(&settings, endpoints, 1_000_003 * (self.seed + 1));
        fleet.uneven = self.traffic == Traffic::Uneven;
        fleet.classes = vec![IDEMPOTENT, IDEMPOTENT_BY_KEY, AT_MOST_ONCE];
        self.run_until(&mut fleet, OUTAGE_AT_MS);
        if self.traffic == Traffic::AllKnow {
            fleet.submit_to_all(1);
        }
        if let Restart::InOutage(share) = self.restart {
            self.run_until(&mut fleet, OUTAGE_AT_MS + (OUTAGE_MS as f64 * share) as u64);
            fleet.restart_every(1);
        }
        self.run_until(&mut fleet, self.returns_at() - BACKLOG_BEFORE_RETURN_MS);
        if self.traffic == Traffic::Backlog {
            fleet.submit_to_all(BACKLOG);
        }
        self.run_until(&mut fleet, self.returns_at());
        let (served, in_time) = (fleet.counts.served, fleet.counts.in_time);
        if let Restart::InWarmUp(at) = self.restart {
            self.run_until(&mut fleet, self.returns_at() + at);
            fleet.restart_every(1);
        }
        let end = self.returns_at() + WARM_UP_MS;
        self.run_until(&mut fleet, end);
        let mut result = load_after_return(&fleet, &settings, self.capacity as f64, self.returns_at());
        self.run_until(&mut fleet, end + WARM_UP_MS);
        result.served = fleet.counts.served - served;
        result.in_time = fleet.counts.in_time - in_time;
        result
    }

    /// Runs the fleet until this time, with the restarts that are due by then.
    fn run_until(&self, fleet: &mut Fleet, until: u64) {
        while fleet.now < until {
            let step = (until - fleet.now).min(RESTART_STEP_MS);
            if self.restart == Restart::Rolling && fleet.now >= OUTAGE_AT_MS {
                let span = (OUTAGE_MS + WARM_UP_MS) as f64;
                let done = |at: u64| ((at - OUTAGE_AT_MS) as f64 / span * self.forwarders as f64) as usize;
                let due = done(fleet.now)..done(fleet.now + step).min(self.forwarders);
                due.for_each(|n| fleet.restart(n));
            }
            fleet.run(step, self.demand());
        }
    }
}

/// Describes a window: when it ends after the return, and its calls by what allowed them.
fn describe(window: &[Arrival], returned: u64) -> String {
    let mut allowances: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in window {
        let allowance = arrival.allowance.map_or("Healthy".into(), |allowance| format!("{allowance:?}"));
        *allowances.entry(allowance).or_default() += 1;
    }
    let end = window.last().map_or(0, |arrival| arrival.at - returned);
    format!("{} calls until {end} ms after the return {allowances:?}", window.len())
}

/// Returns the load, until all of the capacity is back, of a destination with this capacity in calls per second that returned at this time.
pub fn load_after_return(fleet: &Fleet, settings: &Settings, capacity: f64, returned: u64) -> Outcomes {
    let warm_up = returned..returned + settings.warm_up.0 / NANOS_PER_MS;
    let after: Vec<Arrival> = fleet.arrivals.iter().filter(|a| warm_up.contains(&a.at)).copied().collect();
    let window_ms = (settings.overload_window.0 / NANOS_PER_MS).max(1);
    let budget = CallBudget {
        capacity,
        overload_multiple: settings.overload_multiple,
        cold_share: settings.cold_capacity_share,
        warm_up_secs: settings.warm_up.secs(),
        window_secs: settings.overload_window.secs(),
    };
    let (mut first, mut notified) = (0, 0);
    let mut result = Outcomes::default();
    for (last, arrival) in after.iter().enumerate() {
        notified += usize::from(arrival.is_notified);
        while after[first].at + window_ms <= arrival.at {
            notified -= usize::from(after[first].is_notified);
            first += 1;
        }
        let calls = last + 1 - first;
        let load = calls as f64 / budget.in_window(ms(arrival.at - returned).secs());
        result.load = result.load.max(load);
        if notified as f64 >= NOTIFIED_SHARE * calls as f64 && load > result.notified_load {
            result.notified_load = load;
            result.fullest = describe(&after[first..=last], returned);
        }
    }
    result
}

/// Returns the scenarios of an outage: all sizes, kinds of traffic and restarts. `FLEET_SEEDS` is the number of seeds, 1 if it is not
/// set.
fn scenarios(failure: Failure, endpoints: usize) -> Vec<Scenario> {
    let seeds: u64 = std::env::var("FLEET_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(1);
    let mut scenarios = Vec::new();
    for (forwarders, capacity) in SIZES {
        for traffic in [Traffic::Even, Traffic::Uneven, Traffic::Backlog, Traffic::AllKnow] {
            for restart in RESTARTS {
                scenarios.extend((0..seeds).map(|seed| Scenario {
                    forwarders,
                    capacity,
                    endpoints,
                    failure,
                    traffic,
                    restart,
                    seed,
                }));
            }
        }
    }
    scenarios
}

/// Plays the scenarios, several at a time, and returns them with what came of each.
pub fn play_all<S: Clone + Sync + Send>(
    scenarios: &[S], play: impl Fn(&S) -> Outcomes + Sync,
) -> Vec<(S, Outcomes)> {
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_PLAYS {
            scope.spawn(|| {
                while let Some(scenario) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcomes = play(scenario);
                    played.lock().expect("lock").push((scenario.clone(), outcomes));
                }
            });
        }
    });
    played.into_inner().expect("lock")
}

/// Guards against issue 67: a server that came back from rejections was sent more than its budget by forwarders that had all seen them.
#[rstest::rstest]
#[case::errors(Failure::Outcome(Outcome::Error), 1)]
#[case::resets(Failure::Outcome(Outcome::Reset), 1)]
#[case::refused_connections(Failure::Outcome(Outcome::ConnectFailed), 1)]
#[case::silence(Failure::Hang, 1)]
#[case::rejections(Failure::Outcome(Outcome::Rejected(None)), 1)]
#[case::rejections_on_closed_connections(Failure::RejectAndClose, 1)]
#[case::short_retry_afters(Failure::RejectWithShortRetryAfter, 1)]
#[case::retry_afters_that_end_before_the_outage(Failure::RejectWithEarlyRetryAfter, 1)]
#[case::retry_afters_until_the_return(Failure::RejectUntilReturn, 1)]
#[case::retry_afters_of_some_rejections(Failure::RejectWithSomeRetryAfters, 1)]
#[case::errors_of_three_endpoints(Failure::Outcome(Outcome::Error), 3)]
#[case::rejections_of_three_endpoints(Failure::Outcome(Outcome::Rejected(None)), 3)]
fn a_fleet_keeps_within_the_budget_after_any_outage(#[case] failure: Failure, #[case] endpoints: usize) {
    let mut played = play_all(&scenarios(failure, endpoints), Scenario::play);
    played.sort_by(|a, b| b.1.notified_load.total_cmp(&a.1.notified_load));
    for (scenario, outcomes) in &played {
        println!("{outcomes:?} {scenario:?}");
    }
    let (scenario, fullest) = played.first().expect("a scenario");
    assert!(fullest.notified_load <= 1.0, "{:.2} of the budget in {scenario:?}", fullest.notified_load);
    let served: usize = played.iter().map(|(_, outcomes)| outcomes.served).sum();
    assert!(served > 0, "the destination is used after its return");
}
