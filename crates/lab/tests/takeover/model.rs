//! The model of two processes that share one state folder. Its transitions are polls of the locks, actions of clients,
//! partners and the disk, and kills and starts of the processes. Each process runs the shipped state machine
//! (`takeover::state`). A suspended process is covered by the interleavings in which a process takes no step for some time.
use micaladder::takeover::state::{
    Action, Observed, RequestId, State, StateMachine, DRAIN_TIMEOUT, REQUEST_LEASE,
};
use micaladder::Nanos;
use stateright::{Model, Property};

/// Number of messages. No message may run twice at the partner. The messages share an ordering key: the second one is sent
/// only after the first one is complete.
const MESSAGES: usize = 2;
const MAX_KILLS: u8 = 2;
const MAX_STARTS: u8 = 2;
const MAX_DISK_CHANGES: u8 = 2;
/// Maximum number of attempts per message.
const MAX_ATTEMPTS: u8 = 3;

/// State of a message in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JournalState {
    Nothing,
    Accepted,
    Started(u8),
    Completed,
}

/// State of a message in the memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageState {
    Nothing,
    Pending,
    /// This attempt is in flight.
    InFlight(u8),
    /// This attempt may still be in flight at the predecessor.
    AtPredecessor(u8),
    Completed,
}

/// One process of the takeover.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    alive: bool,
    /// Whether the process requests the folder while it waits for the owner's lock.
    requests_folder: bool,
    pub takeover: StateMachine,
    messages: [MessageState; MESSAGES],
    /// Number of late outcomes that the process has read.
    late_outcomes_read: usize,
    /// Whether a predecessor has released the journal and its late outcomes are not read to the end.
    has_predecessor: bool,
    /// Attempts still in flight from an earlier period in which this process owned the journal.
    earlier_attempts: [Option<u8>; MESSAGES],
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Delivered,
    /// The message certainly did not run, so it may be sent again.
    NeverRan,
}

/// A late outcome: the message, its attempt and how the attempt ended.
type LateOutcome = (usize, u8, Outcome);

/// A state of the model: the processes, the folder and the partner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub processes: [Process; 2],
    // The processes that hold the locks `owner`, `next` and `late`.
    owner: Option<usize>,
    next: Option<usize>,
    late: Option<usize>,
    journal: [JournalState; MESSAGES],
    /// Content of the file `late`; `None` if it does not exist.
    late_outcomes: Option<Vec<LateOutcome>>,
    /// For each message, whether it may have run at the partner.
    may_have_run: [bool; MESSAGES],
    attempts: [u8; MESSAGES],
    disk_full: bool,
    kills: u8,
    starts: u8,
    disk_changes: u8,
    /// The last rule that a transition violated; `None` if no rule was violated.
    violation: Option<&'static str>,
}

/// Time that has passed at a poll. Any of these may pass between two steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Elapsed {
    Nothing,
    /// The drain has reached its timeout.
    Drain,
    /// The lease of a request has expired too.
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

/// A transition. The first index is the process, the second one the message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Poll(usize, Elapsed),
    Accept(usize, usize),
    Send(usize, usize),
    Finish(usize, usize, Outcome),
    FinishEarlierAttempt(usize, usize, Outcome),
    ReadLateOutcomes(usize),
    Kill(usize),
    Start(usize),
    ChangeDisk,
}

/// Safety property: no transition violates a rule.
pub const NO_VIOLATION: &str = "no rule is violated";
/// Safety property: at most one process accepts clients.
pub const AT_MOST_ONE_SERVES: &str = "at most one process serves";
/// Safety property: a process that accepts clients owns the journal.
pub const SERVING_PROCESS_OWNS_JOURNAL: &str = "a serving process owns the journal";

/// A fault of the code that the model injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    None,
    /// The owner's lock is released before `late` is locked.
    OwnerLockReleasedFirst,
    /// A late outcome is applied to any attempt of its message.
    OutcomeOfOtherAttemptAccepted,
    /// Messages in flight at the predecessor are treated as if they had never run.
    CallsOfPredecessorIgnored,
    /// A message is sent although an earlier one with the same ordering key may be in flight at the predecessor.
    OrderingKeyIgnored,
    /// A journal that cannot be written is released.
    UnwritableJournalReleased,
    /// A process that does not own the journal ignores the request of another process.
    ReleasedJournalReacquired,
    /// A process accepts messages after it has released the journal.
    AcceptsAfterRelease,
}

/// The model of the folder and its two processes, with an injected fault.
pub struct FolderModel(pub InjectedFault);

impl Outcome {
    /// Returns the states of the message after this outcome, in memory and in the journal.
    fn resulting_states(self) -> (MessageState, JournalState) {
        match self {
            Outcome::Delivered => (MessageState::Completed, JournalState::Completed),
            Outcome::NeverRan => (MessageState::Pending, JournalState::Accepted),
        }
    }
}

impl Process {
    pub fn started(requests_folder: bool) -> Process {
        let messages = [MessageState::Nothing; MESSAGES];
        Process {
            alive: true,
            requests_folder,
            takeover: StateMachine::new(),
            messages,
            late_outcomes_read: 0,
            has_predecessor: false,
            earlier_attempts: [None; MESSAGES],
        }
    }

    pub fn has_calls_in_flight(&self) -> bool {
        self.messages.iter().any(|state| matches!(state, MessageState::InFlight(_)))
    }

    /// Returns whether the process has a call of one of these messages in flight, also from an earlier period as the owner.
    fn has_call_of(&self, range: std::ops::RangeTo<usize>) -> bool {
        let is_in_flight = |state: &MessageState| matches!(state, MessageState::InFlight(_));
        self.messages[range].iter().any(is_in_flight)
            || self.earlier_attempts[range].iter().any(Option::is_some)
    }

    fn waits_for_predecessor(&self) -> bool {
        self.messages.iter().any(|state| matches!(state, MessageState::AtPredecessor(_)))
    }

    pub fn accepts(&self) -> bool {
        self.alive && matches!(self.takeover.state, State::Serving | State::Draining { .. })
    }
}

impl World {
    /// Creates the initial state: the first process has just started, and the second one has not.
    pub fn new() -> World {
        let dead = Process { alive: false, ..Process::started(true) };
        World {
            processes: [Process::started(true), dead],
            owner: None,
            next: None,
            late: None,
            journal: [JournalState::Nothing; MESSAGES],
            late_outcomes: None,
            may_have_run: [false; MESSAGES],
            attempts: [0; MESSAGES],
            disk_full: false,
            kills: 0,
            starts: 0,
            disk_changes: 0,
            violation: None,
        }
    }

    /// Writes the state of a message to the journal. Returns `false` if the disk is full. A write by a process that does not
    /// own the journal is a violation.
    fn write_journal(&mut self, p: usize, m: usize, state: JournalState) -> bool {
        if self.owner != Some(p) {
            self.violation = Some("a process wrote the journal that it does not own");
        }
        if !self.disk_full {
            self.journal[m] = state;
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
        let owns_no_journal = matches!(process.takeover.state, State::Released | State::WaitingForLock);
        let ignores_request = fault == InjectedFault::ReleasedJournalReacquired && owns_no_journal;
        let request = self
            .next
            .filter(|holder| *holder != p && !ignores_request)
            .map(|holder| RequestId(holder as u64));
        let tries_owner_lock = process.takeover.may_acquire(now, request);
        let journal_blocked = self.disk_full && fault != InjectedFault::UnwritableJournalReleased;
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
                self.next = self.next.filter(|holder| *holder != p);
                self.replay_journal(fault, p);
            }
            Some(Action::Release) => {
                if self.late.is_some() && fault != InjectedFault::OwnerLockReleasedFirst {
                    return;
                }
                if fault == InjectedFault::OwnerLockReleasedFirst {
                    // The file `late` is created and locked only after the owner's lock is released.
                    self.late_outcomes = self.late_outcomes.take().or(Some(Vec::new()));
                } else {
                    self.late = Some(p);
                    self.late_outcomes = Some(Vec::new());
                }
                self.owner = None;
                if self.disk_full {
                    self.violation = Some("a journal that cannot be written was released");
                }
            }
            Some(Action::Reset) => {
                let earlier_attempts = self.processes[p].messages.map(|state| match state {
                    MessageState::InFlight(attempt) => Some(attempt),
                    _ => None,
                });
                self.processes[p] = Process { takeover, earlier_attempts, ..Process::started(false) };
                self.release_late_if_finished(p);
            }
            Some(Action::Drain | Action::Resume) | None => {}
        }
        self.processes[p].takeover = takeover;
        let process = &self.processes[p];
        if process.takeover.state == State::WaitingForLock && process.requests_folder && self.next.is_none() {
            self.next = Some(p);
        }
    }

    /// Releases the lock of `late` once no earlier attempt is in flight, as no more outcomes are written to the file then.
    fn release_late_if_finished(&mut self, p: usize) {
        if self.processes[p].earlier_attempts.iter().all(Option::is_none) {
            self.late = self.late.filter(|holder| *holder != p);
        }
    }

    /// Replays the journal. An attempt that a killed process started may have run, so its message ends as undeliverable.
    fn replay_journal(&mut self, fault: InjectedFault, p: usize) {
        let has_predecessor = self.late_outcomes.is_some();
        for m in 0..MESSAGES {
            self.processes[p].messages[m] = match self.journal[m] {
                JournalState::Nothing => MessageState::Nothing,
                JournalState::Accepted => MessageState::Pending,
                JournalState::Started(_) if fault == InjectedFault::CallsOfPredecessorIgnored => {
                    MessageState::Pending
                }
                JournalState::Started(attempt) if has_predecessor => MessageState::AtPredecessor(attempt),
                JournalState::Started(_) => MessageState::Completed,
                JournalState::Completed => MessageState::Completed,
            };
        }
        self.processes[p].late_outcomes_read = 0;
        self.processes[p].has_predecessor = has_predecessor;
    }

    /// Applies the late outcomes that the process has not read yet. If the lock of `late` is free, no more outcomes follow:
    /// messages without one may have run and end as undeliverable.
    fn read_late_outcomes(&mut self, fault: InjectedFault, p: usize) {
        let is_late_unlocked = self.late.is_none();
        let outcomes = self.late_outcomes.clone().unwrap_or_default();
        let already_read = self.processes[p].late_outcomes_read;
        self.processes[p].late_outcomes_read = outcomes.len();
        for (m, attempt, outcome) in outcomes.into_iter().skip(already_read) {
            if let MessageState::AtPredecessor(expected) = self.processes[p].messages[m] {
                if expected == attempt || fault == InjectedFault::OutcomeOfOtherAttemptAccepted {
                    let (state, journalled) = outcome.resulting_states();
                    self.processes[p].messages[m] = state;
                    self.write_journal(p, m, journalled);
                }
            }
        }
        if is_late_unlocked {
            for m in 0..MESSAGES {
                if matches!(self.processes[p].messages[m], MessageState::AtPredecessor(_)) {
                    self.processes[p].messages[m] = MessageState::Completed;
                    self.write_journal(p, m, JournalState::Completed);
                }
            }
            self.processes[p].has_predecessor = false;
            if !self.disk_full {
                self.late_outcomes = None;
            }
        }
    }

    pub fn accept(&mut self, p: usize, m: usize) {
        if self.write_journal(p, m, JournalState::Accepted) {
            self.processes[p].messages[m] = MessageState::Pending;
        }
    }

    pub fn send(&mut self, p: usize, m: usize) {
        let attempt = self.attempts[m];
        if !self.write_journal(p, m, JournalState::Started(attempt)) {
            return;
        }
        if self.may_have_run[m] {
            self.violation = Some("a message that may have run was sent again");
        }
        if self.processes.iter().any(|process| process.has_call_of(..m)) {
            self.violation = Some("two messages with one ordering key were in flight at once");
        }
        self.may_have_run[m] = true;
        self.attempts[m] = attempt + 1;
        self.processes[p].messages[m] = MessageState::InFlight(attempt);
    }

    /// Ends the attempt of a message. Returns `None` if no attempt of the message is in flight.
    pub fn finish(&mut self, p: usize, m: usize, outcome: Outcome) -> Option<()> {
        let MessageState::InFlight(attempt) = self.processes[p].messages[m] else { return None };
        if outcome == Outcome::NeverRan {
            self.may_have_run[m] = false;
        }
        if self.processes[p].takeover.state == State::Released {
            self.processes[p].messages[m] = MessageState::Completed;
            self.late_outcomes.iter_mut().for_each(|outcomes| outcomes.push((m, attempt, outcome)));
            return Some(());
        }
        let (state, journalled) = outcome.resulting_states();
        self.processes[p].messages[m] = state;
        // An outcome that cannot be written is kept in memory and written later. If the process is killed before that, the
        // journal shows only the start of the attempt, so the message may have run.
        self.write_journal(p, m, journalled);
        if self.disk_full {
            self.processes[p].messages[m] = MessageState::InFlight(attempt);
            self.may_have_run[m] = true;
        }
        Some(())
    }

    /// Ends an attempt from an earlier period in which the process owned the journal. Returns `None` if there is none.
    fn finish_earlier_attempt(&mut self, p: usize, m: usize, outcome: Outcome) -> Option<()> {
        let attempt = self.processes[p].earlier_attempts[m].take()?;
        if outcome == Outcome::NeverRan {
            self.may_have_run[m] = false;
        }
        self.late_outcomes.iter_mut().for_each(|outcomes| outcomes.push((m, attempt, outcome)));
        self.release_late_if_finished(p);
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
            steps.push(Step::ReadLateOutcomes(p));
        }
        for m in 0..MESSAGES {
            self.message_steps(world, p, m, steps);
        }
    }

    fn message_steps(&self, world: &World, p: usize, m: usize, steps: &mut Vec<Step>) {
        let process = &world.processes[p];
        let released = process.takeover.state == State::Released;
        let accepts = process.accepts() || (self.0 == InjectedFault::AcceptsAfterRelease && released);
        let earlier_accepted = world.journal[..m].iter().all(|state| *state != JournalState::Nothing);
        if accepts && earlier_accepted && world.journal[m] == JournalState::Nothing {
            steps.push(Step::Accept(p, m));
        }
        let is_pending = process.messages[m] == MessageState::Pending;
        let has_attempts = world.attempts[m] < MAX_ATTEMPTS;
        if process.accepts() && self.is_first_of_key(process, m) && is_pending && has_attempts {
            steps.push(Step::Send(p, m));
        }
        if matches!(process.messages[m], MessageState::InFlight(_)) {
            steps.extend([Step::Finish(p, m, Outcome::Delivered), Step::Finish(p, m, Outcome::NeverRan)]);
        }
        if process.earlier_attempts[m].is_some() {
            let outcomes = [Outcome::Delivered, Outcome::NeverRan];
            steps.extend(outcomes.map(|outcome| Step::FinishEarlierAttempt(p, m, outcome)));
        }
    }

    /// Returns whether all earlier messages with the ordering key are complete, as far as the process knows.
    fn is_first_of_key(&self, process: &Process, m: usize) -> bool {
        process.messages[..m].iter().all(|state| match state {
            MessageState::Completed => true,
            MessageState::AtPredecessor(_) => self.0 == InjectedFault::OrderingKeyIgnored,
            MessageState::Nothing | MessageState::Pending | MessageState::InFlight(_) => false,
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
            Step::FinishEarlierAttempt(p, m, outcome) => world.finish_earlier_attempt(p, m, outcome)?,
            Step::ReadLateOutcomes(_) if world.disk_full => return None,
            Step::ReadLateOutcomes(p) => world.read_late_outcomes(self.0, p),
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
            Property::always(NO_VIOLATION, |_, world: &World| world.violation.is_none()),
            Property::always(AT_MOST_ONE_SERVES, |_, world: &World| {
                world.processes.iter().filter(|process| process.accepts()).count() <= 1
            }),
            Property::always(SERVING_PROCESS_OWNS_JOURNAL, |_, world: &World| {
                world
                    .processes
                    .iter()
                    .enumerate()
                    .all(|(p, process)| !process.accepts() || world.owner == Some(p))
            }),
            Property::sometimes(
                "the successor serves while the predecessor has a call in flight",
                |_, world: &World| {
                    let predecessor = &world.processes[0];
                    world.processes[1].accepts() && predecessor.alive && predecessor.has_calls_in_flight()
                },
            ),
            Property::sometimes("the predecessor serves again after a kill", |_, world: &World| {
                let predecessor = &world.processes[0];
                predecessor.accepts() && !predecessor.requests_folder && world.kills == 1
            }),
            Property::sometimes("all messages are complete", |_, world: &World| {
                world.journal.iter().all(|state| *state == JournalState::Completed)
            }),
        ]
    }
}
