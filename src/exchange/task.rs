//! The task that drives the core: collects what it is told, lets the core decide once a tick, carries its orders out.
use super::command::{ClientConnections, Command, Suspension, UpstreamCommand};
use super::shutdown::{self, Phase};
use super::{open, Outputs, Shared};
use crate::clock;
use crate::core::{Answer, Callback, Input, Output, SuspensionResult};
use crate::takeover::LateOutcomeWriter;
use crate::MessageId;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Guards the times of the rules against settings that name a long tick.
const TICK_MOST: Duration = Duration::from_millis(10);

/// Words waited for, beyond which those of ended attempts are forgotten.
const EXPECTED_MOST: usize = 1024;

/// A shutdown that is under way.
struct Shutdown {
    asked: Instant,
    phase: Phase,
    done: oneshot::Sender<()>,
}

/// The one owner of the core.
pub(super) struct ExchangeTask {
    core: Shared,
    /// The shortest time between two steps.
    tick: Duration,
    answers: BTreeMap<MessageId, oneshot::Sender<Answer>>,
    expected: BTreeMap<String, oneshot::Sender<Bytes>>,
    calls: UnboundedSender<UpstreamCommand>,
    notices: UnboundedSender<Callback>,
    words: UnboundedSender<Callback>,
    close: watch::Sender<bool>,
    /// The journal is another process's; what comes of calls goes here.
    late: Option<LateOutcomeWriter>,
    /// Operators' words of this step: heard after all else that was said before them, the list among it.
    suspensions: Vec<(String, Suspension, oneshot::Sender<SuspensionResult>)>,
    shutdown: Option<Shutdown>,
}

impl ExchangeTask {
    /// A task round this core, the word that client connections are to be closed, and what the server side takes from it.
    pub(super) fn new(core: Shared) -> (ExchangeTask, watch::Receiver<bool>, Outputs) {
        let (calls_in, upstream_commands) = unbounded_channel();
        let (notices_in, platform_callbacks) = unbounded_channel();
        let (words_in, as2_receipts) = unbounded_channel();
        let (close, closing) = watch::channel(false);
        let tick = Duration::from_nanos(open(&core).tick().0).min(TICK_MOST);
        let task = ExchangeTask {
            tick,
            core,
            answers: BTreeMap::new(),
            expected: BTreeMap::new(),
            calls: calls_in,
            notices: notices_in,
            words: words_in,
            close,
            late: None,
            suspensions: Vec::new(),
            shutdown: None,
        };
        (task, closing, Outputs { upstream_commands, platform_callbacks, as2_receipts })
    }

    /// Runs for as long as the process does.
    pub(super) async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        let mut next_step = Instant::now();
        loop {
            let mut inputs = Vec::new();
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.take(command, &mut inputs),
                    None => return,
                },
                () = sleep_until(self.wake_at()) => {}
            }
            // Guards the CPU on busy days: what a step costs by itself is paid once a tick, as in the simulator,
            // and not once an event.
            tokio::time::sleep_until(next_step).await;
            next_step = Instant::now() + self.tick;
            while let Ok(command) = commands.try_recv() {
                self.take(command, &mut inputs);
            }
            if let Some(late) = &mut self.late {
                let orders = after_release(&self.core, late, inputs);
                orders.into_iter().for_each(|o| drop(self.carry_out(o)));
                continue;
            }
            self.step(inputs);
            self.advance_shutdown();
        }
    }

    /// When the core or the shutdown has something to do, whatever is told meanwhile.
    fn wake_at(&self) -> Option<Instant> {
        let core = open(&self.core).next_wake().map(clock::instant);
        let shutdown = self.shutdown.as_ref().map(|s| s.asked + shutdown::next_look(s.asked.elapsed()));
        core.into_iter().chain(shutdown).min()
    }

    /// Lets the core decide on all that happened, and carries its orders out.
    fn step(&mut self, inputs: Vec<Input>) {
        let orders = open(&self.core).step(clock::now(), inputs);
        for (uid, suspension, tell) in std::mem::take(&mut self.suspensions) {
            let out = suspension == Suspension::Suspend;
            let _ = tell.send(open(&self.core).set_suspended(clock::now(), uid, out));
        }
        let mut withdrawn = Vec::new();
        orders.into_iter().for_each(|o| withdrawn.extend(self.carry_out(o)));
        if !withdrawn.is_empty() {
            let orders = open(&self.core).step(clock::now(), withdrawn);
            orders.into_iter().for_each(|o| drop(self.carry_out(o)));
        }
    }

    fn advance_shutdown(&mut self) {
        let Some(shutdown) = &mut self.shutdown else { return };
        let attempts_out = open(&self.core).attempts_in_flight();
        shutdown.phase = shutdown.phase.after(shutdown.asked.elapsed(), attempts_out);
        if shutdown.phase >= Phase::Draining {
            open(&self.core).start_draining();
        }
        if shutdown.phase == Phase::Closing {
            let _ = self.close.send(true);
            if let Some(shutdown) = self.shutdown.take() {
                let _ = shutdown.done.send(());
            }
        }
    }

    fn take(&mut self, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Submit(context, tell) => {
                let id = open(&self.core).next_id();
                self.answers.insert(id, tell);
                inputs.push(Input::Submitted { id, context });
            }
            Command::Input(input) => inputs.push(input),
            Command::AwaitReceipt { message_id, reply } => self.await_receipt(message_id, reply),
            Command::ReceiptReceived { message_id, receipt } => self.receipt_received(&message_id, receipt),
            Command::Observations(tell) => drop(tell.send(open(&self.core).observations(clock::now()))),
            Command::SetSuspension { uid, suspension, reply } => {
                self.suspensions.push((uid, suspension, reply))
            }
            Command::SetClientConnections(connections) => {
                let _ = self.close.send(connections == ClientConnections::Close);
            }
            Command::ReleaseJournal(late, tell) => self.release_journal(late, tell, inputs),
            Command::ShutDown(done) => {
                self.shutdown = Some(Shutdown { asked: Instant::now(), phase: Phase::Serving, done });
            }
        }
    }

    fn await_receipt(&mut self, topic: String, tell: oneshot::Sender<Bytes>) {
        if self.expected.len() >= EXPECTED_MOST {
            self.expected.retain(|_, tell| !tell.is_closed());
        }
        self.expected.insert(topic, tell);
    }

    /// A word that comes too late changes nothing: the attempt has had its outcome.
    fn receipt_received(&mut self, topic: &str, word: Bytes) {
        match self.expected.remove(topic).map(|tell| tell.send(word)) {
            Some(Ok(())) => {}
            Some(Err(_)) => log::warn!("receipt for {topic} after its try had ended: changes nothing"),
            None => {
                log::warn!("receipt for {topic}, which no try of this process waits for: changes nothing")
            }
        }
    }

    /// What was said before is taken in first, on the journal that is still this process's.
    fn release_journal(
        &mut self, mut late: LateOutcomeWriter, tell: oneshot::Sender<()>, inputs: &mut Vec<Input>,
    ) {
        let now = clock::now();
        let orders = open(&self.core).step(now, std::mem::take(inputs));
        orders.into_iter().for_each(|o| inputs.extend(self.carry_out(o)));
        open(&self.core).release_journal(now).iter().for_each(|record| late.append(record));
        self.late = Some(late);
        let _ = tell.send(());
    }

    /// Returns a withdrawal where the client has not waited for its answer.
    fn carry_out(&mut self, order: Output) -> Option<Input> {
        match order {
            Output::Answer(id, answer) => {
                let tell = self.answers.remove(&id)?;
                return tell.send(answer).is_err().then_some(Input::Withdrawn(id));
            }
            Output::Call(attempts) => drop(self.calls.send(UpstreamCommand::Call(attempts))),
            Output::CancelAttempt { id, attempt } => {
                drop(self.calls.send(UpstreamCommand::CancelAttempt { id, attempt }))
            }
            Output::CloseIdle(host) => drop(self.calls.send(UpstreamCommand::CloseIdle(host))),
            Output::Callback(notice) if notice.origin.is_empty() => drop(self.notices.send(notice)),
            Output::Callback(notice) => drop(self.words.send(notice)),
        }
        None
    }
}

/// What happens to a process that has let the journal go: its calls end, and it takes nothing on.
fn after_release(core: &Shared, late: &mut LateOutcomeWriter, inputs: Vec<Input>) -> Vec<Output> {
    let (now, mut core, mut orders) = (clock::now(), open(core), Vec::new());
    for input in inputs {
        match input {
            Input::Submitted { id, .. } => {
                orders.push(Output::Answer(id, Answer::Reject(core.rejection_retry_after())))
            }
            Input::AttemptEnded { id, attempt, outcome, over, .. } => {
                core.late_outcome(id, attempt, outcome, over).iter().for_each(|record| late.append(record));
            }
            Input::RetryAfter { host, wait, .. } => {
                core.late_retry_after(now, host, wait).iter().for_each(|record| late.append(record));
            }
            // The next process hears of these itself.
            Input::Endpoints { .. }
            | Input::PeerObservations(_)
            | Input::CallbackAcknowledged(_)
            | Input::Withdrawn(_) => {}
            Input::PredecessorRecords(_) | Input::PredecessorExited => {}
        }
    }
    orders
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
