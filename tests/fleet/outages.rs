//! Outages drawn at random, by seed: how calls fail, how many of them, for how long, in which fleet, with which traffic and restarts.
//! The budget of a returning destination binds whatever was drawn.
use super::budget::{load_after_return, play_all, Outcomes};
use super::fleet_settings;
use super::simulation::*;
use crate::common::*;
use crate::fleet_common::Random;
use micaladder::*;

/// Start of the outage in ms.
const OUTAGE_AT_MS: u64 = 6000;
/// Shortest and longest outage in ms.
const OUTAGE_MS: (f64, f64) = (600.0, 20_000.0);
const WARM_UP_MS: u64 = 9000;
const MANY_CONNECTIONS: usize = 1000;
const NO_LIMIT: usize = 10_000;
const FLEETS: [usize; 7] = [3, 8, 20, 49, 52, 100, 300];
/// Smallest and largest decimal logarithm of the capacity in calls per second and forwarder.
const CAPACITY_EXPONENTS: (f64, f64) = (-1.3, 0.3);
const SMALLEST_CAPACITY: f64 = 3.0;
/// Time before and after the return in ms from which the time of a burst near the return is drawn.
const NEAR_RETURN_MS: f64 = 1000.0;
/// The first numbers of neighbouring seeds are alike.
const DISCARDED_NUMBERS: usize = 8;
const SEEDS_IN_CI: u64 = 60;

/// Kinds of failure. Each seed draws several.
const FAILURES: [Failure; 15] = [
    Failure::Outcome(Outcome::Error),
    Failure::Outcome(Outcome::Reset),
    Failure::Outcome(Outcome::ConnectFailed),
    Failure::Outcome(Outcome::Rejected(None)),
    Failure::Outcome(Outcome::UnreadableAnswer),
    Failure::RejectAndClose,
    Failure::RejectAndClose,
    Failure::Hang,
    Failure::ConnectHang,
    Failure::RejectAtReportedLimit,
    Failure::RejectWithShortRetryAfter,
    Failure::RejectWithEarlyRetryAfter,
    Failure::RejectUntilReturn,
    Failure::RejectWithSomeRetryAfters,
    Failure::Outcome(Outcome::Rejected(None)),
];

/// What happens in a play, besides the steady traffic.
#[derive(Clone, Debug)]
enum Happening {
    /// From now on, calls in the outage fail in one of these ways.
    Fail(Vec<Failure>),
    /// A message for this forwarder.
    Message(usize),
    /// A restart of this forwarder.
    Restart(usize),
}

/// A drawn outage. Times are in ms.
#[derive(Clone)]
struct DrawnOutage {
    seed: u64,
    forwarders: usize,
    /// Calls per second that the warm destination processes.
    capacity: f64,
    /// Demand as a share of the capacity.
    demand_share: f64,
    endpoints: usize,
    length: u64,
    failing_share: f64,
    uneven: bool,
    listed_rates: ListedRates,
    /// Description of what was drawn.
    drawn: Vec<String>,
    /// What happens, in order of time.
    happenings: Vec<(u64, Happening)>,
}

impl std::fmt::Debug for DrawnOutage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "seed {}: {} forwarders, {:.1} calls per second, demand {:.2}, {} endpoints, {} ms, {:.2} fail, uneven {}, {:?}, {}",
            self.seed,
            self.forwarders,
            self.capacity,
            self.demand_share,
            self.endpoints,
            self.length,
            self.failing_share,
            self.uneven,
            self.listed_rates,
            self.drawn.join("; ")
        )
    }
}

/// Draws from a range, evenly.
fn between(random: &mut Random, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * random.next()
}

fn index(random: &mut Random, len: usize) -> usize {
    (random.next() * len as f64) as usize
}

impl DrawnOutage {
    fn draw(seed: u64) -> DrawnOutage {
        let mut random = Random((seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let random = &mut random;
        for _ in 0..DISCARDED_NUMBERS {
            random.next();
        }
        let forwarders = FLEETS[index(random, FLEETS.len())];
        let per_forwarder = 10f64.powf(between(random, CAPACITY_EXPONENTS));
        let mut outage = DrawnOutage {
            seed,
            forwarders,
            capacity: (per_forwarder * forwarders as f64).max(SMALLEST_CAPACITY),
            demand_share: between(random, (0.3, 1.2)),
            endpoints: 1 + index(random, 4).saturating_sub(1),
            length: between(random, (OUTAGE_MS.0.ln(), OUTAGE_MS.1.ln())).exp() as u64,
            failing_share: if random.next() < 0.6 { 1.0 } else { between(random, (0.5, 1.0)) },
            uneven: random.next() < 0.4 && forwarders >= 10,
            listed_rates: if random.next() < 0.8 { ListedRates::Nominal } else { ListedRates::Absent },
            drawn: Vec::new(),
            happenings: Vec::new(),
        };
        outage.draw_failures(random);
        outage.draw_messages(random);
        outage.draw_restarts(random);
        outage.happenings.sort_by_key(|(at, _)| *at);
        outage
    }

    fn returns_at(&self) -> u64 {
        OUTAGE_AT_MS + self.length
    }

    /// Draws one to three phases of the outage with one to three kinds of failure each.
    fn draw_failures(&mut self, random: &mut Random) {
        for phase in 0..1 + index(random, 3) {
            let kinds = 1 + index(random, 3);
            let failures: Vec<Failure> =
                (0..kinds).map(|_| FAILURES[index(random, FAILURES.len())]).collect();
            let after = if phase == 0 { 0 } else { (random.next() * self.length as f64) as u64 };
            self.drawn.push(format!("after {after} ms {failures:?}"));
            self.happenings.push((OUTAGE_AT_MS + after, Happening::Fail(failures)));
        }
    }

    /// Draws messages by which all forwarders learn of the outage, and up to three bursts.
    fn draw_messages(&mut self, random: &mut Random) {
        if random.next() < 0.5 {
            let at = OUTAGE_AT_MS + (random.next() * 0.5 * self.length as f64) as u64;
            self.drawn.push(format!("a message for each at {at}"));
            self.happenings.extend((0..self.forwarders).map(|n| (at, Happening::Message(n))));
        }
        for _ in 0..index(random, 4) {
            let returned = self.returns_at() as f64;
            let near = (returned - NEAR_RETURN_MS, returned + NEAR_RETURN_MS);
            let any = (OUTAGE_AT_MS as f64, returned + WARM_UP_MS as f64);
            let times = if random.next() < 0.5 { near } else { any };
            let at = between(random, times);
            let spread = if random.next() < 0.5 { 0.0 } else { 1000.0 };
            let of_limit = (between(random, (1.0, 3.0)) * self.capacity) as usize;
            let messages =
                if random.next() < 0.5 { of_limit } else { self.forwarders * (1 + index(random, 2)) };
            self.drawn.push(format!("a burst of {messages} at {at:.0} within {spread} ms"));
            let first = index(random, self.forwarders);
            for n in 0..messages {
                let at = (at + spread * random.next()) as u64;
                self.happenings.push((at, Happening::Message((first + n) % self.forwarders)));
            }
        }
    }

    /// Draws restarts: of every nth forwarder at one time, or of one after another.
    fn draw_restarts(&mut self, random: &mut Random) {
        if random.next() < 0.4 {
            return;
        }
        let nth = 1 + index(random, 3);
        let at = between(random, (OUTAGE_AT_MS as f64 - 1000.0, (self.returns_at() + WARM_UP_MS) as f64));
        let rolling = if random.next() < 0.3 { self.length as f64 } else { 0.0 };
        self.drawn.push(format!("every {nth}th restarts from {at:.0}, within {rolling} ms"));
        for n in (0..self.forwarders).step_by(nth) {
            let at = at + rolling * n as f64 / self.forwarders as f64;
            self.happenings.push((at as u64, Happening::Restart(n)));
        }
    }

    fn play(&self) -> Outcomes {
        let settings = Settings {
            warm_up: ms(WARM_UP_MS),
            listed_rates: self.listed_rates,
            ..fleet_settings(self.forwarders)
        };
        let is_listed = self.listed_rates == ListedRates::Nominal;
        let one = || Endpoint {
            outage: (OUTAGE_AT_MS, self.returns_at()),
            failing_share: self.failing_share,
            listed: if is_listed { self.capacity } else { 0.0 },
            ..endpoint(MANY_CONNECTIONS, NO_LIMIT)
        };
        let endpoints = (0..self.endpoints).map(|_| one()).collect();
        let mut fleet = Fleet::of_destinations(&settings, endpoints, 1_000_003 * (self.seed + 1));
        fleet.uneven = self.uneven;
        fleet.classes = vec![IDEMPOTENT, IDEMPOTENT_BY_KEY, AT_MOST_ONCE];
        for (at, happening) in &self.happenings {
            self.run_until(&mut fleet, *at);
            match happening {
                Happening::Fail(failures) => {
                    fleet.endpoints.iter_mut().for_each(|e| e.failures.clone_from(failures));
                }
                Happening::Message(forwarder) => fleet.submit_to(*forwarder),
                Happening::Restart(forwarder) => fleet.restart(*forwarder),
            }
        }
        self.run_until(&mut fleet, self.returns_at() + WARM_UP_MS);
        load_after_return(&fleet, &settings, self.capacity, self.returns_at())
    }

    fn run_until(&self, fleet: &mut Fleet, until: u64) {
        let left = until.saturating_sub(fleet.now);
        if left > 0 {
            fleet.run(left, self.demand_share * self.capacity);
        }
    }
}

/// Returns the seeds: `OUTAGES` of them from `OUTAGES_FROM` on, or the ones of CI.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    let from = number("OUTAGES_FROM").unwrap_or(0);
    from..from + number("OUTAGES").unwrap_or(SEEDS_IN_CI)
}

/// Guards against issue 70: a server that came back was sent more than its budget after an outage whose look no rule had named.
#[test]
fn a_fleet_keeps_within_the_budget_after_outages_drawn_at_random() {
    let outages: Vec<DrawnOutage> = seeds().map(DrawnOutage::draw).collect();
    let mut played = play_all(&outages, DrawnOutage::play);
    played.sort_by(|a, b| b.1.notified_load.total_cmp(&a.1.notified_load));
    for (outage, outcomes) in &played {
        println!("{:.2} ({:.2}) {} {outage:?}", outcomes.notified_load, outcomes.load, outcomes.fullest);
    }
    let over = played.iter().filter(|(_, outcomes)| outcomes.notified_load > 1.0).count();
    println!("{over} of {} outages exceed the budget", played.len());
    let (outage, fullest) = played.first().expect("an outage");
    assert!(fullest.notified_load <= 1.0, "{:.2} of the budget in {outage:?}", fullest.notified_load);
}
