//! Benchmark of the cost of one event with few and with many pending messages. Each iteration submits a message and ends
//! the oldest call. The cost must not grow with the number of pending messages; compare the sizes of one run.
//!
//! `cargo bench --bench held` takes about a minute and uses 3 GB of memory.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use micaladder::core::{
    Answer, Core, CoreOptions, Endpoint, EndpointList, HoldingLimits, Input, ListDelivery, ListRevision,
    Output, Predecessor,
};
use micaladder::journal::{Disk, FileWriter, Journal};
use micaladder::plugins::Plugins;
use micaladder::request::RequestContext;
use micaladder::settings::DeploymentSettings;
use micaladder::{
    Class, Effect, EndpointKind, EndpointState, IdempotencyScope, ListedRates, MessageId, Nanos, Outcome,
    Settings, ValueDecay,
};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

const PARTNERS: u64 = 50;
const SLOTS: usize = 16;
/// Simulated time between two events.
const STEP: Nanos = Nanos(100_000);

/// A disk that discards all writes, since the cost of journal I/O is not measured here.
struct NullDisk;

impl Disk for NullDisk {
    fn read(&self, _: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(None)
    }
    fn open_append(&self, _: &str) -> io::Result<Box<dyn FileWriter>> {
        Ok(Box::new(NullDisk))
    }
    fn create(&self, _: &str) -> io::Result<Box<dyn FileWriter>> {
        Ok(Box::new(NullDisk))
    }
    fn rename(&self, _: &str, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn remove(&self, _: &str) -> io::Result<()> {
        Ok(())
    }
}

impl FileWriter for NullDisk {
    fn append(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }
    fn truncate(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }
}

fn class(effect: Effect, fifo_by_key: bool) -> Class {
    let (latency_objective, deadline) = (Nanos::from_secs(3.0), Nanos::from_secs(1e6));
    Class { latency_objective, deadline, priority_weight: 1.0, late_weight_share: 0.5, effect, fifo_by_key }
}

fn deployment(max_pending: usize) -> Arc<DeploymentSettings> {
    let window = Nanos::from_secs(1e6);
    let classes = vec![
        class(Effect::IdempotentByKey { scope: IdempotencyScope::AllEndpoints, window }, true),
        class(Effect::Idempotent, false),
        class(Effect::AtMostOnce, false),
    ];
    let names = ["sync", "stats", "payout"].map(str::to_string).to_vec();
    let module = Settings {
        slots: SLOTS,
        max_pending,
        max_attempts: 6,
        forwarders: 1,
        classes,
        kinds: vec![EndpointKind { separate_routes: false, max_batch: 1 }],
        value_decay: ValueDecay::Halving,
        tenant_quota: vec![1e6],
        listed_rates: ListedRates::Absent,
        retry_after: Some(Nanos::from_secs(2.0)),
        ..Settings::default()
    };
    let (tenants, zones, kinds) = (vec!["t".into()], vec!["z".into()], vec!["k".into()]);
    let connect_timeout = Nanos::from_secs(1.0);
    Arc::new(DeploymentSettings { module, classes: names, tenants, zones, kinds, connect_timeout })
}

struct Simulation {
    core: Core,
    now: Nanos,
    messages_submitted: u64,
    in_flight: VecDeque<(MessageId, u32)>,
    unacknowledged: Vec<MessageId>,
}

impl Simulation {
    fn new(pending: usize, max_pending: usize) -> Simulation {
        let now = Nanos::from_secs(1000.0);
        let (journal, records) = Journal::open_on(Box::new(NullDisk), 1 << 50)
            .expect("a disk that discards everything never fails");
        let core = Core::new(CoreOptions {
            limits: HoldingLimits { message_bytes: 1 << 30, endpoints: 10_000 },
            deployment: deployment(max_pending),
            seed: 7,
            static_endpoints: Vec::new(),
            configured_list: EndpointList::default(),
            list_delivery: ListDelivery::Delayed,
            plugins: Plugins::none(),
            journal,
            records,
            predecessor: Predecessor::None,
            now,
        });
        let mut simulation = Simulation {
            core,
            now,
            messages_submitted: 0,
            in_flight: VecDeque::new(),
            unacknowledged: Vec::new(),
        };
        let endpoint = |dest: u64| Endpoint {
            uid: format!("s-{dest}"),
            address: "127.0.0.1:1".into(),
            zone: 0,
            kind: 0,
            dest,
            state: EndpointState::Running,
            rate: 50.0,
        };
        simulation.step(vec![Input::Endpoints {
            revision: ListRevision::default(),
            complete: true,
            endpoints: (0..PARTNERS).map(endpoint).collect(),
        }]);
        for _ in 0..pending.div_ceil(1000) {
            let inputs = (0..1000.min(pending)).map(|_| simulation.submit()).collect();
            simulation.step(inputs);
        }
        simulation
    }

    fn submit(&mut self) -> Input {
        let id = self.core.next_id();
        self.messages_submitted += 1;
        let (name, class) = (format!("m{}", self.messages_submitted), (self.messages_submitted % 3) as usize);
        // Ten messages share an ordering key and are delivered one after another.
        let ordering_key = (class == 0).then_some(self.messages_submitted / 30);
        let idempotency_key = if class == 0 { format!("key-{name}") } else { String::new() };
        let deadline = self.now + Nanos::from_secs(9e5);
        let context = RequestContext {
            name,
            origin: String::new(),
            class,
            tenant: 0,
            ordering_key,
            dest: self.messages_submitted % PARTNERS,
            deadline,
            idempotency_key,
            body: Vec::new().into(),
            tags: Vec::new(),
        };
        Input::Submitted { id, context }
    }

    fn step(&mut self, mut inputs: Vec<Input>) {
        inputs.extend(self.unacknowledged.drain(..).map(Input::CallbackAcknowledged));
        self.now = self.now + STEP;
        for output in self.core.step(self.now, inputs) {
            match output {
                Output::Call(attempts) => {
                    for attempt in attempts {
                        assert!(
                            self.core.may_send(self.now, attempt.id, attempt.attempt),
                            "an attempt that was just decided may be sent"
                        );
                        self.in_flight.push_back((attempt.id, attempt.attempt))
                    }
                }
                Output::Callback(callback) => self.unacknowledged.push(callback.id),
                Output::Answer { answer, .. } => {
                    assert!(matches!(answer, Answer::Accepted | Answer::Reject(_)))
                }
                Output::CancelAttempt { .. } | Output::CloseIdle(_) => {}
            }
        }
    }

    /// Submits a message and ends the oldest call.
    fn event(&mut self) {
        let mut inputs = vec![self.submit()];
        let (id, attempt) = self.in_flight.pop_front().expect("a call is in flight at all times");
        inputs.push(Input::AttemptEnded { id, attempt, outcome: Outcome::Ok, over: false, report: None });
        self.step(inputs);
    }
}

fn event_cost(c: &mut Criterion) {
    for (name, spare_capacity) in
        [("below the pending limit", 1 << 30), ("at the pending limit, with shedding", 0)]
    {
        let mut group = c.benchmark_group(name);
        group.sample_size(20);
        for pending in [100, 10_000, 1_000_000] {
            let mut simulation = Simulation::new(pending, pending + spare_capacity);
            group.bench_function(BenchmarkId::from_parameter(pending), |b| b.iter(|| simulation.event()));
        }
        group.finish();
    }
}

criterion_group!(benches, event_cost);
criterion_main!(benches);
