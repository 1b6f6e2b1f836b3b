//! Two processes with one folder, explored whole: every interleaving of their looks at the locks, of what clients, partners
//! and the disk do, of kills and new starts. Whose turn it is, is the shipped code (`takeover::state`); a process that is
//! paused is one that takes no step for a while. Each property is shown to find a fault that is put in on purpose.
use micaladder::takeover::state::{Action, Observed, State, StateMachine, DRAIN_TIMEOUT};
use micaladder::Nanos;
use rstest::rstest;
use stateright::{Checker, Model, Property};

/// Payouts; the second may come only once the first has ended, since they have a key in common.
const MESSAGES: usize = 2;
const KILLS: u8 = 2;
const STARTS: u8 = 2;
const DISK: u8 = 2;
/// Attempts of a message.
const TRIES: u8 = 3;

/// What the journal says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Logged {
    Nothing,
    Taken,
    Started(u8),
    Ended,
}

/// What a process has in memory of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Known {
    Nothing,
    Held,
    /// Its call is out.
    Out(u8),
    /// It may be out at the process before.
    Elder(u8),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    alive: bool,
    asks: bool,
    turn: StateMachine,
    known: [Known; MESSAGES],
    /// Records of `late` that it has read.
    read: usize,
    elder: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Late {
    Delivered,
    NeverRan,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    processes: [Process; 2],
    owner: Option<usize>,
    next: Option<usize>,
    late: Option<usize>,
    logged: [Logged; MESSAGES],
    /// Which message and which of its attempts, and how it ended; none: there is no such file.
    records: Option<Vec<(usize, u8, Late)>>,
    /// The truth at the partner: the message may have run.
    may_have_run: [bool; MESSAGES],
    attempts: [u8; MESSAGES],
    full: bool,
    kills: u8,
    starts: u8,
    disk: u8,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Look(usize, bool),
    Take(usize, usize),
    Send(usize, usize),
    Finish(usize, usize, Late),
    ReadLate(usize),
    Kill(usize),
    Start(usize),
    Disk,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The owner's lock is freed before `late` is held.
    OwnerFirst,
    /// What is left of a call counts for any try of its message.
    AnyTry,
    /// What is out at the elder is taken for never run.
    ElderForgotten,
    /// Messages behind one at the elder are not kept back.
    KeyForgotten,
    /// A journal that cannot be written is handed on.
    FullHandedOn,
    /// Who has let go still takes on.
    TakesOnStill,
}

struct Folder(Fault);

impl Process {
    fn fresh(asks: bool) -> Process {
        let known = [Known::Nothing; MESSAGES];
        Process { alive: true, asks, turn: StateMachine::new(), known, read: 0, elder: false }
    }
    fn calls(&self) -> bool {
        self.known.iter().any(|k| matches!(k, Known::Out(_)))
    }
    fn elders(&self) -> bool {
        self.known.iter().any(|k| matches!(k, Known::Elder(_)))
    }
    fn door(&self) -> bool {
        self.alive && matches!(self.turn.state, State::Serving | State::Draining { .. })
    }
}

impl World {
    /// A process writes the journal: it has to own it, and the disk has to take it.
    fn log(&mut self, p: usize, m: usize, what: Logged) -> bool {
        if self.owner != Some(p) {
            self.broken = Some("the journal was written by one that does not own it");
        }
        if !self.full {
            self.logged[m] = what;
        }
        !self.full
    }

    fn free(&mut self, p: usize) {
        for lock in [&mut self.owner, &mut self.next, &mut self.late] {
            *lock = lock.filter(|holder| *holder != p);
        }
    }

    fn look(&mut self, fault: Fault, p: usize, clients: bool) {
        let me = &self.processes[p];
        let owns = me.turn.state == State::WaitingForLock && self.owner.is_none();
        let asked = self.next.is_some_and(|n| n != p);
        let bound = me.elders() || (self.full && fault != Fault::FullHandedOn);
        let mut turn = me.turn;
        // Time passes as it likes: the closing may have lasted for long already.
        let now = if clients { Nanos(0) } else { DRAIN_TIMEOUT };
        let calls = me.calls();
        let what = turn.step(
            now,
            Observed {
                lock_acquired: owns,
                takeover_requested: asked,
                clients_connected: clients,
                calls_in_flight: calls,
                release_blocked: bound,
            },
        );
        match what {
            Some(Action::StartServing) => {
                self.owner = Some(p);
                self.next = self.next.filter(|n| *n != p);
                self.serve(fault, p);
            }
            Some(Action::Release) => {
                if self.late.is_some() && fault != Fault::OwnerFirst {
                    return;
                }
                if fault == Fault::OwnerFirst {
                    // Its file is made and held at its next look, when the lock is long free.
                    self.records = self.records.take().or(Some(Vec::new()));
                } else {
                    (self.late, self.records) = (Some(p), Some(Vec::new()));
                }
                self.owner = None;
                if self.full {
                    self.broken = Some("a journal that cannot be written was handed on");
                }
            }
            Some(Action::Reset) => {
                self.late = self.late.filter(|l| *l != p);
                self.processes[p] = Process::fresh(false);
            }
            Some(Action::StopAccepting | Action::ResumeAccepting) | None => {}
        }
        if what != Some(Action::Reset) {
            self.processes[p].turn = turn;
        }
        let me = &self.processes[p];
        if me.turn.state == State::WaitingForLock && me.asks && self.next.is_none() {
            self.next = Some(p);
        }
    }

    /// Reads the journal.
    fn serve(&mut self, fault: Fault, p: usize) {
        let elder = self.records.is_some();
        for m in 0..MESSAGES {
            self.processes[p].known[m] = match self.logged[m] {
                Logged::Nothing => Known::Nothing,
                Logged::Taken => Known::Held,
                Logged::Started(_) if fault == Fault::ElderForgotten => Known::Held,
                Logged::Started(n) if elder => Known::Elder(n),
                Logged::Started(_) => Known::Ended,
                Logged::Ended => Known::Ended,
            };
        }
        (self.processes[p].read, self.processes[p].elder) = (0, elder);
    }

    fn read_late(&mut self, fault: Fault, p: usize) {
        let (gone, records) = (self.late.is_none(), self.records.clone().unwrap_or_default());
        let from = self.processes[p].read;
        self.processes[p].read = records.len();
        for (m, n, how) in records.into_iter().skip(from) {
            if let Known::Elder(at) = self.processes[p].known[m] {
                if at == n || fault == Fault::AnyTry {
                    let (known, logged) = match how {
                        Late::Delivered => (Known::Ended, Logged::Ended),
                        Late::NeverRan => (Known::Held, Logged::Taken),
                    };
                    self.processes[p].known[m] = known;
                    self.log(p, m, logged);
                }
            }
        }
        if gone {
            for m in 0..MESSAGES {
                if matches!(self.processes[p].known[m], Known::Elder(_)) {
                    // A payout that may have run ends as undeliverable.
                    self.processes[p].known[m] = Known::Ended;
                    self.log(p, m, Logged::Ended);
                }
            }
            self.processes[p].elder = false;
            if !self.full {
                self.records = None;
            }
        }
    }
}

impl Model for Folder {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let dead = Process { alive: false, ..Process::fresh(true) };
        vec![World {
            processes: [Process::fresh(true), dead],
            owner: None,
            next: None,
            late: None,
            logged: [Logged::Nothing; MESSAGES],
            records: None,
            may_have_run: [false; MESSAGES],
            attempts: [0; MESSAGES],
            full: false,
            kills: 0,
            starts: 0,
            disk: 0,
            broken: None,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        for (p, process) in w.processes.iter().enumerate() {
            if !process.alive {
                steps.extend((w.starts < STARTS).then_some(Step::Start(p)));
                continue;
            }
            steps.extend([Step::Look(p, true), Step::Look(p, false)]);
            steps.extend((w.kills < KILLS).then_some(Step::Kill(p)));
            if process.door() && process.elder {
                steps.push(Step::ReadLate(p));
            }
            let takes =
                process.door() || (self.0 == Fault::TakesOnStill && process.turn.state == State::Released);
            for m in 0..MESSAGES {
                let earlier = w.logged[..m].iter().all(|l| *l != Logged::Nothing);
                steps
                    .extend((takes && earlier && w.logged[m] == Logged::Nothing).then_some(Step::Take(p, m)));
                let first = process.known[..m].iter().all(|k| match k {
                    Known::Ended => true,
                    Known::Elder(_) => self.0 == Fault::KeyForgotten,
                    Known::Nothing | Known::Held | Known::Out(_) => false,
                });
                steps.extend(
                    (process.door() && first && process.known[m] == Known::Held && w.attempts[m] < TRIES)
                        .then_some(Step::Send(p, m)),
                );
                if matches!(process.known[m], Known::Out(_)) {
                    steps.extend([Step::Finish(p, m, Late::Delivered), Step::Finish(p, m, Late::NeverRan)]);
                }
            }
        }
        steps.extend((w.disk < DISK).then_some(Step::Disk));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Look(p, clients) => w.look(self.0, p, clients),
            Step::Take(p, m) => {
                if w.log(p, m, Logged::Taken) {
                    w.processes[p].known[m] = Known::Held;
                }
            }
            Step::Send(p, m) => {
                let n = w.attempts[m];
                if w.log(p, m, Logged::Started(n)) {
                    if w.may_have_run[m] {
                        w.broken = Some("a payout went out twice");
                    }
                    let out = w.processes.iter().any(|q| (0..m).any(|e| matches!(q.known[e], Known::Out(_))));
                    if out {
                        w.broken = Some("two of a key were out at once");
                    }
                    (w.may_have_run[m], w.attempts[m]) = (true, n + 1);
                    w.processes[p].known[m] = Known::Out(n);
                }
            }
            Step::Finish(p, m, how) => {
                let Known::Out(n) = w.processes[p].known[m] else { return None };
                let stage = w.processes[p].turn.state;
                if how == Late::NeverRan {
                    w.may_have_run[m] = false;
                }
                let (known, logged) = match how {
                    Late::Delivered => (Known::Ended, Logged::Ended),
                    Late::NeverRan => (Known::Held, Logged::Taken),
                };
                w.processes[p].known[m] = known;
                if stage == State::Released {
                    w.processes[p].known[m] = Known::Ended;
                    w.records.iter_mut().for_each(|r| r.push((m, n, how)));
                } else {
                    // One that cannot be written is kept and written later; a kill before that makes it may have run.
                    w.log(p, m, logged);
                    if w.full {
                        w.processes[p].known[m] = Known::Out(n);
                        w.may_have_run[m] = true;
                    }
                }
            }
            Step::ReadLate(p) => {
                if w.full {
                    return None;
                }
                w.read_late(self.0, p);
            }
            Step::Kill(p) => {
                w.free(p);
                w.kills += 1;
                w.processes[p] = Process { alive: false, ..Process::fresh(true) };
            }
            Step::Start(p) => {
                w.starts += 1;
                w.processes[p] = Process::fresh(true);
            }
            Step::Disk => {
                w.disk += 1;
                w.full = !w.full;
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is broken", |_, w: &World| w.broken.is_none()),
            Property::always("one serves at a time", |_, w: &World| {
                w.processes.iter().filter(|p| p.door()).count() <= 1
            }),
            Property::always("who serves owns the journal", |_, w: &World| {
                w.processes.iter().enumerate().all(|(p, process)| !process.door() || w.owner == Some(p))
            }),
            Property::sometimes(
                "the second takes over with a call still out at the first",
                |_, w: &World| w.processes[1].door() && w.processes[0].alive && w.processes[0].calls(),
            ),
            Property::sometimes("the first takes the journal up again", |_, w: &World| {
                w.processes[0].door() && !w.processes[0].asks && w.kills == 1
            }),
            Property::sometimes("all messages end", |_, w: &World| {
                w.logged.iter().all(|l| *l == Logged::Ended)
            }),
        ]
    }
}

#[test]
fn two_processes_with_one_folder_keep_the_rules_in_every_interleaving() {
    let done = Folder(Fault::None).checker().threads(2).spawn_bfs().join();
    println!("{} states", done.unique_state_count());
    assert!(done.unique_state_count() > 10_000, "{} states", done.unique_state_count());
    done.assert_properties();
}

#[rstest]
#[case(Fault::OwnerFirst)]
#[case(Fault::AnyTry)]
#[case(Fault::ElderForgotten)]
#[case(Fault::KeyForgotten)]
#[case(Fault::FullHandedOn)]
#[case(Fault::TakesOnStill)]
fn a_fault_that_is_put_in_is_found(#[case] fault: Fault) {
    let done = Folder(fault)
        .checker()
        .threads(2)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let rules = ["no rule is broken", "one serves at a time", "who serves owns the journal"];
    let found = done.discoveries().into_keys().any(|name| rules.contains(&name));
    assert!(found, "{fault:?} is not found in {} states", done.unique_state_count());
}
