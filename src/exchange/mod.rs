//! The exchange: the one object in which client side and server side meet. Clients submit requests and wait for answers;
//! the server side takes calls and callbacks from it and returns their outcomes. Neither side knows the other.
//!
//! - `command`: the messages between the two sides and the exchange task
//! - `task`: the task that drives the core
//! - `core_handle`: the core behind its lock
//! - `receipts`: asynchronous AS2 receipts, matched with the attempts that wait for them
//! - `shutdown`: the phases of a graceful shutdown
#![warn(missing_docs)]
mod command;
mod core_handle;
mod receipts;
mod shutdown;
mod task;
#[cfg(test)]
mod tests;

pub use command::{AttemptId, AttemptResult, ClientConnections, EndpointUpdate, Suspension, UpstreamCommand};
pub use shutdown::SHUTDOWN_TIMEOUT;

use crate::clock;
use crate::core::{Answer, Callback, Core, EndpointObservation, Input, SuspensionResult};
use crate::journal::Record;
use crate::metrics::Metrics;
use crate::request::RequestContext;
use crate::takeover::{FolderLock, LateOutcomeWriter};
use crate::{DestinationId, EndpointId, MessageId, Nanos};
use bytes::Bytes;
use command::Command;
use core_handle::SharedCore;
use std::sync::Arc;
use task::ExchangeTask;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

/// Why the exchange gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The exchange task has ended, as it does with the process only.
    #[error("exchange: its task has ended; the process is exiting, ask the one that serves now")]
    TaskEnded,
}

/// The handle by which both sides reach the exchange task.
#[derive(Clone)]
pub struct Exchange {
    commands: UnboundedSender<Command>,
    core: SharedCore,
    client_connections: watch::Receiver<ClientConnections>,
}

/// The receiving ends of the work that the exchange hands out.
pub struct Outputs {
    /// Calls to start or cancel, and idle connections to close.
    pub upstream_commands: UnboundedReceiver<UpstreamCommand>,
    /// Completion callbacks to the platform.
    pub platform_callbacks: UnboundedReceiver<Callback>,
    /// Completions for which an AS2 partner is owed an asynchronous receipt (MDN).
    pub as2_receipts: UnboundedReceiver<Callback>,
}

impl Exchange {
    /// Starts the exchange task for this core.
    pub fn new(core: Core) -> (Exchange, Outputs) {
        let (commands, received) = unbounded_channel();
        let core = SharedCore::new(core);
        let (task, client_connections, outputs) = ExchangeTask::new(core.clone());
        tokio::spawn(task.run(received));
        (Exchange { commands, core, client_connections }, outputs)
    }

    /// Submits a request. A caller that drops this future before the answer withdraws the request. Once the exchange task has
    /// ended the request is rejected.
    pub async fn submit(&self, context: RequestContext) -> Answer {
        let answer = self.request(|reply| Command::Submit { context, reply }).await;
        answer.unwrap_or(Answer::Reject(None))
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&self, update: EndpointUpdate) {
        let (complete, endpoints) = match update {
            EndpointUpdate::Complete(endpoints) => (true, endpoints),
            EndpointUpdate::Changes(endpoints) => (false, endpoints),
        };
        self.send(Command::Input(Input::Endpoints { complete, endpoints }));
    }

    /// Whether an attempt that has its connection may still be sent. Every transport asks once, right before the first byte:
    /// a connect may take seconds, and a retry-after, a drain or a withdrawal may have come meanwhile.
    pub fn may_send(&self, id: AttemptId) -> bool {
        self.core.lock().may_send(clock::now(), id.message, id.attempt)
    }

    /// Reports how an attempt ended, exactly once for each attempt that was handed out.
    pub fn attempt_ended(&self, id: AttemptId, result: AttemptResult) {
        let AttemptId { message: id, attempt } = id;
        let AttemptResult { outcome, is_message_over: over, report } = result;
        self.send(Command::Input(Input::AttemptEnded { id, attempt, outcome, over, report }));
    }

    /// An endpoint asked for a pause (Retry-After), which counts whatever becomes of the attempt that it answered.
    pub fn retry_after_received(&self, host: EndpointId, dest: DestinationId, wait: Nanos) {
        self.send(Command::Input(Input::RetryAfter { host, dest, wait }));
    }

    /// The recipient has acknowledged the callback for this message.
    pub fn callback_acknowledged(&self, id: MessageId) {
        self.send(Command::Input(Input::CallbackAcknowledged(id)));
    }

    /// Applies what peers observed of endpoints.
    pub fn peer_observations(&self, observations: Vec<EndpointObservation>) {
        self.send(Command::Input(Input::PeerObservations(observations)));
    }

    /// What this forwarder has observed itself of its endpoints; nothing once the exchange task has ended.
    pub async fn observations(&self) -> Vec<EndpointObservation> {
        self.request(|reply| Command::Observations { reply }).await.unwrap_or_default()
    }

    /// Suspends or resumes the endpoint with this uid for an operator. Returns once that is in force, or has failed.
    ///
    /// # Errors
    ///
    /// The exchange task has ended.
    pub async fn set_suspension(
        &self, uid: String, suspension: Suspension,
    ) -> Result<SuspensionResult, ExchangeError> {
        self.request(|reply| Command::SetSuspension { uid, suspension, reply }).await
    }

    /// The metrics for operators. They are counted from the first call on.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.core.lock().enable_metrics(clock::now())
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

    /// Sets how far client connections are closed. Once they are closed to the end this changes nothing.
    pub fn set_client_connections(&self, connections: ClientConnections) {
        self.send(Command::SetClientConnections(connections));
    }

    /// Whether the journal cannot be released now.
    pub fn is_release_blocked(&self) -> bool {
        self.core.lock().is_release_blocked()
    }

    /// Releases the journal to a successor, and writes to `late` what this process knows and what becomes of its calls in
    /// flight. Once this returns, it does not write the journal, accepts no request and starts no attempt, and the owner's
    /// lock is free.
    pub async fn release_journal(&self, late: LateOutcomeWriter, owner_lock: FolderLock) {
        // Where the task has ended there is nothing left to release.
        let _ = self.request(|reply| Command::ReleaseJournal { late, owner_lock, reply }).await;
    }

    /// Sends the answers of the last step before the release, which are held back until now.
    pub fn send_last_answers(&self) {
        self.send(Command::SendLastAnswers);
    }

    /// Calls whose first byte may have been sent and that have not ended.
    pub fn calls_in_flight(&self) -> usize {
        self.core.lock().calls_in_flight()
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

    /// Shuts down gracefully. Returns when the process may exit: calls have ended, or [`SHUTDOWN_TIMEOUT`] has passed.
    pub async fn shut_down(&self) {
        // Where the task has ended the process may exit as well.
        let _ = self.request(|reply| Command::ShutDown { reply }).await;
    }

    /// How far client connections are closed.
    pub fn client_connections(&self) -> watch::Receiver<ClientConnections> {
        self.client_connections.clone()
    }

    /// Sends a command and waits for its reply.
    async fn request<T>(
        &self, command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, ExchangeError> {
        let (reply, answer) = oneshot::channel();
        self.send(command(reply));
        answer.await.map_err(|_| ExchangeError::TaskEnded)
    }

    fn send(&self, command: Command) {
        // The task ends with the process only, and then nobody waits for the effect of a command.
        let _ = self.commands.send(command);
    }
}
