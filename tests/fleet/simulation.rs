//! A fleet of decision modules in virtual time that share a few endpoints. Time advances in steps, arrivals and seeds are fixed, and
//! nothing reads a clock.
use crate::common::*;
use crate::fleet_common::{tolerated_calls, Random};
use micaladder::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Duration of a simulation step in ms, equal to a tick.
pub const STEP_MS: u64 = 5;
/// Duration of an answered call in ms.
const CALL_MS: u64 = 30;
/// Idle time in ms after which a forwarder closes a connection; an endpoint would close it after 10 s.
const IDLE_TIMEOUT_MS: u64 = 7000;
/// The members' clocks at the start of the simulation, in ms.
const CLOCK_START_MS: u64 = 1_000_000;
/// Time in ms without any response after which a member gives up a call to a silent endpoint.
const CALL_TIMEOUT_MS: u64 = 4000;
/// Time in ms after which a member gives up a connect.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Shortest and longest Retry-After in ms of a rejection that names a short one.
const SHORT_RETRY_AFTER_MS: (f64, f64) = (330.0, 800.0);
/// Retry-After in ms of `Failure::RejectWithEarlyRetryAfter`: longer than the shortest outage, shorter than the simulated ones.
const EARLY_RETRY_AFTER_MS: u64 = 3000;
/// Share of rejections that name a Retry-After in `Failure::RejectWithSomeRetryAfters`.
const RETRY_AFTER_SHARE: f64 = 0.7;

/// What happens to a call in an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// It fails after a step with this outcome.
    Outcome(Outcome),
    /// It is not answered.
    Hang,
    /// It is rejected on a new connection, which ends.
    RejectAndClose,
    /// It is rejected with a Retry-After of less than a second.
    RejectWithShortRetryAfter,
    /// It is rejected with a Retry-After that ends before the outage does.
    RejectWithEarlyRetryAfter,
    /// It is rejected with a Retry-After that ends with the outage.
    RejectUntilReturn,
    /// It is rejected, and some of the rejections have a Retry-After that ends with the outage.
    RejectWithSomeRetryAfters,
    /// It is rejected, and the load report says that the limit is used up.
    RejectAtReportedLimit,
    /// Its connection is not established.
    ConnectHang,
}

/// An endpoint that all forwarders share. The endpoint at index n has id n.
pub struct Endpoint {
    pub dest: u64,
    /// Maximum number of connections, including idle ones.
    pub max_connections: usize,
    /// Maximum number of calls in any second, including rejected ones.
    pub limit: usize,
    /// The limit in the endpoint list.
    pub listed: f64,
    /// Arrival times of the calls of the last second.
    pub recent_calls: VecDeque<u64>,
    /// Start and end of its outage.
    pub outage: (u64, u64),
    /// What happens to its calls in the outage; for each call, one of them.
    pub failures: Vec<Failure>,
    /// Share of the calls in the outage that fail; the others are served.
    pub failing_share: f64,
    /// Arrival times of the calls of the last `overload_window`.
    pub window: VecDeque<u64>,
    /// The maximum over time of the calls in `window` divided by the overload threshold N + 2√N + 2 (N + 3√N + 3 where N is under
    /// 30), where N is the number of calls that the settings allow in such a window at that time.
    pub peak_load: f64,
}

impl Endpoint {
    /// Counts a call against the capacity of a recovering destination, which rises from `cold_capacity_share` to all
    /// of it during the warm-up.
    fn count_load(&mut self, now: u64, settings: &Settings) {
        let span = settings.overload_window.secs();
        self.window.push_back(now);
        while self.window.front().is_some_and(|at| now - at >= (span * 1000.0) as u64) {
            self.window.pop_front();
        }
        let warm = (now.saturating_sub(self.outage.1) as f64 / 1000.0 / settings.warm_up.secs()).min(1.0);
        let share = settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * warm;
        let allowed = settings.overload_multiple * share * self.listed * span;
        self.peak_load = self.peak_load.max(self.window.len() as f64 / tolerated_calls(allowed));
    }

    fn is_out(&self, now: u64) -> bool {
        (self.outage.0..self.outage.1).contains(&now)
    }
}

pub fn endpoint(max_connections: usize, limit: usize) -> Endpoint {
    let (recent_calls, window) = (VecDeque::new(), VecDeque::new());
    Endpoint {
        dest: 0,
        max_connections,
        limit,
        listed: limit as f64,
        recent_calls,
        outage: (0, 0),
        failures: vec![Failure::Outcome(Outcome::ConnectFailed)],
        failing_share: 1.0,
        window,
        peak_load: 0.0,
    }
}

/// A call in flight, with its end time and outcome.
struct Call {
    started_at: u64,
    ends_at: u64,
    id: u64,
    attempt: u32,
    host: usize,
    outcome: Outcome,
    report: Option<LoadReport>,
}

/// A message without a final answer, as the journal has it.
#[derive(Clone, Copy)]
struct JournalledMessage {
    message: Message,
    prior: PriorAttempts,
}

/// A forwarder, its connections to each endpoint and its calls in flight.
pub struct Member {
    pub forwarder: Forwarder,
    /// The time since which each idle connection is idle, by endpoint.
    idle: Vec<Vec<u64>>,
    /// The number of connections with a call in flight, by endpoint.
    busy: Vec<usize>,
    in_flight: Vec<Call>,
    attempts: BTreeMap<u64, u32>,
    wake_at: Option<Nanos>,
    /// The latest change of each endpoint's health, which survives a restart.
    health: BTreeMap<u32, HealthChange>,
    /// Messages without a final answer, which survive a restart.
    journal: BTreeMap<u64, JournalledMessage>,
    /// Endpoints at which a call has failed or was rejected in the current outage.
    failed_at: BTreeSet<usize>,
}

impl Member {
    fn new(forwarder: Forwarder, endpoints: usize) -> Member {
        Member {
            forwarder,
            idle: vec![Vec::new(); endpoints],
            busy: vec![0; endpoints],
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            wake_at: None,
            health: BTreeMap::new(),
            journal: BTreeMap::new(),
            failed_at: BTreeSet::new(),
        }
    }

    /// Returns the events by which a new process hears of the messages and of the endpoints that were not healthy. A message that
    /// must not run twice and may have run ends with the process.
    fn stored_events(&mut self) -> Vec<Event> {
        let classes = &self.forwarder.settings.classes;
        self.journal.retain(|_, entry| {
            entry.prior.first_possible_run.is_none()
                || classes[entry.message.class].effect != Effect::AtMostOnce
        });
        let health = self.health.values().filter_map(restored);
        health.chain(self.journal.values().map(|entry| Event::Resumed(entry.message, entry.prior))).collect()
    }
}

/// Returns the event by which a new process hears of an endpoint's health; `None` for a healthy one.
fn restored(change: &HealthChange) -> Option<Event> {
    let is_healthy = change.health == EndpointHealth::Healthy;
    (!is_healthy).then_some(Event::HealthRestored { host: change.host, served_rate: change.served_rate })
}

#[derive(Default)]
pub struct Counts {
    pub submitted: usize,
    pub in_time: usize,
    pub calls: usize,
    pub connection_limited: usize,
    pub rejected: usize,
    pub served: usize,
    pub handshakes: usize,
}

/// A call that reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    /// A call of its forwarder had failed or was rejected at this destination in the last outage.
    pub is_notified: bool,
    /// What allowed it; `None` if the endpoint was healthy to its forwarder.
    pub allowance: Option<CallAllowance>,
}

/// Seed of the simulation's random numbers where a test gives none.
const DEFAULT_SEED: u64 = 88_172_645_463_325_252;

pub struct Fleet {
    pub members: Vec<Member>,
    pub endpoints: Vec<Endpoint>,
    pub now: u64,
    random: Random,
    submitted_at: BTreeMap<u64, u64>,
    pub counts: Counts,
    /// Whether one member in ten gets half of the messages.
    pub uneven: bool,
    /// Classes of the messages, which are equally frequent.
    pub classes: Vec<usize>,
    pub arrivals: Vec<Arrival>,
}

impl Fleet {
    pub fn new(settings: &Settings, endpoints: Vec<Endpoint>) -> Fleet {
        let endpoints = endpoints.into_iter().enumerate();
        let numbered = endpoints.map(|(n, endpoint)| Endpoint { dest: n as u64, ..endpoint }).collect();
        Fleet::of_destinations(settings, numbered, DEFAULT_SEED)
    }

    /// Returns a fleet whose endpoints belong to the destinations that they name.
    pub fn of_destinations(settings: &Settings, endpoints: Vec<Endpoint>, seed: u64) -> Fleet {
        let mut random = Random(seed);
        let first_seed = if seed == DEFAULT_SEED { 1 } else { (random.next() * 1e9) as u64 };
        let list = list_entries(&endpoints);
        let member = |n: usize| {
            let seed = first_seed + 7919 * n as u64;
            Member::new(Forwarder::with_seed(settings.clone(), list.clone(), seed), list.len())
        };
        Fleet {
            members: (0..settings.forwarders).map(member).collect(),
            endpoints,
            now: 0,
            random,
            submitted_at: BTreeMap::new(),
            counts: Counts::default(),
            uneven: false,
            classes: vec![IDEMPOTENT],
            arrivals: Vec::new(),
        }
    }

    /// Returns the index of the member that gets the next message.
    fn receiver(&mut self) -> usize {
        let all = self.members.len();
        let candidates = if self.uneven && self.random.next() < 0.5 { all.div_ceil(10) } else { all };
        (self.random.next() * candidates as f64) as usize
    }

    /// Restarts every nth member.
    pub fn restart_every(&mut self, nth: usize) {
        (0..self.members.len()).step_by(nth).for_each(|n| self.restart(n));
    }

    /// Restarts a member, which loses its connections, its calls and all state but the endpoint list, the health of endpoints and
    /// the journal.
    pub fn restart(&mut self, n: usize) {
        let settings = self.members[n].forwarder.settings.clone();
        let list = list_entries(&self.endpoints);
        let endpoints = list.len();
        let mut forwarder = Forwarder::with_seed(settings, list, 2 + 104_729 * n as u64 + self.now);
        forwarder.now = ms(CLOCK_START_MS + self.now);
        let stored = self.members[n].stored_events();
        let old = std::mem::replace(&mut self.members[n], Member::new(forwarder, endpoints));
        let member = &mut self.members[n];
        member.attempts = old.journal.iter().map(|(id, entry)| (*id, entry.prior.attempts)).collect();
        member.health = old.health;
        member.journal = old.journal;
        member.failed_at = old.failed_at;
        let actions = member.forwarder.step(0, &stored);
        self.carry_out(n, actions);
    }

    /// Counts the connections of all forwarders at an endpoint.
    fn connections(&self, host: usize) -> usize {
        self.members.iter().map(|m| m.idle[host].len() + m.busy[host]).sum()
    }

    /// Runs the simulation for `for_ms`, with `rate` messages per second for all forwarders together.
    pub fn run(&mut self, for_ms: u64, rate: f64) {
        let mut due: VecDeque<u64> = VecDeque::new();
        let mut at = self.now as f64;
        while at < (self.now + for_ms) as f64 {
            at += -(1.0 - self.random.next()).ln() / rate * 1000.0;
            due.push_back(at as u64);
        }
        let end = self.now + for_ms;
        while self.now < end {
            self.now += STEP_MS;
            let mut submitted: Vec<Vec<u64>> = vec![Vec::new(); self.members.len()];
            while due.front().is_some_and(|d| *d <= self.now) {
                due.pop_front();
                let to = self.receiver();
                submitted[to].push(self.next_message());
            }
            for (n, ids) in submitted.into_iter().enumerate() {
                self.step(n, &ids);
            }
        }
    }

    /// Hands a message to a member.
    pub fn submit_to(&mut self, member: usize) {
        let id = self.next_message();
        self.step(member, &[id]);
    }

    /// Hands this number of messages to each member at once.
    pub fn submit_to_all(&mut self, messages: usize) {
        for n in 0..self.members.len() {
            let ids: Vec<u64> = (0..messages).map(|_| self.next_message()).collect();
            self.step(n, &ids);
        }
    }

    /// Returns the id of a message that is handed in now.
    fn next_message(&mut self) -> u64 {
        self.counts.submitted += 1;
        let id = self.counts.submitted as u64;
        self.submitted_at.insert(id, self.now);
        id
    }

    /// Returns the event of a new message for a random destination, and journals it.
    fn accept(&mut self, n: usize, id: u64) -> Event {
        let host = (self.random.next() * self.endpoints.len() as f64) as usize;
        let class = self.classes[id as usize % self.classes.len()];
        let member = &mut self.members[n];
        let event = member.forwarder.message(id, class, self.endpoints[host].dest);
        let Event::Message(message) = &event else { unreachable!("a message") };
        let prior = PriorAttempts { attempts: 0, first_possible_run: None };
        member.journal.insert(id, JournalledMessage { message: *message, prior });
        event
    }

    /// Ends the due calls of a member and lets the member handle all its events of this step.
    fn step(&mut self, n: usize, submitted: &[u64]) {
        let now = self.now;
        self.members[n].forwarder.now = ms(CLOCK_START_MS + now);
        let mut events: Vec<Event> = submitted.iter().map(|id| self.accept(n, *id)).collect();
        let m = &mut self.members[n];
        m.idle.iter_mut().for_each(|host| host.retain(|since| now - since < IDLE_TIMEOUT_MS));
        let ended: Vec<Call> = m.in_flight.extract_if(.., |c| c.ends_at <= now).collect();
        for call in ended {
            events.push(self.end_call(n, &call));
        }
        let m = &mut self.members[n];
        if m.wake_at.is_some_and(|at| at <= m.forwarder.now) {
            events.push(Event::Due);
        }
        if events.is_empty() {
            return;
        }
        let actions = m.forwarder.step(0, &events);
        self.carry_out(n, actions);
    }

    /// Ends a call and returns its event.
    fn end_call(&mut self, n: usize, call: &Call) -> Event {
        let now = self.now;
        let m = &mut self.members[n];
        let Call { id, attempt, host, outcome, report, .. } = *call;
        match outcome {
            Outcome::Ok => {
                m.busy[host] -= 1;
                m.idle[host].push(now);
                m.journal.remove(&id);
                self.counts.served += 1;
                self.counts.in_time += usize::from(now - self.submitted_at[&id] <= 2000);
            }
            // The rule counts calls that failed in the outage.
            _ if self.endpoints[host].is_out(now) => drop(m.failed_at.insert(host)),
            _ => {}
        }
        if let Some(entry) = m.journal.get_mut(&id) {
            entry.prior.attempts = attempt + 1;
            if !outcome.never_ran() && entry.prior.first_possible_run.is_none() {
                entry.prior.first_possible_run = Some((m.forwarder.now, 0));
            }
        }
        let Event::AttemptEnded(ended) = attempt_ended(id, attempt, outcome, now - call.started_at) else {
            unreachable!("the end of an attempt")
        };
        Event::AttemptEnded(AttemptEnded { report, ..ended })
    }

    fn carry_out(&mut self, n: usize, actions: Vec<Action>) {
        let mut allowance = None;
        for action in actions {
            match action {
                Action::Send { id, host, timeout } => {
                    self.call(n, id.0, host.0 as usize, timeout, allowance.take());
                }
                Action::CloseIdle(host) => self.members[n].idle[host.0 as usize].clear(),
                Action::WakeAt(at) => self.members[n].wake_at = Some(at),
                Action::Reject { id, .. } | Action::Fail(id) => drop(self.members[n].journal.remove(&id.0)),
                Action::HealthChanged(change) => {
                    self.members[n].health.insert(change.host.0, change);
                }
                Action::Cancel { .. } | Action::WatchEndpointList | Action::Log { .. } => {}
                Action::RestrictedCall(call) => allowance = Some(call.allowance),
                Action::PaceReduced(_) => {}
            }
        }
    }

    /// Starts a call of a member and decides its outcome.
    fn call(&mut self, n: usize, id: u64, host: usize, timeout: Nanos, allowance: Option<CallAllowance>) {
        let has_room = self.connections(host) < self.endpoints[host].max_connections;
        let m = &mut self.members[n];
        let attempts = m.attempts.entry(id).or_default();
        let attempt = *attempts;
        *attempts += 1;
        self.counts.calls += 1;
        let reused = m.idle[host].pop().is_some();
        let e = &mut self.endpoints[host];
        while e.recent_calls.front().is_some_and(|at| self.now - at >= 1000) {
            e.recent_calls.pop_front();
        }
        if self.now >= e.outage.1 && e.outage.1 > 0 {
            e.count_load(self.now, &m.forwarder.settings);
        }
        let is_notified =
            m.failed_at.iter().any(|failed| self.endpoints[*failed].dest == self.endpoints[host].dest);
        self.arrivals.push(Arrival { at: self.now, is_notified, allowance });
        let e = &mut self.endpoints[host];
        let fails = e.is_out(self.now) && (e.failing_share >= 1.0 || self.random.next() < e.failing_share);
        let mut report = None;
        let (duration, outcome) = if fails {
            let failure = match e.failures[..] {
                [failure] => failure,
                _ => e.failures[(self.random.next() * e.failures.len() as f64) as usize],
            };
            let used_up = LoadReport { left: 0.0, limit: e.listed };
            report = (failure == Failure::RejectAtReportedLimit).then_some(used_up);
            fail(e, failure, self.now, timeout, &mut self.random)
        } else if !reused && !has_room {
            self.counts.connection_limited += 1;
            (STEP_MS, Outcome::ConnectionLimit)
        } else {
            self.counts.handshakes += usize::from(!reused);
            e.recent_calls.push_back(self.now);
            if e.recent_calls.len() > e.limit {
                self.counts.rejected += 1;
                (STEP_MS, Outcome::Rejected(None))
            } else {
                m.busy[host] += 1;
                (CALL_MS, Outcome::Ok)
            }
        };
        m.in_flight.push(Call {
            started_at: self.now,
            ends_at: self.now + duration,
            id,
            attempt,
            host,
            outcome,
            report,
        });
    }
}

/// Returns the duration in ms and the outcome of a call in an outage.
fn fail(
    endpoint: &Endpoint, failure: Failure, now: u64, timeout: Nanos, random: &mut Random,
) -> (u64, Outcome) {
    let until_return = ms(endpoint.outage.1 - now);
    let wait = match failure {
        Failure::Outcome(outcome) => return (STEP_MS, outcome),
        Failure::Hang => {
            let timeout_ms = (timeout.0 / NANOS_PER_MS).min(CALL_TIMEOUT_MS);
            return (timeout_ms.max(STEP_MS), Outcome::Timeout);
        }
        Failure::ConnectHang => return (CONNECT_TIMEOUT_MS, Outcome::ConnectFailed),
        Failure::RejectAndClose => return (STEP_MS, Outcome::ConnectionLimit),
        Failure::RejectAtReportedLimit => None,
        Failure::RejectWithShortRetryAfter => {
            let (shortest, longest) = SHORT_RETRY_AFTER_MS;
            Some(ms((shortest + (longest - shortest) * random.next()) as u64))
        }
        Failure::RejectWithEarlyRetryAfter => Some(ms(EARLY_RETRY_AFTER_MS).min(until_return)),
        Failure::RejectUntilReturn => Some(until_return),
        Failure::RejectWithSomeRetryAfters => {
            Some(until_return).filter(|_| random.next() < RETRY_AFTER_SHARE)
        }
    };
    (STEP_MS, Outcome::Rejected(wait))
}

/// Returns the entries of the endpoint list.
fn list_entries(endpoints: &[Endpoint]) -> Vec<EndpointEntry> {
    let entry =
        |(n, e): (usize, &Endpoint)| EndpointEntry { rate: e.listed, ..list_entry(n as u32, e.dest, 0, 0) };
    endpoints.iter().enumerate().map(entry).collect()
}
