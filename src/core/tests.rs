//! Simulation of a core on a disk whose operations may fail and whose process may be killed at any step. Checks attempts,
//! callbacks and the journal's contents at each step. Runs in virtual time without a network, and is reproducible by seed.
use super::in_flight::{InFlight, Stage};
use super::pending::PendingMessage;
use super::test_disk::{InMemoryDisk, ALL_OPERATIONS};
use super::*;
use crate::interface::{Class, Effect, EndpointKind, EndpointState, IdempotencyScope, ListedRates, Outcome};
use crate::journal::Journal;
use crate::request::RequestContext;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Index of the class with ordering and idempotency keys.
const KEYED_CLASS: usize = 0;
/// Index of the class whose messages must not run twice. Messages of the class between these two may run repeatedly.
const AT_MOST_ONCE_CLASS: usize = 2;
/// So small that the journal is compacted every few messages.
const FOLDER_CAPACITY_BYTES: u64 = 9_500;
/// Maximum number of requests that `run` submits.
const MAX_REQUESTS: u64 = 90;

pub(in crate::core) fn deployment() -> Arc<DeploymentSettings> {
    let class = |name: &str, effect, fifo_by_key| {
        let (latency_objective, deadline) = (Nanos::from_secs(1.0), Nanos::from_secs(8.0));
        (
            name.to_string(),
            Class {
                latency_objective,
                deadline,
                priority_weight: 1.0,
                late_weight_share: 0.5,
                effect,
                fifo_by_key,
            },
        )
    };
    let idempotent_by_key =
        Effect::IdempotentByKey { scope: IdempotencyScope::AllEndpoints, window: Nanos::from_secs(9.0) };
    let classes = [
        class("sync", idempotent_by_key, true),
        class("stats", Effect::Idempotent, false),
        class("payout", Effect::AtMostOnce, false),
    ];
    let module = Settings {
        slots: 6,
        max_pending: 40,
        max_attempts: 6,
        forwarders: 1,
        tick: Nanos(5_000_000),
        classes: classes.iter().map(|c| c.1.clone()).collect(),
        kinds: vec![EndpointKind { separate_routes: false, max_batch: 1 }],
        retry_after: Some(Nanos::from_secs(2.0)),
        may_cancel: true,
        listed_rates: ListedRates::Absent,
        cold_capacity_share: 0.2,
        warm_up: Nanos::from_secs(2.0),
        overload_multiple: 2.0,
        overload_window: Nanos::from_secs(1.5),
        connection_idle_timeout: Nanos::from_secs(15.0),
        ..Settings::default()
    };
    Arc::new(DeploymentSettings {
        module,
        classes: classes.into_iter().map(|c| c.0).collect(),
        tenants: vec!["t".into()],
        zones: vec!["z".into()],
        kinds: vec!["k".into()],
        connect_timeout: Nanos::from_secs(1.0),
    })
}

/// An xorshift generator of random numbers.
struct Rng(u64);

impl Rng {
    /// Returns a random number from zero to `bound`, exclusive.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// A simulated forwarder with a real core: its clients, connections, endpoints and disk are models.
struct Simulation {
    seed: u64,
    /// Capacity of the folder, in bytes.
    capacity: u64,
    rng: Rng,
    disk: InMemoryDisk,
    core: Core,
    now: Nanos,
    /// Attempts that wait for their connection, with the time at which it is established.
    connecting: Vec<(Nanos, Attempt)>,
    /// Attempts in flight, with the time and the outcome of their end.
    in_flight: Vec<(Nanos, MessageId, u32, Outcome)>,
    /// Completion callbacks in flight, with the time at which the core receives the acknowledgement.
    acknowledgements: Vec<(Nanos, MessageId)>,
    /// Classes of the accepted messages, by name.
    accepted: BTreeMap<String, usize>,
    /// Number of runs of each message at endpoints.
    runs: HashMap<String, u32>,
    /// Completions reported in callbacks, by message.
    completions: HashMap<String, Vec<Completion>>,
    /// Number of sent attempts of each message that the journal must have.
    sent_attempts: HashMap<u64, u32>,
    /// Number of requests submitted so far.
    requests: u64,
    /// No request is submitted beyond this number.
    max_requests: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation::with_capacity(seed, FOLDER_CAPACITY_BYTES)
    }

    fn with_capacity(seed: u64, capacity: u64) -> Simulation {
        let (disk, now) = (InMemoryDisk::default(), Nanos::from_secs(1000.0));
        let core = Simulation::start_core(&disk, capacity, seed, now);
        Simulation {
            seed,
            capacity,
            rng: Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            disk,
            core,
            now,
            connecting: Vec::new(),
            in_flight: Vec::new(),
            acknowledgements: Vec::new(),
            accepted: BTreeMap::new(),
            runs: HashMap::new(),
            completions: HashMap::new(),
            sent_attempts: HashMap::new(),
            requests: 0,
            max_requests: MAX_REQUESTS,
        }
    }

    fn start_core(disk: &InMemoryDisk, capacity: u64, seed: u64, now: Nanos) -> Core {
        let (journal, records) = Journal::open_on(Box::new(disk.clone()), capacity).expect("journal opens");
        let mut core = Core::new(CoreOptions {
            limits: HoldingLimits { message_bytes: 1 << 30, endpoints: 10_000 },
            deployment: deployment(),
            seed,
            static_endpoints: Vec::new(),
            configured_list: EndpointList::default(),
            list_delivery: ListDelivery::Delayed,
            plugins: Plugins::none(),
            journal,
            records,
            predecessor: Predecessor::None,
            now,
        });
        let endpoints = (0..2).map(|n| Endpoint {
            uid: format!("s-{n}"),
            address: "a".into(),
            zone: 0,
            kind: 0,
            dest: 7,
            state: EndpointState::Running,
            rate: 50.0,
        });
        core.events.push(Event::Due);
        let endpoint_list = Input::Endpoints {
            revision: ListRevision::default(),
            complete: true,
            endpoints: endpoints.collect(),
        };
        let outputs = core.step(now, vec![endpoint_list]);
        assert!(outputs.iter().all(|o| !matches!(o, Output::Answer { .. })));
        // The first step of the simulation returns these outputs.
        core.outputs = outputs;
        core
    }

    /// Kills the process, and starts another one on a healthy disk.
    fn kill(&mut self) {
        self.disk = self.disk.after_kill();
        self.now = self.now + Nanos::from_secs(0.6);
        (self.connecting, self.in_flight, self.acknowledgements) = Default::default();
        self.sent_attempts.clear();
        for record in self.disk.folder.journal_records() {
            if let Record::AttemptStarted { id, earlier_attempts, .. } = record {
                *self.sent_attempts.entry(id).or_default() += 1 + earlier_attempts;
            }
        }
        self.core = Simulation::start_core(&self.disk, self.capacity, self.seed, self.now);
    }

    /// Returns a new request of a random class.
    fn new_request(&mut self) -> Input {
        let (class, id) = (self.rng.below(3) as usize, self.core.next_id());
        self.requests += 1;
        let name = format!("m{}", self.requests);
        let ordering_key = (class == KEYED_CLASS).then(|| self.rng.below(4));
        let idempotency_key = if class == KEYED_CLASS { format!("key-{name}") } else { String::new() };
        let (deadline, body) =
            (self.now + Nanos::from_secs(8.0), vec![7; self.rng.below(120) as usize].into());
        let (origin, tags) = (String::new(), Vec::new());
        let context = RequestContext {
            name,
            origin,
            class,
            tenant: 0,
            ordering_key,
            dest: 7,
            deadline,
            idempotency_key,
            body,
            tags,
        };
        Input::Submitted { id, context }
    }

    /// Runs one step of the core with these and all due inputs, carries out its outputs, and checks the invariants.
    fn step(&mut self, requests: Vec<Input>) {
        let now = self.now;
        let mut inputs = requests;
        let submitted: BTreeMap<MessageId, (String, usize)> = inputs
            .iter()
            .filter_map(|i| match i {
                Input::Submitted { id, context } => Some((*id, (context.name.clone(), context.class))),
                _ => None,
            })
            .collect();
        let due = |at: &Nanos| *at <= now;
        let connected: Vec<_> = self.connecting.extract_if(.., |c| due(&c.0)).collect();
        connected.iter().for_each(|c| self.send(&c.1));
        for (_, id, attempt, outcome) in self.in_flight.extract_if(.., |o| due(&o.0)) {
            inputs.push(Input::AttemptEnded { id, attempt, outcome, over: false, report: None });
        }
        let acknowledged = self.acknowledgements.extract_if(.., |a| due(&a.0));
        inputs.extend(acknowledged.map(|a| Input::CallbackAcknowledged(a.1)));
        for output in self.core.step(now, inputs) {
            match output {
                Output::Answer { request, answer: Answer::Accepted, .. } => {
                    let (name, class) = submitted[&request].clone();
                    let is_accepted = |r: &Record| matches!(r, Record::Accepted(m) if m.name == name);
                    assert!(
                        self.disk.folder.journal_records().iter().any(is_accepted),
                        "seed {}: {name} is not in the journal",
                        self.seed
                    );
                    self.accepted.insert(name, class);
                }
                Output::Answer { .. } | Output::CloseIdle(_) => {}
                Output::Call(attempts) => attempts.iter().for_each(|attempt| self.connect(attempt)),
                Output::CancelAttempt { id, attempt } => {
                    let mut cancelled =
                        self.in_flight.extract_if(.., |o| (o.1, o.2) == (id, attempt)).count();
                    cancelled +=
                        self.connecting.extract_if(.., |c| (c.1.id, c.1.attempt) == (id, attempt)).count();
                    if cancelled > 0 {
                        self.in_flight.push((now, id, attempt, Outcome::Cancelled));
                    }
                }
                Output::Callback(callback) => {
                    self.completions.entry(callback.name.clone()).or_default().push(callback.completion);
                    self.acknowledgements.push((now + Nanos(20_000_000), callback.id));
                }
            }
        }
        self.check_counts_and_indexes();
        assert!(
            self.disk.folder.size() as u64 <= self.capacity,
            "seed {}: {} bytes",
            self.seed,
            self.disk.folder.size()
        );
    }

    /// Checks the core's counts and indexes against its pending messages, and that every deferred attempt is parked.
    fn check_counts_and_indexes(&self) {
        let (core, seed) = (&self.core, self.seed);
        let attempts: Vec<(MessageId, &PendingMessage, &InFlight)> = core
            .pending
            .iter()
            .filter_map(|(id, message)| Some((id, message, message.in_flight()?)))
            .collect();
        assert_eq!(core.attempts_in_flight(), attempts.len(), "seed {seed}: attempts in flight");
        let open = core.pending.iter().filter(|(_, message)| message.is_open()).count();
        assert_eq!(core.pending.open(), open, "seed {seed}: open messages");
        for host in core.endpoints.all() {
            assert_eq!(
                core.pending.in_flight().has_endpoint(host),
                attempts.iter().any(|(_, _, attempt)| attempt.host == host),
                "seed {seed}: attempts at {host:?}"
            );
        }
        for (id, message, _) in attempts.iter().filter(|(_, _, attempt)| attempt.stage == Stage::Deferred) {
            let key = message.context.ordering_key;
            assert!(
                key.is_some_and(|k| core.ordering.is_parked(k, *id)),
                "seed {seed}: {id:?} is deferred but not parked"
            );
            assert!(
                key.is_some_and(|k| core.ordering.is_blocked(k)),
                "seed {seed}: {id:?} is parked but its ordering key is not blocked"
            );
        }
    }

    /// Starts to connect. Some connections are established at once, some only after a long time.
    fn connect(&mut self, attempt: &Attempt) {
        let connect = [0.0, 0.0, 0.0, 0.02, 0.4][self.rng.below(5) as usize];
        self.connecting.push((self.now + Nanos::from_secs(connect), attempt.clone()));
    }

    /// Sends an attempt whose connection is established, if the core permits it, and chooses its outcome.
    fn send(&mut self, attempt: &Attempt) {
        if !self.core.may_send(self.now, attempt.id, attempt.attempt) {
            return self.in_flight.push((self.now, attempt.id, attempt.attempt, Outcome::NotSent));
        }
        let sent_attempts = self.sent_attempts.entry(attempt.id.0).or_default();
        *sent_attempts += 1;
        let journalled = self.disk.folder.journal_records().iter().fold(0, |sum, r| match r {
            Record::AttemptStarted { id, earlier_attempts, .. } if *id == attempt.id.0 => {
                sum + 1 + earlier_attempts
            }
            _ => sum,
        });
        let name = &attempt.context.name;
        assert!(
            journalled >= *sent_attempts,
            "seed {}: attempt {} of {name} is not in the journal",
            self.seed,
            attempt.attempt
        );
        let deferred = self
            .completions
            .get(name)
            .is_some_and(|c| c.iter().any(|c| matches!(c, Completion::Deferred(_))));
        assert!(
            !deferred || attempt.context.class != AT_MOST_ONCE_CLASS,
            "seed {}: {name} is sent although it was deferred",
            self.seed
        );
        let (outcome, runs, took) = match self.rng.below(10) {
            0 => (Outcome::Rejected(None), false, 0.03),
            1 => (Outcome::ConnectionLimit, false, 0.01),
            2 => (Outcome::Error, true, 0.05),
            3 => (Outcome::Timeout, true, attempt.timeout.secs()),
            _ => (Outcome::Ok, true, 0.02 + 0.01 * self.rng.below(20) as f64),
        };
        if runs {
            *self.runs.entry(name.clone()).or_default() += 1;
        }
        self.in_flight.push((self.now + Nanos::from_secs(took), attempt.id, attempt.attempt, outcome));
    }

    fn advance(&mut self) {
        self.now = self.now + Nanos(10_000_000);
    }

    /// Runs this many steps, with a new request in about every third step.
    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            let requests = if self.requests < self.max_requests && self.rng.below(3) == 0 {
                vec![self.new_request()]
            } else {
                Vec::new()
            };
            self.step(requests);
            self.advance();
        }
    }

    /// Runs until no message is pending; fails after 3000 steps.
    fn run_until_complete(&mut self) {
        for _ in 0..3000 {
            if self.core.pending.is_empty() && self.in_flight.is_empty() && self.connecting.is_empty() {
                break;
            }
            self.step(Vec::new());
            self.advance();
        }
        assert!(
            self.core.pending.is_empty(),
            "seed {}: still pending: {:?}",
            self.seed,
            self.core.pending.iter().map(|(id, _)| id).collect::<Vec<_>>()
        );
    }

    /// Checks the guarantees for all accepted messages, over all processes of the simulation.
    fn check_guarantees(&self) {
        for (name, class) in &self.accepted {
            let runs = self.runs.get(name).copied().unwrap_or(0);
            let completions = self.completions.get(name).map_or(&[][..], Vec::as_slice);
            let seed = self.seed;
            assert!(runs > 0 || !completions.is_empty(), "seed {seed}: {name} is lost");
            let kinds: HashSet<_> = completions.iter().map(std::mem::discriminant).collect();
            if *class == AT_MOST_ONCE_CLASS {
                assert!(runs <= 1, "seed {seed}: {name} ran {runs} times");
                assert!(
                    kinds.len() <= 1,
                    "seed {seed}: {name} has contradictory completions {completions:?}"
                );
                let deferred = completions.iter().any(|c| matches!(c, Completion::Deferred(_)));
                assert!(runs == 0 || !deferred, "seed {seed}: {name} ran and was deferred");
            }
        }
    }

    fn inject_faults(
        &self, kinds: &'static [&'static str], after: u64, max_faults: u64, partial_bytes: usize,
    ) {
        self.disk.inject_faults(kinds, after, max_faults, partial_bytes);
    }
}

/// Combinations of operations that fail together.
const FAULT_COMBINATIONS: [&[&str]; 7] = [
    &["append"],
    &["truncate", "append"],
    &["create"],
    &["rename"],
    &["create", "append"],
    &["rename", "remove"],
    ALL_OPERATIONS,
];

#[test]
fn every_accepted_message_completes_across_kills_on_a_healthy_disk() {
    for seed in 1..60 {
        let mut simulation = Simulation::new(seed);
        simulation.max_requests = 120;
        for _ in 0..3 {
            simulation.run(60 + seed % 50);
            simulation.kill();
        }
        simulation.run(100);
        simulation.run_until_complete();
        simulation.check_guarantees();
        assert!(simulation.accepted.len() >= 15, "{} accepted", simulation.accepted.len());
    }
}

/// Guards against effects without a journal record: disk operations fail for a while or until a kill, at a random point.
#[test]
fn nothing_takes_effect_that_could_not_be_journalled() {
    let mut seeds_with_faults = [0; FAULT_COMBINATIONS.len()];
    for seed in 1..700 {
        let mut simulation = Simulation::new(seed);
        simulation.run(20 + seed % 60);
        let combination = seed as usize % FAULT_COMBINATIONS.len();
        let max_faults = [1, 2, 5, 30, u64::MAX][simulation.rng.below(5) as usize];
        let (after, partial_bytes) = (simulation.rng.below(30), simulation.rng.below(200) as usize);
        simulation.inject_faults(FAULT_COMBINATIONS[combination], after, max_faults, partial_bytes);
        simulation.run(30 + seed % 120);
        seeds_with_faults[combination] += u64::from(simulation.disk.folder.state().faults > 0);
        simulation.kill();
        simulation.run(60);
        simulation.run_until_complete();
        simulation.check_guarantees();
    }
    assert!(
        seeds_with_faults.iter().all(|n| *n > 2),
        "seeds with faults, by combination: {seeds_with_faults:?}"
    );
}

/// Guards against a core that stays stuck, or loses messages, after its disk has failed for a while.
#[test]
fn resumes_without_a_restart_once_the_disk_recovers() {
    for seed in 1..200 {
        let mut simulation = Simulation::new(seed);
        simulation.run(40);
        let after = simulation.rng.below(20);
        simulation.inject_faults(ALL_OPERATIONS, after, u64::MAX, 9);
        simulation.run(40 + seed % 100);
        let accepted_before = simulation.accepted.len();
        simulation.inject_faults(&[], 0, 0, 0);
        simulation.run(250);
        assert!(
            simulation.accepted.len() > accepted_before || simulation.requests == simulation.max_requests,
            "seed {seed}: no further message was accepted"
        );
        assert!(!simulation.core.journal.is_unavailable(), "seed {seed}: journal still unavailable");
        simulation.run_until_complete();
        simulation.check_guarantees();
        let records = simulation.disk.folder.journal_records();
        simulation.kill();
        assert!(
            simulation.core.pending.is_empty(),
            "seed {seed}: pending again after a restart: {records:?}"
        );
    }
}

/// Guards against a core that calls a failing disk in every step.
#[test]
fn retries_a_failing_disk_once_per_second() {
    let mut simulation = Simulation::new(7);
    simulation.run(60);
    simulation.inject_faults(ALL_OPERATIONS, 0, u64::MAX, 0);
    simulation.run(200);
    let operations_before = simulation.disk.folder.state().operations;
    simulation.run(1000);
    let operations = simulation.disk.folder.state().operations - operations_before;
    assert!(operations <= 60, "{operations} disk operations in ten seconds");
}

/// Guards the attempts of pending messages: an attempt that cannot be journalled must not count.
#[test]
fn spends_no_attempts_while_the_disk_fails() {
    let mut simulation = Simulation::new(3);
    simulation.inject_faults(&["append"], 0, u64::MAX, 5);
    simulation.step(Vec::new());
    simulation.inject_faults(&[], 0, 0, 0);
    let requests: Vec<Input> = (0..20).map(|_| simulation.new_request()).collect();
    simulation.step(requests);
    simulation.inject_faults(ALL_OPERATIONS, 0, u64::MAX, 5);
    simulation.run(100);
    assert!(
        simulation.core.pending.iter().all(|(_, m)| m.attempts <= 2),
        "attempts were spent on the failing disk"
    );
}

/// Guards against a message that is reported as deferred although the next process resumes it: its completion cannot be
/// journalled while the disk fails. After a kill, the resumed message and the client's retry could both run.
#[test]
fn at_most_once_message_shed_while_the_disk_fails_is_undeliverable() {
    let mut simulation = Simulation::with_capacity(2, 1 << 20);
    let submit_at_most_once = |simulation: &mut Simulation, n: usize| -> Vec<Input> {
        let requests = (0..n).map(|_| simulation.new_request());
        let make_at_most_once = |mut input| {
            if let Input::Submitted { context, .. } = &mut input {
                context.class = AT_MOST_ONCE_CLASS;
                context.ordering_key = None;
            }
            input
        };
        requests.map(make_at_most_once).collect()
    };
    let first_requests = submit_at_most_once(&mut simulation, 38);
    simulation.step(first_requests);
    assert_eq!(simulation.accepted.len(), 38);
    // Sends the first attempts before the disk fails: otherwise the journal would already be unavailable when the two
    // further requests arrive.
    simulation.step(Vec::new());
    simulation.inject_faults(ALL_OPERATIONS, 0, u64::MAX, 3);
    let further_requests = submit_at_most_once(&mut simulation, 2);
    simulation.step(further_requests);
    let completions: Vec<Completion> = simulation.completions.values().flatten().copied().collect();
    assert_eq!(completions, [Completion::Undeliverable; 2], "two messages are shed at once");
    simulation.kill();
    simulation.run_until_complete();
    simulation.check_guarantees();
}

/// Found on roll+brink: an endpoint confirmed a delivery in the millisecond of the message's deadline, and the completion was
/// never reported to the client.
#[test]
fn delivery_confirmed_at_the_deadline_is_reported_as_undeliverable() {
    for (seconds_before_deadline, is_reported) in [(0.2, false), (0.01, true), (0.0, true), (-0.004, true)] {
        let mut simulation = Simulation::new(5);
        let mut request = simulation.new_request();
        if let Input::Submitted { context, .. } = &mut request {
            context.class = AT_MOST_ONCE_CLASS;
            context.ordering_key = None;
        }
        simulation.step(vec![request]);
        let (_, attempt) = simulation.connecting.pop().expect("an attempt is connecting");
        assert!(simulation.core.may_send(simulation.now, attempt.id, attempt.attempt));
        let at = Nanos::from_secs(attempt.context.deadline.secs() - seconds_before_deadline);
        let ended = Input::AttemptEnded {
            id: attempt.id,
            attempt: attempt.attempt,
            outcome: Outcome::Ok,
            over: false,
            report: None,
        };
        let outputs = simulation.core.step(at, vec![ended]);
        let completions: Vec<Completion> = outputs
            .iter()
            .filter_map(|o| if let Output::Callback(callback) = o { Some(callback.completion) } else { None })
            .collect();
        assert_eq!(
            completions,
            vec![Completion::Undeliverable; usize::from(is_reported)],
            "{seconds_before_deadline} s before the deadline"
        );
    }
}
