//! The core on a disk that fails at any call, and on one that a kill cuts off: what a partner is sent, what clients
//! are told, and what the journal holds at that moment. Virtual time, no wire, the same seed the same run.
use super::in_flight::{InFlight, Stage};
use super::pending::PendingMessage;
use super::*;
use crate::interface::{Class, Effect, EndpointKind, EndpointState, IdempotencyScope, ListedRates, Outcome};
use crate::journal::{self, Disk, FileWriter};
use crate::request::RequestContext;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A folder in memory. From call `from` on, `run` calls of the kinds in `kinds` fail.
#[derive(Default)]
struct Files {
    held: BTreeMap<String, Vec<u8>>,
    calls: u64,
    from: u64,
    run: u64,
    kinds: &'static [&'static str],
    struck: u64,
    /// Bytes of an append that fails which still go in.
    part: usize,
}

#[derive(Clone, Default)]
struct Model(Arc<Mutex<Files>>);

impl Model {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn call(&self, kind: &str) -> io::Result<MutexGuard<'_, Files>> {
        let mut files = self.files();
        files.calls += 1;
        if files.calls > files.from && files.struck < files.run && files.kinds.contains(&kind) {
            files.struck += 1;
            return Err(io::Error::other(format!("{kind} fails")));
        }
        Ok(files)
    }
    fn records(&self) -> Vec<Record> {
        let held = self.files().held.get("journal").cloned().unwrap_or_default();
        journal::replay(&held).records
    }
    fn size(&self) -> usize {
        self.files().held.values().map(|f| f.len().next_multiple_of(512)).sum()
    }
}

struct ModelTail {
    disk: Model,
    /// The file itself, whatever it is called by now.
    name: Arc<Mutex<String>>,
}

type Names = Arc<Mutex<Vec<Arc<Mutex<String>>>>>;

#[derive(Clone, Default)]
struct ModelDisk {
    model: Model,
    open: Names,
}

impl ModelDisk {
    fn tail(&self, name: &str) -> Box<dyn FileWriter> {
        let name = Arc::new(Mutex::new(name.to_string()));
        self.open.lock().expect("lock").push(name.clone());
        Box::new(ModelTail { disk: self.model.clone(), name })
    }
}

impl Disk for ModelDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.model.files().held.get(name).cloned())
    }
    fn open_append(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        self.model.files().held.entry(name.to_string()).or_default();
        Ok(self.tail(name))
    }
    fn create(&self, name: &str) -> io::Result<Box<dyn FileWriter>> {
        self.model.call("create")?.held.insert(name.to_string(), Vec::new());
        Ok(self.tail(name))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.model.call("rename")?;
        let held = files.held.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.held.insert(to.to_string(), held);
        for name in self.open.lock().expect("lock").iter() {
            let mut name = name.lock().expect("lock");
            // What the name stood for before is no longer in the folder.
            match name.as_str() {
                n if n == to => *name = "unlinked".to_string(),
                n if n == from => *name = to.to_string(),
                _ => {}
            }
        }
        Ok(())
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.model.call("remove")?.held.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }
}

impl FileWriter for ModelTail {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let name = self.name.lock().expect("lock").clone();
        match self.disk.call("append") {
            Ok(mut files) => files.held.entry(name).or_default().extend(bytes),
            Err(fault) => {
                let mut files = self.disk.files();
                let part = files.part % bytes.len();
                files.held.entry(name).or_default().extend(&bytes[..part]);
                return Err(fault);
            }
        }
        Ok(())
    }
    fn truncate(&mut self, size: u64) -> io::Result<()> {
        let name = self.name.lock().expect("lock").clone();
        self.disk.call("cut")?.held.entry(name).or_default().truncate(size as usize);
        Ok(())
    }
}

const SYNC: usize = 0;
/// Class 1 may be repeated.
const PAYOUT: usize = 2;
/// So small that the log is written anew every few messages.
const DISK: u64 = 9_500;
const MESSAGES: u64 = 90;

fn deployment() -> Arc<DeploymentSettings> {
    let class = |name: &str, effect, fifo_by_key| {
        let (aim, deadline) = (Nanos::from_secs(1.0), Nanos::from_secs(8.0));
        (
            name.to_string(),
            Class {
                latency_objective: aim,
                deadline,
                priority_weight: 1.0,
                late_weight_share: 0.5,
                effect,
                fifo_by_key,
            },
        )
    };
    let keyed =
        Effect::IdempotentByKey { scope: IdempotencyScope::AllEndpoints, window: Nanos::from_secs(9.0) };
    let classes = [
        class("sync", keyed, true),
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

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

/// A forwarder of which only the core is real, and the world that it acts on.
struct World {
    seed: u64,
    /// Bytes that the folder may hold.
    most: u64,
    dice: Dice,
    disk: ModelDisk,
    core: Core,
    now: Nanos,
    /// Attempts that wait for their connection, and when it stands.
    connecting: Vec<(Nanos, Attempt)>,
    /// Calls that are out, with what comes back and when.
    out: Vec<(Nanos, MessageId, u32, Outcome)>,
    /// Notices whose answer is under way.
    told: Vec<(Nanos, MessageId)>,
    taken: BTreeMap<String, usize>,
    effects: HashMap<String, u32>,
    ends: HashMap<String, Vec<Completion>>,
    /// Attempts that the journal must know of.
    attempts: HashMap<u64, u32>,
    next: u64,
}

impl World {
    fn new(seed: u64) -> World {
        World::with(seed, DISK)
    }

    fn with(seed: u64, most: u64) -> World {
        let (disk, now) = (ModelDisk::default(), Nanos::from_secs(1000.0));
        let core = World::start(&disk, most, seed, now);
        World {
            seed,
            most,
            dice: Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            disk,
            core,
            now,
            connecting: Vec::new(),
            out: Vec::new(),
            told: Vec::new(),
            taken: BTreeMap::new(),
            effects: HashMap::new(),
            ends: HashMap::new(),
            attempts: HashMap::new(),
            next: 0,
        }
    }

    fn start(disk: &ModelDisk, most: u64, seed: u64, now: Nanos) -> Core {
        let (journal, records) = Journal::open_on(Box::new(disk.clone()), most).expect("it opens");
        let mut core = Core::new(CoreOptions {
            deployment: deployment(),
            seed,
            static_endpoints: Vec::new(),
            plugins: Plugins::none(),
            journal,
            records,
            predecessor: Predecessor::None,
            now,
        });
        let members = (0..2).map(|n| Endpoint {
            uid: format!("s-{n}"),
            address: "a".into(),
            zone: 0,
            kind: 0,
            dest: 7,
            state: EndpointState::Running,
            rate: 50.0,
        });
        core.events.push(Event::Due);
        let group = Input::Endpoints { complete: true, endpoints: members.collect() };
        let orders = core.step(now, vec![group]);
        assert!(orders.iter().all(|o| !matches!(o, Output::Answer(..))));
        core.outputs = orders;
        core
    }

    /// SIGKILL and a good start.
    fn kill(&mut self) {
        let files = std::mem::take(&mut self.disk.model.files().held);
        self.disk = ModelDisk::default();
        self.disk.model.files().held = files;
        self.now = self.now + Nanos::from_secs(0.6);
        (self.connecting, self.out, self.told) = Default::default();
        self.attempts.clear();
        for record in self.disk.model.records() {
            if let Record::AttemptStarted { id, earlier_attempts, .. } = record {
                *self.attempts.entry(id).or_default() += 1 + earlier_attempts;
            }
        }
        self.core = World::start(&self.disk, self.most, self.seed, self.now);
    }

    fn hand_in(&mut self) -> Input {
        let (class, id) = (self.dice.roll(3) as usize, self.core.next_id());
        self.next += 1;
        let name = format!("m{}", self.next);
        let key = (class == SYNC).then(|| self.dice.roll(4));
        let repeat_key = if class == SYNC { format!("key-{name}") } else { String::new() };
        let (deadline, body) =
            (self.now + Nanos::from_secs(8.0), vec![7; self.dice.roll(120) as usize].into());
        let (origin, tags) = (String::new(), Vec::new());
        let context = RequestContext {
            name,
            origin,
            class,
            tenant: 0,
            ordering_key: key,
            dest: 7,
            deadline,
            idempotency_key: repeat_key,
            body,
            tags,
        };
        Input::Submitted { id, context }
    }

    /// One moment, and all that comes of it.
    fn step(&mut self, more: Vec<Input>) {
        let now = self.now;
        let mut inputs = more;
        let names: BTreeMap<MessageId, (String, usize)> = inputs
            .iter()
            .filter_map(|i| match i {
                Input::Submitted { id, context } => Some((*id, (context.name.clone(), context.class))),
                _ => None,
            })
            .collect();
        let due = |at: &Nanos| *at <= now;
        let connected: Vec<_> = self.connecting.extract_if(.., |c| due(&c.0)).collect();
        connected.iter().for_each(|c| self.connected(&c.1));
        for (_, id, attempt, outcome) in self.out.extract_if(.., |o| due(&o.0)) {
            inputs.push(Input::AttemptEnded { id, attempt, outcome, over: false, report: None });
        }
        inputs.extend(self.told.extract_if(.., |t| due(&t.0)).map(|t| Input::CallbackAcknowledged(t.1)));
        for order in self.core.step(now, inputs) {
            match order {
                Output::Answer(id, Answer::Accepted) => {
                    let (name, class) = names[&id].clone();
                    let known = |r: &Record| matches!(r, Record::Accepted(t) if t.name == name);
                    assert!(
                        self.disk.model.records().iter().any(known),
                        "seed {}: {name} is not in the journal",
                        self.seed
                    );
                    self.taken.insert(name, class);
                }
                Output::Answer(..) | Output::CloseIdle(_) => {}
                Output::Call(attempts) => attempts.iter().for_each(|one| self.call(one)),
                Output::CancelAttempt { id, attempt } => {
                    let mut gone = self.out.extract_if(.., |o| (o.1, o.2) == (id, attempt)).count();
                    gone +=
                        self.connecting.extract_if(.., |c| (c.1.id, c.1.attempt) == (id, attempt)).count();
                    if gone > 0 {
                        self.out.push((now, id, attempt, Outcome::Cancelled));
                    }
                }
                Output::Callback(n) => {
                    self.ends.entry(n.name.clone()).or_default().push(n.completion);
                    self.told.push((now + Nanos(20_000_000), n.id));
                }
            }
        }
        self.indexes_agree();
        assert!(
            self.disk.model.size() as u64 <= self.most,
            "seed {}: {} bytes",
            self.seed,
            self.disk.model.size()
        );
    }

    /// What is counted and found by index is what a look at all that is held gives.
    fn indexes_agree(&self) {
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
                "seed {seed}: {id:?} is deferred and nothing will look at it"
            );
            assert!(
                key.is_some_and(|k| core.ordering.is_blocked(k)),
                "seed {seed}: the key of {id:?} is free"
            );
        }
    }

    fn call(&mut self, one: &Attempt) {
        // Some connections stand at once, some take long or never come up.
        let connect = [0.0, 0.0, 0.0, 0.02, 0.4][self.dice.roll(5) as usize];
        self.connecting.push((self.now + Nanos::from_secs(connect), one.clone()));
    }

    /// The connection of an attempt stands.
    fn connected(&mut self, one: &Attempt) {
        if !self.core.may_send(self.now, one.id, one.attempt) {
            return self.out.push((self.now, one.id, one.attempt, Outcome::NotSent));
        }
        let attempts = self.attempts.entry(one.id.0).or_default();
        *attempts += 1;
        let logged = self.disk.model.records().iter().fold(0, |sum, r| match r {
            Record::AttemptStarted { id, earlier_attempts, .. } if *id == one.id.0 => {
                sum + 1 + earlier_attempts
            }
            _ => sum,
        });
        let name = &one.context.name;
        assert!(
            logged >= *attempts,
            "seed {}: try {} of {name} is not in the journal",
            self.seed,
            one.attempt
        );
        let deferred =
            self.ends.get(name).is_some_and(|e| e.iter().any(|e| matches!(e, Completion::Deferred(_))));
        assert!(!deferred || one.context.class != PAYOUT, "seed {}: {name} was handed back", self.seed);
        let (outcome, runs, took) = match self.dice.roll(10) {
            0 => (Outcome::Rejected(None), false, 0.03),
            1 => (Outcome::ConnectionLimit, false, 0.01),
            2 => (Outcome::Error, true, 0.05),
            3 => (Outcome::Timeout, true, one.timeout.secs()),
            _ => (Outcome::Ok, true, 0.02 + 0.01 * self.dice.roll(20) as f64),
        };
        if runs {
            *self.effects.entry(name.clone()).or_default() += 1;
        }
        self.out.push((self.now + Nanos::from_secs(took), one.id, one.attempt, outcome));
    }

    fn advance(&mut self) {
        self.now = self.now + Nanos(10_000_000);
    }

    /// Serves what comes, for so many moments.
    fn serve(&mut self, moments: u64) {
        for _ in 0..moments {
            let come = if self.next < MESSAGES && self.dice.roll(3) == 0 {
                vec![self.hand_in()]
            } else {
                Vec::new()
            };
            self.step(come);
            self.advance();
        }
    }

    /// Until nothing more is owed.
    fn finish(&mut self) {
        for _ in 0..3000 {
            if self.core.pending.is_empty() && self.out.is_empty() && self.connecting.is_empty() {
                break;
            }
            self.step(Vec::new());
            self.advance();
        }
        assert!(
            self.core.pending.is_empty(),
            "seed {}: still owed: {:?}",
            self.seed,
            self.core.pending.iter().map(|(id, _)| id).collect::<Vec<_>>()
        );
    }

    /// The rules on what has been taken on, over all processes.
    fn judge(&self) {
        for (name, class) in &self.taken {
            let effects = self.effects.get(name).copied().unwrap_or(0);
            let ends = self.ends.get(name).map_or(&[][..], Vec::as_slice);
            let seed = self.seed;
            assert!(effects > 0 || !ends.is_empty(), "seed {seed}: {name} is lost");
            let kinds: HashSet<_> = ends.iter().map(std::mem::discriminant).collect();
            if *class == PAYOUT {
                assert!(effects <= 1, "seed {seed}: {name} took effect {effects} times");
                assert!(kinds.len() <= 1, "seed {seed}: {name} was told {ends:?}");
                let handed_back = ends.iter().any(|e| matches!(e, Completion::Deferred(_)));
                assert!(effects == 0 || !handed_back, "seed {seed}: {name} ran and was handed back");
            }
        }
    }

    fn fail(&self, kinds: &'static [&'static str], after: u64, run: u64, part: usize) {
        let mut files = self.disk.model.files();
        files.from = files.calls + after;
        (files.kinds, files.run, files.struck, files.part) = (kinds, run, 0, part);
    }
}

const ALL: &[&str] = &["append", "cut", "create", "rename", "remove"];
const KINDS: [&[&str]; 7] = [
    &["append"],
    &["cut", "append"],
    &["create"],
    &["rename"],
    &["create", "append"],
    &["rename", "remove"],
    ALL,
];

#[test]
fn on_a_good_disk_every_message_has_its_end_across_kills() {
    for seed in 1..60 {
        let mut world = World::new(seed);
        for _ in 0..3 {
            world.serve(60 + seed % 50);
            world.kill();
        }
        world.serve(100);
        world.finish();
        world.judge();
        assert!(world.taken.len() >= 15, "{} taken on", world.taken.len());
    }
}

/// The disk fails at a call of its own choice, for a while or until the kill.
#[test]
fn what_the_journal_cannot_hold_does_not_happen() {
    let mut struck = [0; KINDS.len()];
    for seed in 1..700 {
        let mut world = World::new(seed);
        world.serve(20 + seed % 60);
        let kinds = seed as usize % KINDS.len();
        let run = [1, 2, 5, 30, u64::MAX][world.dice.roll(5) as usize];
        let (after, part) = (world.dice.roll(30), world.dice.roll(200) as usize);
        world.fail(KINDS[kinds], after, run, part);
        world.serve(30 + seed % 120);
        struck[kinds] += u64::from(world.disk.model.files().struck > 0);
        world.kill();
        world.serve(60);
        world.finish();
        world.judge();
    }
    assert!(struck.iter().all(|n| *n > 2), "faults that struck, by kind: {struck:?}");
}

/// Nobody restarts it: once there is room it goes on by itself, and forgets nothing.
#[test]
fn a_disk_that_comes_back_is_used_again_without_a_restart() {
    for seed in 1..200 {
        let mut world = World::new(seed);
        world.serve(40);
        let after = world.dice.roll(20);
        world.fail(ALL, after, u64::MAX, 9);
        world.serve(40 + seed % 100);
        let before = world.taken.len();
        world.fail(&[], 0, 0, 0);
        world.serve(250);
        assert!(
            world.taken.len() > before || world.next == MESSAGES,
            "seed {seed}: nothing more is taken on"
        );
        assert!(!world.core.journal.is_unavailable(), "seed {seed}: still stuck");
        world.finish();
        world.judge();
        let known = world.disk.model.records();
        world.kill();
        assert!(world.core.pending.is_empty(), "seed {seed}: owed again after a restart: {known:?}");
    }
}

/// A disk that stays bad costs no more than a call now and then.
#[test]
fn a_disk_that_stays_bad_is_asked_once_a_second() {
    let mut world = World::new(7);
    world.serve(60);
    world.fail(ALL, 0, u64::MAX, 0);
    world.serve(200);
    let before = world.disk.model.files().calls;
    world.serve(1000);
    let calls = world.disk.model.files().calls - before;
    assert!(calls <= 60, "{calls} calls in ten seconds");
}

/// Attempts wait for the disk instead of being spent on it.
#[test]
fn held_messages_wait_for_a_disk_that_fails_for_a_second() {
    let mut world = World::new(3);
    world.fail(&["append"], 0, u64::MAX, 5);
    world.step(Vec::new());
    world.fail(&[], 0, 0, 0);
    let handed: Vec<Input> = (0..20).map(|_| world.hand_in()).collect();
    world.step(handed);
    world.fail(ALL, 0, u64::MAX, 5);
    world.serve(100);
    assert!(world.core.pending.iter().all(|(_, m)| m.attempts <= 2), "tries were spent on the disk");
}

/// Handed back at the very moment at which the journal fails: a restart takes the message up again, so its client
/// must not have heard that coming again is harmless.
#[test]
fn a_payout_shed_while_the_disk_fails_is_not_handed_back_and_run() {
    let mut world = World::with(2, 1 << 20);
    let payouts = |world: &mut World, n: usize| -> Vec<Input> {
        let all = (0..n).map(|_| world.hand_in());
        let payout = |mut input| {
            if let Input::Submitted { context, .. } = &mut input {
                context.class = PAYOUT;
                context.ordering_key = None;
            }
            input
        };
        all.map(payout).collect()
    };
    let first = payouts(&mut world, 38);
    world.step(first);
    assert_eq!(world.taken.len(), 38);
    // The first attempts meet their connections before the disk fails, or the two would find it failing.
    world.step(Vec::new());
    world.fail(ALL, 0, u64::MAX, 3);
    let more = payouts(&mut world, 2);
    world.step(more);
    let told: Vec<Completion> = world.ends.values().flatten().copied().collect();
    assert_eq!(told, [Completion::Undeliverable; 2], "two are shed, at once");
    world.kill();
    world.finish();
    world.judge();
}

/// Found on roll+brink: the answer came in the millisecond in which the message's time was up, and nobody told its end.
#[test]
fn a_delivery_that_comes_with_the_end_of_its_time_is_still_an_end_to_tell() {
    for (early, told) in [(0.2, false), (0.01, true), (0.0, true), (-0.004, true)] {
        let mut world = World::new(5);
        let mut handed = world.hand_in();
        if let Input::Submitted { context, .. } = &mut handed {
            context.class = PAYOUT;
            context.ordering_key = None;
        }
        world.step(vec![handed]);
        let (_, one) = world.connecting.pop().expect("its try is on its way");
        assert!(world.core.may_send(world.now, one.id, one.attempt));
        let at = Nanos::from_secs(one.context.deadline.secs() - early);
        let ended = Input::AttemptEnded {
            id: one.id,
            attempt: one.attempt,
            outcome: Outcome::Ok,
            over: false,
            report: None,
        };
        let orders = world.core.step(at, vec![ended]);
        let ends: Vec<Completion> = orders
            .iter()
            .filter_map(|o| if let Output::Callback(n) = o { Some(n.completion) } else { None })
            .collect();
        assert_eq!(ends, vec![Completion::Undeliverable; usize::from(told)], "{early} s before its time");
    }
}
