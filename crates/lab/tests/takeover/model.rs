//! The model: two processes with one folder, their polls of the locks, what clients, partners and the disk do, kills and
//! starts. The state machine is the shipped code (`takeover::state`); a paused process is one that takes no step for a
//! while.
use micaladder::takeover::state::{
    Action, Observed, RequestId, State, StateMachine, DRAIN_TIMEOUT, REQUEST_LEASE,
};
use micaladder::Nanos;
use stateright::{Model, Property};

/// Payouts; the second may come only once the first has ended, since they have a key in common.
const MESSAGES: usize = 2;
const MAX_KILLS: u8 = 2;
const MAX_STARTS: u8 = 2;
const MAX_DISK_CHANGES: u8 = 2;
/// Attempts of a message.
const MAX_ATTEMPTS: u8 = 3;

/// What the journal says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Logged {
    Nothing,
    Accepted,
    Started(u8),
    Completed,
}

/// What a process has in memory of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Known {
    Nothing,
    Pending,
    /// Its call is in flight.
    InFlight(u8),
    /// Its call may be in flight at the predecessor.
    AtPredecessor(u8),
    Completed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    alive: bool,
    asks: bool,
    pub takeover: StateMachine,
    known: [Known; MESSAGES],
    /// Records of `late` that it has read.
    read: usize,
    has_predecessor: bool,
    /// Calls of an earlier time as the owner that are in flight still, beside this one.
    left_over: [Option<u8>; MESSAGES],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Delivered,
    NeverRan,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub processes: [Process; 2],
    owner: Option<usize>,
    next: Option<usize>,
    late: Option<usize>,
    logged: [Logged; MESSAGES],
    /// Which message and which of its attempts, and how it ended; none: there is no such file.
    records: Option<Vec<(usize, u8, Outcome)>>,
    /// The truth at the partner: the message may have run.
    may_have_run: [bool; MESSAGES],
    attempts: [u8; MESSAGES],
    disk_full: bool,
    kills: u8,
    starts: u8,
    disk_changes: u8,
    violation: Option<&'static str>,
}

/// How much time has passed at a poll: any may pass between two steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Elapsed {
    Nothing,
    /// The drain has reached its timeout.
    Drain,
    /// A request that was not used has expired.
    Lease,
}

impl Elapsed {
    const ALL: [Elapsed; 3] = [Elapsed::Nothing, Elapsed::Drain, Elapsed::Lease];

    fn now(self) -> Nanos {
        match self {
            Elapsed::Nothing => Nanos(0),
            Elapsed::Drain => DRAIN_TIMEOUT,
            Elapsed::Lease => DRAIN_TIMEOUT + REQUEST_LEASE,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Poll(usize, Elapsed),
    Accept(usize, usize),
    Send(usize, usize),
    Finish(usize, usize, Outcome),
    FinishLeftOver(usize, usize, Outcome),
    ReadLate(usize),
    Kill(usize),
    Start(usize),
    ChangeDisk,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    None,
    /// The owner's lock is released before `late` is locked.
    OwnerLockReleasedFirst,
    /// A late outcome counts for any attempt of its message.
    OutcomeOfAnyAttempt,
    /// What is in flight at the predecessor is taken for never run.
    PredecessorForgotten,
    /// Messages behind one at the predecessor by their ordering key are not kept back.
    OrderingKeyForgotten,
    /// A journal that cannot be written is released.
    FullJournalReleased,
    /// A process that does not own the journal does not look whether another one asks for it.
    ReleasedJournalTakenBack,
    /// A process accepts messages after its release.
    AcceptsAfterRelease,
}

/// The folder and its two processes, with a fault of the code put in.
pub struct FolderModel(pub InjectedFault);

impl Outcome {
    /// What the process then knows of the message, and what the journal says of it.
    fn result(self) -> (Known, Logged) {
        match self {
            Outcome::Delivered => (Known::Completed, Logged::Completed),
            Outcome::NeverRan => (Known::Pending, Logged::Accepted),
        }
    }
}

impl Process {
    pub fn started(asks: bool) -> Process {
        let known = [Known::Nothing; MESSAGES];
        Process {
            alive: true,
            asks,
            takeover: StateMachine::new(),
            known,
            read: 0,
            has_predecessor: false,
            left_over: [None; MESSAGES],
        }
    }
    pub fn has_calls_in_flight(&self) -> bool {
        self.known.iter().any(|k| matches!(k, Known::InFlight(_)))
    }
    fn has_call_of(&self, messages: std::ops::RangeTo<usize>) -> bool {
        let is_in_flight = |known: &Known| matches!(known, Known::InFlight(_));
        self.known[messages].iter().any(is_in_flight) || self.left_over[messages].iter().any(Option::is_some)
    }
    fn waits_for_predecessor(&self) -> bool {
        self.known.iter().any(|k| matches!(k, Known::AtPredecessor(_)))
    }
    pub fn accepts(&self) -> bool {
        self.alive && matches!(self.takeover.state, State::Serving | State::Draining { .. })
    }
}

impl World {
    /// The first process has just started, and the second one has not.
    pub fn new() -> World {
        let dead = Process { alive: false, ..Process::started(true) };
        World {
            processes: [Process::started(true), dead],
            owner: None,
            next: None,
            late: None,
            logged: [Logged::Nothing; MESSAGES],
            records: None,
            may_have_run: [false; MESSAGES],
            attempts: [0; MESSAGES],
            disk_full: false,
            kills: 0,
            starts: 0,
            disk_changes: 0,
            violation: None,
        }
    }

    /// A process writes the journal: it has to own it, and the disk has to take it.
    fn log(&mut self, p: usize, m: usize, what: Logged) -> bool {
        if self.owner != Some(p) {
            self.violation = Some("the journal was written by one that does not own it");
        }
        if !self.disk_full {
            self.logged[m] = what;
        }
        !self.disk_full
    }

    fn release_locks(&mut self, p: usize) {
        for lock in [&mut self.owner, &mut self.next, &mut self.late] {
            *lock = lock.filter(|holder| *holder != p);
        }
    }

    pub fn poll(&mut self, fault: InjectedFault, p: usize, elapsed: Elapsed) {
        let process = &self.processes[p];
        let now = elapsed.now();
        let has_no_part = matches!(process.takeover.state, State::Released | State::WaitingForLock);
        let looks_away = fault == InjectedFault::ReleasedJournalTakenBack && has_no_part;
        let request = self.next.filter(|n| *n != p && !looks_away).map(|n| RequestId(n as u64));
        let tries_owner_lock = process.takeover.may_acquire(now, request);
        let journal_blocked = self.disk_full && fault != InjectedFault::FullJournalReleased;
        let observed = Observed {
            lock_acquired: tries_owner_lock && self.owner.is_none(),
            owned_by_other: self.owner.is_some_and(|owner| owner != p),
            request,
            clients_connected: elapsed == Elapsed::Nothing,
            calls_in_flight: process.has_calls_in_flight(),
            release_blocked: process.waits_for_predecessor() || journal_blocked,
        };
        let mut takeover = process.takeover;
        let action = takeover.step(now, observed);
        match action {
            Some(Action::StartServing) => {
                self.owner = Some(p);
                self.next = self.next.filter(|n| *n != p);
                self.serve(fault, p);
            }
            Some(Action::Release) => {
                if self.late.is_some() && fault != InjectedFault::OwnerLockReleasedFirst {
                    return;
                }
                if fault == InjectedFault::OwnerLockReleasedFirst {
                    // Its file is created and locked only after the owner's lock was released.
                    self.records = self.records.take().or(Some(Vec::new()));
                } else {
                    self.late = Some(p);
                    self.records = Some(Vec::new());
                }
                self.owner = None;
                if self.disk_full {
                    self.violation = Some("a journal that cannot be written was handed on");
                }
            }
            Some(Action::Reset) => {
                let left_over = self.processes[p].known.map(|known| match known {
                    Known::InFlight(attempt) => Some(attempt),
                    _ => None,
                });
                self.processes[p] = Process { takeover, left_over, ..Process::started(false) };
                self.release_late(p);
            }
            Some(Action::Drain | Action::Resume) | None => {}
        }
        self.processes[p].takeover = takeover;
        let me = &self.processes[p];
        if me.takeover.state == State::WaitingForLock && me.asks && self.next.is_none() {
            self.next = Some(p);
        }
    }

    /// Without a call of an earlier time, nothing more is written to `late`.
    fn release_late(&mut self, p: usize) {
        if self.processes[p].left_over.iter().all(Option::is_none) {
            self.late = self.late.filter(|l| *l != p);
        }
    }

    /// Reads the journal.
    fn serve(&mut self, fault: InjectedFault, p: usize) {
        let has_predecessor = self.records.is_some();
        for m in 0..MESSAGES {
            self.processes[p].known[m] = match self.logged[m] {
                Logged::Nothing => Known::Nothing,
                Logged::Accepted => Known::Pending,
                Logged::Started(_) if fault == InjectedFault::PredecessorForgotten => Known::Pending,
                Logged::Started(n) if has_predecessor => Known::AtPredecessor(n),
                Logged::Started(_) => Known::Completed,
                Logged::Completed => Known::Completed,
            };
        }
        self.processes[p].read = 0;
        self.processes[p].has_predecessor = has_predecessor;
    }

    fn read_late(&mut self, fault: InjectedFault, p: usize) {
        let predecessor_exited = self.late.is_none();
        let records = self.records.clone().unwrap_or_default();
        let from = self.processes[p].read;
        self.processes[p].read = records.len();
        for (m, attempt, outcome) in records.into_iter().skip(from) {
            if let Known::AtPredecessor(at) = self.processes[p].known[m] {
                if at == attempt || fault == InjectedFault::OutcomeOfAnyAttempt {
                    let (known, logged) = outcome.result();
                    self.processes[p].known[m] = known;
                    self.log(p, m, logged);
                }
            }
        }
        if predecessor_exited {
            for m in 0..MESSAGES {
                if matches!(self.processes[p].known[m], Known::AtPredecessor(_)) {
                    // A payout that may have run ends as undeliverable.
                    self.processes[p].known[m] = Known::Completed;
                    self.log(p, m, Logged::Completed);
                }
            }
            self.processes[p].has_predecessor = false;
            if !self.disk_full {
                self.records = None;
            }
        }
    }

    pub fn accept(&mut self, p: usize, m: usize) {
        if self.log(p, m, Logged::Accepted) {
            self.processes[p].known[m] = Known::Pending;
        }
    }

    pub fn send(&mut self, p: usize, m: usize) {
        let attempt = self.attempts[m];
        if !self.log(p, m, Logged::Started(attempt)) {
            return;
        }
        if self.may_have_run[m] {
            self.violation = Some("a payout went out twice");
        }
        if self.processes.iter().any(|q| q.has_call_of(..m)) {
            self.violation = Some("two of a key were out at once");
        }
        self.may_have_run[m] = true;
        self.attempts[m] = attempt + 1;
        self.processes[p].known[m] = Known::InFlight(attempt);
    }

    /// The attempt of a message ends; none where it has none in flight.
    pub fn finish(&mut self, p: usize, m: usize, outcome: Outcome) -> Option<()> {
        let Known::InFlight(attempt) = self.processes[p].known[m] else { return None };
        if outcome == Outcome::NeverRan {
            self.may_have_run[m] = false;
        }
        if self.processes[p].takeover.state == State::Released {
            self.processes[p].known[m] = Known::Completed;
            self.records.iter_mut().for_each(|records| records.push((m, attempt, outcome)));
            return Some(());
        }
        let (known, logged) = outcome.result();
        self.processes[p].known[m] = known;
        // One that cannot be written is kept and written later; a kill before that makes it may have run.
        self.log(p, m, logged);
        if self.disk_full {
            self.processes[p].known[m] = Known::InFlight(attempt);
            self.may_have_run[m] = true;
        }
        Some(())
    }

    /// The attempt of an earlier time as the owner ends.
    fn finish_left_over(&mut self, p: usize, m: usize, outcome: Outcome) -> Option<()> {
        let attempt = self.processes[p].left_over[m].take()?;
        if outcome == Outcome::NeverRan {
            self.may_have_run[m] = false;
        }
        self.records.iter_mut().for_each(|records| records.push((m, attempt, outcome)));
        self.release_late(p);
        Some(())
    }

    pub fn kill(&mut self, p: usize) {
        self.release_locks(p);
        self.kills += 1;
        self.processes[p] = Process { alive: false, ..Process::started(true) };
    }
}

impl FolderModel {
    fn process_steps(&self, world: &World, p: usize, steps: &mut Vec<Step>) {
        let process = &world.processes[p];
        if !process.alive {
            if world.starts < MAX_STARTS {
                steps.push(Step::Start(p));
            }
            return;
        }
        steps.extend(Elapsed::ALL.map(|elapsed| Step::Poll(p, elapsed)));
        if world.kills < MAX_KILLS {
            steps.push(Step::Kill(p));
        }
        if process.accepts() && process.has_predecessor {
            steps.push(Step::ReadLate(p));
        }
        for m in 0..MESSAGES {
            self.message_steps(world, p, m, steps);
        }
    }

    fn message_steps(&self, world: &World, p: usize, m: usize, steps: &mut Vec<Step>) {
        let process = &world.processes[p];
        let released = process.takeover.state == State::Released;
        let accepts = process.accepts() || (self.0 == InjectedFault::AcceptsAfterRelease && released);
        let earlier_accepted = world.logged[..m].iter().all(|l| *l != Logged::Nothing);
        if accepts && earlier_accepted && world.logged[m] == Logged::Nothing {
            steps.push(Step::Accept(p, m));
        }
        let is_pending = process.known[m] == Known::Pending;
        let has_attempts = world.attempts[m] < MAX_ATTEMPTS;
        if process.accepts() && self.is_first_of_key(process, m) && is_pending && has_attempts {
            steps.push(Step::Send(p, m));
        }
        if matches!(process.known[m], Known::InFlight(_)) {
            steps.extend([Step::Finish(p, m, Outcome::Delivered), Step::Finish(p, m, Outcome::NeverRan)]);
        }
        if process.left_over[m].is_some() {
            let outcomes = [Outcome::Delivered, Outcome::NeverRan];
            steps.extend(outcomes.map(|outcome| Step::FinishLeftOver(p, m, outcome)));
        }
    }

    /// Whether the process takes all messages before this one for completed.
    fn is_first_of_key(&self, process: &Process, m: usize) -> bool {
        process.known[..m].iter().all(|known| match known {
            Known::Completed => true,
            Known::AtPredecessor(_) => self.0 == InjectedFault::OrderingKeyForgotten,
            Known::Nothing | Known::Pending | Known::InFlight(_) => false,
        })
    }
}

impl Model for FolderModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for p in 0..world.processes.len() {
            self.process_steps(world, p, steps);
        }
        if world.disk_changes < MAX_DISK_CHANGES {
            steps.push(Step::ChangeDisk);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Poll(p, elapsed) => world.poll(self.0, p, elapsed),
            Step::Accept(p, m) => world.accept(p, m),
            Step::Send(p, m) => world.send(p, m),
            Step::Finish(p, m, outcome) => world.finish(p, m, outcome)?,
            Step::FinishLeftOver(p, m, outcome) => world.finish_left_over(p, m, outcome)?,
            Step::ReadLate(_) if world.disk_full => return None,
            Step::ReadLate(p) => world.read_late(self.0, p),
            Step::Kill(p) => world.kill(p),
            Step::Start(p) => {
                world.starts += 1;
                world.processes[p] = Process::started(true);
            }
            Step::ChangeDisk => {
                world.disk_changes += 1;
                world.disk_full = !world.disk_full;
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is broken", |_, w: &World| w.violation.is_none()),
            Property::always("one serves at a time", |_, w: &World| {
                w.processes.iter().filter(|p| p.accepts()).count() <= 1
            }),
            Property::always("who serves owns the journal", |_, w: &World| {
                w.processes.iter().enumerate().all(|(p, process)| !process.accepts() || w.owner == Some(p))
            }),
            Property::sometimes(
                "the second takes over with a call still out at the first",
                |_, w: &World| {
                    w.processes[1].accepts() && w.processes[0].alive && w.processes[0].has_calls_in_flight()
                },
            ),
            Property::sometimes("the first takes the journal up again", |_, w: &World| {
                w.processes[0].accepts() && !w.processes[0].asks && w.kills == 1
            }),
            Property::sometimes("all messages end", |_, w: &World| {
                w.logged.iter().all(|l| *l == Logged::Completed)
            }),
        ]
    }
}
