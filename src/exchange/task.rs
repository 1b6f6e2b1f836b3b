//! The task that drives the core: collects commands, lets the core decide once a tick, and executes its outputs.
use super::command::{ClientConnections, Command, Suspension, UpstreamCommand};
use super::core_handle::SharedCore;
use super::receipts::PendingReceipts;
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

/// The longest tick. Guards the deadlines of messages against settings that name a long one.
const MAX_TICK: Duration = Duration::from_millis(10);

/// Turns of the runtime from a connection in the accept queue to its request's command: accept, read, submit; and one more.
const TURNS_OF_A_REQUEST: usize = 4;

/// A shutdown that has been requested.
struct Shutdown {
    requested_at: Instant,
    phase: ShutdownPhase,
    reply: oneshot::Sender<()>,
}

/// A change of an endpoint's suspension that has been requested.
struct SuspensionRequest {
    uid: String,
    suspension: Suspension,
    reply: oneshot::Sender<SuspensionResult>,
}

/// The journal belongs to another process.
struct ReleasedJournal {
    /// Where outcomes of calls in flight go. Closed with the last of them: while its file is locked, the process that owns the
    /// journal cannot release it in its turn.
    late: Option<LateOutcomeWriter>,
}

/// A release of the journal that has been requested.
struct ReleaseRequest {
    late: LateOutcomeWriter,
    owner_lock: FolderLock,
    reply: oneshot::Sender<()>,
}

/// Why the task woke up.
enum Wakeup {
    Command(Command),
    /// The core or the shutdown has something to do.
    Timer,
    /// The last handle was dropped.
    Disconnected,
}

/// The owner of the core.
pub(super) struct ExchangeTask {
    core: SharedCore,
    /// The shortest time between two steps.
    tick: Duration,
    /// Clients that wait for an answer.
    answers: BTreeMap<MessageId, oneshot::Sender<Answer>>,
    receipts: PendingReceipts,
    upstream_commands: UnboundedSender<UpstreamCommand>,
    platform_callbacks: UnboundedSender<Callback>,
    as2_receipts: UnboundedSender<Callback>,
    client_connections: watch::Sender<ClientConnections>,
    /// Set once the journal belongs to another process.
    released: Option<ReleasedJournal>,
    /// Applied after all inputs of their step, an endpoint list among them, so that they find the endpoints it adds.
    suspensions: Vec<SuspensionRequest>,
    /// Carried out after the inputs of its step: whoever asked before the release is answered by the owner.
    release: Option<ReleaseRequest>,
    /// Outputs of the last step before the release.
    last_outputs: Vec<Output>,
    shutdown: Option<Shutdown>,
}

impl ExchangeTask {
    /// A task for this core, how far client connections are closed, and the receiving ends of its outputs.
    pub(super) fn new(core: SharedCore) -> (ExchangeTask, watch::Receiver<ClientConnections>, Outputs) {
        let (upstream_commands, upstream_commands_received) = unbounded_channel();
        let (platform_callbacks, platform_callbacks_received) = unbounded_channel();
        let (as2_receipts, as2_receipts_received) = unbounded_channel();
        let (client_connections, client_connections_received) = watch::channel(ClientConnections::Open);
        let tick = Duration::from_nanos(core.lock().tick().0).min(MAX_TICK);
        let task = ExchangeTask {
            core,
            tick,
            answers: BTreeMap::new(),
            receipts: PendingReceipts::default(),
            upstream_commands,
            platform_callbacks,
            as2_receipts,
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
            as2_receipts: as2_receipts_received,
        };
        (task, client_connections_received, outputs)
    }

    /// Runs until the last handle is dropped, which is when the process exits.
    pub(super) async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        let mut next_step = Instant::now();
        loop {
            let mut inputs = Vec::new();
            match self.next_wakeup(&mut commands).await {
                Wakeup::Command(command) => self.handle_command(command, &mut inputs),
                Wakeup::Timer => {}
                Wakeup::Disconnected => return,
            }
            // Guards the CPU under load: the fixed cost of a step is paid once a tick, as in the simulator, and not once an
            // event.
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

    /// When the core or the shutdown has something to do even if no command comes.
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
            Command::AwaitReceipt { message_id, reply } => self.receipts.register(message_id, reply),
            Command::ReceiptReceived { message_id, receipt } => self.receipts.deliver(&message_id, receipt),
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
                // A client that has not waited has its message with the successor.
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

    /// Lets the core decide on all that happened, and executes its outputs.
    fn step(&mut self, inputs: Vec<Input>) {
        let outputs = self.core.lock().step(clock::now(), inputs);
        self.apply_suspensions();
        let withdrawals = self.execute(outputs);
        if withdrawals.is_empty() {
            return;
        }
        let outputs = self.core.lock().step(clock::now(), withdrawals);
        // Answers of this second step are not followed up: one pass bounds the work of a tick.
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
        // A takeover that is undone while the process ends does not open them again.
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

    /// Collects the commands of all requests that have arrived: their connections may be ready to be accepted or read, and
    /// have not had their turn. After the release they would be rejected.
    async fn collect_arrived(&mut self, commands: &mut UnboundedReceiver<Command>, inputs: &mut Vec<Input>) {
        for _ in 0..TURNS_OF_A_REQUEST {
            tokio::task::yield_now().await;
            while let Ok(command) = commands.try_recv() {
                self.handle_command(command, inputs);
            }
        }
    }

    /// The last step as the owner, and the release. Its answers are held back: a client that has its answer may come again at
    /// once, and by then the successor is to listen.
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

    /// A step once the journal belongs to another process: calls in flight end, and requests are rejected.
    fn step_after_release(&mut self, inputs: Vec<Input>) {
        let Some(released) = &mut self.released else { return };
        let outputs = after_release(&mut self.core.lock(), released.late.as_mut(), inputs);
        if self.core.lock().calls_in_flight() == 0 {
            released.late = None;
        }
        // A client that has gone has nothing to withdraw: its request was rejected.
        self.execute(outputs);
    }

    /// Executes outputs of the core. Returns the withdrawals of those clients that did not wait for their answer.
    fn execute(&mut self, outputs: Vec<Output>) -> Vec<Input> {
        let mut withdrawals = Vec::new();
        for output in outputs {
            match output {
                Output::Answer(id, answer) => withdrawals.extend(self.answer(id, answer)),
                Output::Call(attempts) => self.send_upstream(UpstreamCommand::Call(attempts)),
                Output::CancelAttempt { id: message, attempt } => {
                    self.send_upstream(UpstreamCommand::CancelAttempt(AttemptId { message, attempt }));
                }
                Output::CloseIdle(host) => self.send_upstream(UpstreamCommand::CloseIdle(host)),
                Output::Callback(callback) => self.send_callback(callback),
            }
        }
        withdrawals
    }

    /// Answers a client; returns its withdrawal where it has not waited.
    fn answer(&mut self, id: MessageId, answer: Answer) -> Option<Input> {
        let reply = self.answers.remove(&id)?;
        reply.send(answer).is_err().then_some(Input::Withdrawn(id))
    }

    fn send_upstream(&self, command: UpstreamCommand) {
        // Its receiver ends with the process only.
        let _ = self.upstream_commands.send(command);
    }

    fn send_callback(&self, callback: Callback) {
        // Only messages that came by another transport than the platform's have an origin.
        let channel = if callback.origin.is_empty() { &self.platform_callbacks } else { &self.as2_receipts };
        // Where no AS2 transport is configured, its receiver is gone.
        let _ = channel.send(callback);
    }
}

/// Applies inputs once the journal belongs to another process: outcomes and retry-after times go to `late`, and requests
/// are rejected.
fn after_release(core: &mut Core, late: Option<&mut LateOutcomeWriter>, inputs: Vec<Input>) -> Vec<Output> {
    let now = clock::now();
    let mut outputs = Vec::new();
    let mut records = Vec::new();
    for input in inputs {
        match input {
            Input::Submitted { id, .. } => {
                outputs.push(Output::Answer(id, Answer::Reject(core.rejection_retry_after())));
            }
            Input::AttemptEnded { id, attempt, outcome, over, .. } => {
                records.extend(core.late_outcome(id, attempt, outcome, over));
            }
            Input::RetryAfter { host, wait, .. } => {
                records.extend(core.late_retry_after(now, host, wait));
            }
            // The successor learns of these itself.
            Input::Endpoints { .. }
            | Input::PeerObservations(_)
            | Input::CallbackAcknowledged(_)
            | Input::Withdrawn(_)
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
