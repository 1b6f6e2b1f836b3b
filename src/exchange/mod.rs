//! The one object in which client side and server side meet. Clients submit requests and wait for answers; the server
//! side takes calls and notices from it and brings their outcomes back. Neither knows the other.
//!
//! `command` is what it is told, `task` drives the core, `shutdown` is the order in which a process ends.
mod command;
mod shutdown;
mod task;
#[cfg(test)]
mod tests;

pub use command::UpstreamCommand;
pub use command::{ClientConnections, EndpointUpdate, Suspension};
pub use shutdown::SHUTDOWN_TIMEOUT;

use crate::clock;
use crate::core::{Answer, Callback, Core, EndpointObservation, Input, SuspensionResult};
use crate::journal::Record;
use crate::metrics::Metrics;
use crate::request::RequestContext;
use crate::takeover::LateOutcomeWriter;
use crate::{DestinationId, EndpointId, LoadReport, MessageId, Nanos, Outcome};
use bytes::Bytes;
use command::Command;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use task::ExchangeTask;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

/// The handle by which both sides speak with the exchange.
#[derive(Clone)]
pub struct Exchange {
    commands: UnboundedSender<Command>,
    core: Shared,
    close_signal: watch::Receiver<bool>,
}

/// The core, which the task drives. Beside it only `may_go` looks in, between two moments; nobody holds it over a wait.
type Shared = Arc<Mutex<Core>>;

fn open(core: &Shared) -> MutexGuard<'_, Core> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The ends of the exchange from which work is taken.
pub struct Outputs {
    /// Calls to start or cancel, and idle connections to close.
    pub upstream_commands: UnboundedReceiver<UpstreamCommand>,
    /// Completion callbacks to the platform.
    pub platform_callbacks: UnboundedReceiver<Callback>,
    /// Completions for which an AS2 partner is owed an asynchronous receipt (MDN).
    pub as2_receipts: UnboundedReceiver<Callback>,
}

impl Exchange {
    /// Starts the exchange round this core.
    pub fn new(core: Core) -> (Exchange, Outputs) {
        let (commands, received) = unbounded_channel();
        let core = Arc::new(Mutex::new(core));
        let (task, close_signal, outputs) = ExchangeTask::new(core.clone());
        tokio::spawn(task.run(received));
        (Exchange { commands, core, close_signal }, outputs)
    }

    /// Submits a request. A caller that drops this before its answer withdraws the request.
    pub async fn submit(&self, context: RequestContext) -> Answer {
        let (tell, answer) = oneshot::channel();
        self.send(Command::Submit(context, tell));
        answer.await.unwrap_or(Answer::Reject(None))
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&self, update: EndpointUpdate) {
        let (complete, endpoints) = match update {
            EndpointUpdate::Complete(endpoints) => (true, endpoints),
            EndpointUpdate::Changes(endpoints) => (false, endpoints),
        };
        self.send(Command::Input(Input::Endpoints { complete, endpoints }));
    }

    /// Whether an attempt that has its connection may still go: asked once, right before its first byte, by all fronts.
    pub fn may_send(&self, id: MessageId, attempt: u32) -> bool {
        open(&self.core).may_send(clock::now(), id, attempt)
    }

    pub fn attempt_ended(
        &self, id: MessageId, attempt: u32, outcome: Outcome, over: bool, report: Option<LoadReport>,
    ) {
        self.send(Command::Input(Input::AttemptEnded { id, attempt, outcome, over, report }));
    }

    /// A partner told us to wait, whatever becomes of the attempt that it answered.
    pub fn retry_after_received(&self, host: EndpointId, dest: DestinationId, wait: Nanos) {
        self.send(Command::Input(Input::RetryAfter { host, dest, wait }));
    }

    pub fn callback_acknowledged(&self, id: MessageId) {
        self.send(Command::Input(Input::CallbackAcknowledged(id)));
    }

    /// Brings what neighbours saw.
    pub fn peer_observations(&self, sightings: Vec<EndpointObservation>) {
        self.send(Command::Input(Input::PeerObservations(sightings)));
    }

    /// What this forwarder has seen itself of its endpoints.
    pub async fn observations(&self) -> Vec<EndpointObservation> {
        let (tell, known) = oneshot::channel();
        self.send(Command::Observations(tell));
        known.await.unwrap_or_default()
    }

    /// Suspends or resumes the endpoint with this uid for an operator. Returns once that is in force, or has failed.
    pub async fn set_suspension(&self, uid: String, suspension: Suspension) -> SuspensionResult {
        let (reply, done) = oneshot::channel();
        self.send(Command::SetSuspension { uid, suspension, reply });
        done.await.unwrap_or(SuspensionResult::NotPersisted)
    }

    /// What operators are shown, kept from now on.
    pub fn metrics(&self) -> Arc<Metrics> {
        open(&self.core).enable_metrics(clock::now())
    }

    /// Registers an attempt that waits for the asynchronous AS2 receipt (MDN) of this message, which arrives on a client
    /// connection.
    pub fn await_receipt(&self, message_id: &str) -> oneshot::Receiver<Bytes> {
        let (reply, receipt) = oneshot::channel();
        self.send(Command::AwaitReceipt { message_id: message_id.to_string(), reply });
        receipt
    }

    /// Passes an asynchronous AS2 receipt (MDN) on to the attempt that waits for it.
    pub fn receipt_received(&self, message_id: String, receipt: Bytes) {
        self.send(Command::ReceiptReceived { message_id, receipt });
    }

    /// Whether client connections stay open between requests.
    pub fn set_client_connections(&self, connections: ClientConnections) {
        self.send(Command::SetClientConnections(connections));
    }

    /// Whether the journal cannot be handed on now.
    pub fn is_release_blocked(&self) -> bool {
        open(&self.core).is_release_blocked()
    }

    /// Lets the journal go, and writes here what this process knows and what still comes of its calls. Once this returns,
    /// it writes the journal no more, takes nothing on and starts no attempt.
    pub async fn release_journal(&self, late: LateOutcomeWriter) {
        let (tell, done) = oneshot::channel();
        self.send(Command::ReleaseJournal(late, tell));
        let _ = done.await;
    }

    /// Calls whose first byte may have gone out.
    pub fn calls_in_flight(&self) -> usize {
        open(&self.core).calls_in_flight()
    }

    /// Applies what the predecessor of this process recorded of its calls.
    pub fn predecessor_records(&self, records: Vec<Record>) {
        if !records.is_empty() {
            self.send(Command::Input(Input::PredecessorRecords(records)));
        }
    }

    /// The predecessor has exited or has no call in flight: no more records come from it.
    pub fn predecessor_exited(&self) {
        self.send(Command::Input(Input::PredecessorExited));
    }

    /// Lets calls finish; returns when the process may end.
    pub async fn shut_down(&self) {
        let (tell, done) = oneshot::channel();
        self.send(Command::ShutDown(tell));
        let _ = done.await;
    }

    /// True while client connections are to be closed.
    pub fn close_signal(&self) -> watch::Receiver<bool> {
        self.close_signal.clone()
    }

    fn send(&self, command: Command) {
        // The task ends with the process only.
        let _ = self.commands.send(command);
    }
}
