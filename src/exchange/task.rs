//! The task that drives the core. It collects commands, runs at most one step of the core per tick, and executes the outputs.
use super::command::{ClientConnections, Command, Suspension, UpstreamCommand};
use super::core_handle::SharedCore;
use super::receipts::PendingMdns;
use super::shutdown::{self, ShutdownPhase};
use super::{AttemptId, Outputs};
use crate::clock;
use crate::core::{Answer, Callback, Core, Input, Output, SuspensionResult};
use crate::takeover::{FolderLock, LateOutcomeWriter};
use crate::MessageId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// The longest tick. Caps the configured tick, since a long tick would delay messages past their deadlines.
const MAX_TICK: Duration = Duration::from_millis(10);

/// Number of yields to the runtime after which a connection in the accept queue has submitted its request: one each to accept,
/// read and submit, and one spare.
const YIELDS_PER_ARRIVAL: usize = 4;

/// A shutdown in progress.
struct Shutdown {
    requested_at: Instant,
    phase: ShutdownPhase,
    reply: oneshot::Sender<()>,
}

/// A requested change of an endpoint's suspension.
struct SuspensionRequest {
    uid: String,
    suspension: Suspension,
    reply: oneshot::Sender<SuspensionResult>,
}

/// The state after the journal was released to another process.
struct ReleasedJournal {
    /// Receives the outcomes of calls in flight. Closed when the last call has ended, because the new owner cannot release the
    /// journal in turn while this file is locked.
    late: Option<LateOutcomeWriter>,
}

/// A requested release of the journal.
struct ReleaseRequest {
    late: LateOutcomeWriter,
    owner_lock: FolderLock,
    reply: oneshot::Sender<()>,
}

/// The reason for which the task woke up.
enum Wakeup {
    Command(Command),
    /// A deadline of the core or of the shutdown has passed.
    Timer,
    /// The last handle was dropped.
    Disconnected,
}

/// The task that drives the core.
pub(super) struct ExchangeTask {
    core: SharedCore,
    /// The shortest time between two steps.
    tick: Duration,
    /// Reply channels of the clients that wait for an answer.
    answers: BTreeMap<MessageId, oneshot::Sender<Answer>>,
    pending_mdns: PendingMdns,
    upstream_commands: UnboundedSender<UpstreamCommand>,
    platform_callbacks: UnboundedSender<Callback>,
    as2_completions: UnboundedSender<Callback>,
    client_connections: watch::Sender<ClientConnections>,
    /// Set once the journal has been released to another process.
    released: Option<ReleasedJournal>,
    /// Suspension requests of the current step. Applied after its inputs, so that an endpoint which an endpoint list of the same
    /// step adds can be suspended.
    suspensions: Vec<SuspensionRequest>,
    /// The release requested in the current step. Executed after the inputs of the step, so that this process still answers the
    /// requests submitted before the release.
    release: Option<ReleaseRequest>,
    /// Withheld outputs of the last step before the release.
    last_outputs: Vec<Output>,
    shutdown: Option<Shutdown>,
}

impl ExchangeTask {
    /// Returns a task for this core, a receiver of the state of client connections, and the receivers of the task's outputs.
    pub(super) fn new(core: SharedCore) -> (ExchangeTask, watch::Receiver<ClientConnections>, Outputs) {
        let (upstream_commands, upstream_commands_received) = unbounded_channel();
        let (platform_callbacks, platform_callbacks_received) = unbounded_channel();
        let (as2_completions, as2_completions_received) = unbounded_channel();
        let (client_connections, client_connections_received) = watch::channel(ClientConnections::Open);
        let tick = Duration::from_nanos(core.lock().tick().0).min(MAX_TICK);
        let task = ExchangeTask {
            core,
            tick,
            answers: BTreeMap::new(),
            pending_mdns: PendingMdns::default(),
            upstream_commands,
            platform_callbacks,
            as2_completions,
            client_connections,
            released: None,
            suspensions: Vec::new(),
            release: None,
            last_outputs: Vec::new(),
            shutdown: None,
        };
        let outputs = Outputs {
            upstream_commands: upstream_commands_received,
            platform_callbacks: platform_callbacks_received,
            as2_completions: as2_completions_received,
        };
        (task, client_connections_received, outputs)
    }

    /// Runs until the last handle is dropped, which happens when the process exits.
    pub(super) async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        let mut next_step = Instant::now();
        loop {
            let mut inputs = Vec::new();
            match self.next_wakeup(&mut commands).await {
                Wakeup::Command(command) => self.handle_command(command, &mut inputs),
                Wakeup::Timer => {}
                Wakeup::Disconnected => return,
            }
            // Batches all events of a tick into one step, as the simulator does. Under load, the fixed cost of a step for every
            // event would exhaust the CPU.
            tokio::time::sleep_until(next_step).await;
            next_step = Instant::now() + self.tick;
            while let Ok(command) = commands.try_recv() {
                self.handle_command(command, &mut inputs);
            }
            if self.released.is_some() {
                self.step_after_release(inputs);
                continue;
            }
            if let Some(request) = self.release.take() {
                self.collect_arrived(&mut commands, &mut inputs).await;
                self.release_journal(request, inputs);
                continue;
            }
            self.step(inputs);
            self.advance_shutdown();
        }
    }

    async fn next_wakeup(&self, commands: &mut UnboundedReceiver<Command>) -> Wakeup {
        tokio::select! {
            biased;
            command = commands.recv() => command.map_or(Wakeup::Disconnected, Wakeup::Command),
            () = sleep_until(self.next_deadline()) => Wakeup::Timer,
        }
    }

    /// Returns the next deadline of the core or of the shutdown.
    fn next_deadline(&self) -> Option<Instant> {
        let core = self.core.lock().next_wake().map(clock::instant);
        let shutdown =
            self.shutdown.as_ref().map(|s| s.requested_at + shutdown::next_check(s.requested_at.elapsed()));
        core.into_iter().chain(shutdown).min()
    }

    fn handle_command(&mut self, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Submit { context, reply } => {
                let id = self.core.lock().next_id();
                self.answers.insert(id, reply);
                inputs.push(Input::Submitted { id, context });
            }
            Command::Input(input) => inputs.push(input),
            Command::AwaitMdn { message_id, reply } => self.pending_mdns.register(message_id, reply),
            Command::MdnReceived { message_id, mdn } => self.pending_mdns.deliver(&message_id, mdn),
            Command::Observations { reply } => {
                let observations = self.core.lock().observations(clock::now());
                let _ = reply.send(observations);
            }
            Command::SetSuspension { uid, suspension, reply } => {
                self.suspensions.push(SuspensionRequest { uid, suspension, reply });
            }
            Command::SetClientConnections(connections) => {
                self.set_client_connections(connections);
            }
            Command::SendLastAnswers => {
                let outputs = std::mem::take(&mut self.last_outputs);
                // The disconnects are ignored: messages of clients that have disconnected belong to the successor now.
                self.execute(outputs);
            }
            Command::ReleaseJournal { late, owner_lock, reply } => {
                self.release = Some(ReleaseRequest { late, owner_lock, reply });
            }
            Command::ShutDown { reply } => {
                let (requested_at, phase) = (Instant::now(), ShutdownPhase::Serving);
                self.shutdown = Some(Shutdown { requested_at, phase, reply });
            }
        }
    }

    /// Runs one step of the core with these inputs and executes its outputs.
    fn step(&mut self, inputs: Vec<Input>) {
        let outputs = self.core.lock().step(clock::now(), inputs);
        self.apply_suspensions();
        let disconnects = self.execute(outputs);
        if disconnects.is_empty() {
            return;
        }
        let outputs = self.core.lock().step(clock::now(), disconnects);
        // This second step answers no request, so it causes no further disconnects.
        self.execute(outputs);
    }

    fn apply_suspensions(&mut self) {
        for SuspensionRequest { uid, suspension, reply } in std::mem::take(&mut self.suspensions) {
            let is_suspended = suspension == Suspension::Suspend;
            let result = self.core.lock().set_suspended(clock::now(), uid, is_suspended);
            let _ = reply.send(result);
        }
    }

    fn advance_shutdown(&mut self) {
        let Some(shutdown) = &mut self.shutdown else { return };
        let attempts_in_flight = self.core.lock().attempts_in_flight();
        shutdown.phase = shutdown.phase.after(shutdown.requested_at.elapsed(), attempts_in_flight);
        match shutdown.phase {
            ShutdownPhase::Serving => {}
            ShutdownPhase::Draining => self.core.lock().start_draining(),
            ShutdownPhase::Closing => {
                self.core.lock().start_draining();
                self.finish_shutdown();
            }
        }
    }

    fn set_client_connections(&self, connections: ClientConnections) {
        // `Closing` is final: a takeover that is rolled back during the shutdown must not reopen client connections.
        self.client_connections.send_if_modified(|now| {
            let is_change = *now != ClientConnections::Closing && *now != connections;
            if is_change {
                *now = connections;
            }
            is_change
        });
    }

    fn finish_shutdown(&mut self) {
        self.set_client_connections(ClientConnections::Closing);
        if let Some(shutdown) = self.shutdown.take() {
            let _ = shutdown.reply.send(());
        }
    }

    /// Collects the commands of all requests that have reached the process, including those whose connections still wait to be
    /// accepted or read. After the release these requests would be rejected.
    async fn collect_arrived(&mut self, commands: &mut UnboundedReceiver<Command>, inputs: &mut Vec<Input>) {
        for _ in 0..YIELDS_PER_ARRIVAL {
            tokio::task::yield_now().await;
            while let Ok(command) = commands.try_recv() {
                self.handle_command(command, inputs);
            }
        }
    }

    /// Runs the last step as the owner of the journal and releases the journal. Withholds the outputs of the step until the
    /// successor listens, because a client may send its next request as soon as it has an answer.
    fn release_journal(&mut self, request: ReleaseRequest, inputs: Vec<Input>) {
        let ReleaseRequest { mut late, owner_lock, reply } = request;
        let now = clock::now();
        self.last_outputs = self.core.lock().step(now, inputs);
        for record in self.core.lock().release_journal(now) {
            late.append(&record);
        }
        let late = (self.core.lock().calls_in_flight() > 0).then_some(late);
        self.released = Some(ReleasedJournal { late });
        drop(owner_lock);
        let _ = reply.send(());
    }

    /// Runs a step after the release of the journal: records outcomes of calls in flight and rejects requests.
    fn step_after_release(&mut self, inputs: Vec<Input>) {
        let Some(released) = &mut self.released else { return };
        let outputs = handle_inputs_after_release(&mut self.core.lock(), released.late.as_mut(), inputs);
        if self.core.lock().calls_in_flight() == 0 {
            released.late = None;
        }
        // There are no disconnects to handle: all requests were rejected.
        self.execute(outputs);
    }

    /// Executes outputs of the core. Returns an input for each client that disconnected before it was told that its message is
    /// accepted.
    fn execute(&mut self, outputs: Vec<Output>) -> Vec<Input> {
        let mut disconnects = Vec::new();
        for output in outputs {
            match output {
                Output::Answer { request, message, answer } => {
                    disconnects.extend(self.answer(request, message, answer));
                }
                Output::Call(attempts) => self.send_upstream(UpstreamCommand::Call(attempts)),
                Output::CancelAttempt { id: message, attempt } => {
                    self.send_upstream(UpstreamCommand::CancelAttempt(AttemptId { message, attempt }));
                }
                Output::CloseIdle(host) => self.send_upstream(UpstreamCommand::CloseIdle(host)),
                Output::Callback(callback) => self.send_callback(callback),
            }
        }
        disconnects
    }

    /// Answers a client. Returns an input for the core if the client has disconnected and will not learn that its message is
    /// accepted.
    fn answer(&mut self, request: MessageId, message: MessageId, answer: Answer) -> Option<Input> {
        let reply = self.answers.remove(&request)?;
        let is_undelivered = reply.send(answer).is_err();
        (is_undelivered && answer == Answer::Accepted).then_some(Input::ClientDisconnected(message))
    }

    fn send_upstream(&self, command: UpstreamCommand) {
        // The receiver is dropped only when the process exits.
        let _ = self.upstream_commands.send(command);
    }

    fn send_callback(&self, callback: Callback) {
        // Only messages that arrived at a front other than the platform's have an origin.
        let channel =
            if callback.origin.is_empty() { &self.platform_callbacks } else { &self.as2_completions };
        // The send fails if no AS2 front is configured, since the receiver is dropped then.
        let _ = channel.send(callback);
    }
}

/// Handles inputs after the release of the journal: writes outcomes and Retry-After times to `late`, and rejects requests.
fn handle_inputs_after_release(
    core: &mut Core, late: Option<&mut LateOutcomeWriter>, inputs: Vec<Input>,
) -> Vec<Output> {
    let now = clock::now();
    let mut outputs = Vec::new();
    let mut records = Vec::new();
    for input in inputs {
        match input {
            Input::Submitted { id, .. } => {
                let answer = Answer::Reject(core.rejection_retry_after());
                outputs.push(Output::Answer { request: id, message: id, answer });
            }
            Input::AttemptEnded { id, attempt, outcome, over, .. } => {
                records.extend(core.late_outcome(id, attempt, outcome, over));
            }
            Input::RetryAfter { host, wait, .. } => {
                records.extend(core.late_retry_after(now, host, wait));
            }
            // The successor receives these from their sources.
            Input::Endpoints { .. }
            | Input::PeerObservations(_)
            | Input::CallbackAcknowledged(_)
            | Input::ClientDisconnected(_)
            | Input::PredecessorRecords(_)
            | Input::PredecessorExited => {}
        }
    }
    if let Some(late) = late {
        records.iter().for_each(|record| late.append(record));
    }
    outputs
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
