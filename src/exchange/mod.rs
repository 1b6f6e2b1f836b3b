//! The exchange connects the client side with the upstream side. Client handlers submit requests and wait for their answers.
//! The upstream side receives calls and callbacks and reports their outcomes. Neither side depends on the other.
//!
//! - `command`: the commands to and from the exchange task
//! - `task`: the task that drives the core
//! - `core_handle`: the core behind a mutex
//! - `receipts`: matches asynchronous MDNs (AS2 receipts) with the attempts that wait for them
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
use crate::core::{
    Answer, Callback, Core, EndpointObservation, Holdings, Input, ListRevision, SuspensionResult,
};
use crate::journal::Record;
use crate::metrics::Metrics;
use crate::plugins::{Plugins, Verdict};
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

/// An error of a request to the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The exchange task has ended, which happens only when the process exits.
    #[error(
        "the exchange task has ended because this process is exiting; retry with the process that serves now"
    )]
    TaskEnded,
}

/// A handle to the exchange task. Clones share the task.
#[derive(Clone)]
pub struct Exchange {
    commands: UnboundedSender<Command>,
    core: SharedCore,
    plugins: Plugins,
    client_connections: watch::Receiver<ClientConnections>,
}

/// The receivers of the work that the exchange dispatches.
pub struct Outputs {
    /// Commands to start or cancel calls, and to close idle connections.
    pub upstream_commands: UnboundedReceiver<UpstreamCommand>,
    /// Completion callbacks to the platform.
    pub platform_callbacks: UnboundedReceiver<Callback>,
    /// Completions of messages from AS2 partners, each of which requires an asynchronous MDN.
    pub as2_completions: UnboundedReceiver<Callback>,
}

impl Exchange {
    /// Starts the exchange task, which drives `core`.
    pub fn new(core: Core) -> (Exchange, Outputs) {
        let (commands, received) = unbounded_channel();
        let plugins = core.plugins().clone();
        let core = SharedCore::new(core);
        let (task, client_connections, outputs) = ExchangeTask::new(core.clone());
        tokio::spawn(task.run(received));
        (Exchange { commands, core, plugins, client_connections }, outputs)
    }

    /// Submits a request and returns its answer. Dropping the future before the answer arrives withdraws the request. Rejects the
    /// request if the exchange task has ended.
    ///
    /// Plug-in scripts inspect the request first. Only the request waits for them, neither the exchange task nor the core.
    pub async fn submit(&self, mut context: RequestContext) -> Answer {
        if let Some(rejection) = self.inspect(&mut context).await {
            return rejection;
        }
        let result = self.request(|reply| Command::Submit { context, reply }).await;
        result.unwrap_or(Answer::Reject(None))
    }

    /// Lets the plug-in scripts inspect a request and sets their tags. Returns the answer if they reject the request.
    async fn inspect(&self, context: &mut RequestContext) -> Option<Answer> {
        if !self.plugins.inspects_requests() {
            return None;
        }
        let request = self.core.lock().request_to_inspect(clock::now(), context)?;
        match self.plugins.on_request(request).await {
            Verdict::Pass(tags) => {
                context.tags = tags;
                None
            }
            Verdict::Reject => self.core.lock().reject_inspected(context),
        }
    }

    /// Applies an update of the endpoint list, which then has this revision.
    pub fn update_endpoints(&self, revision: ListRevision, update: EndpointUpdate) {
        let (complete, endpoints) = match update {
            EndpointUpdate::Complete(endpoints) => (true, endpoints),
            EndpointUpdate::Changes(endpoints) => (false, endpoints),
        };
        self.send(Command::Input(Input::Endpoints { revision, complete, endpoints }));
    }

    /// Returns whether an attempt may still be sent, now that it has a connection. Every transport calls this once per attempt,
    /// right before the first byte: a connect may take seconds, during which a Retry-After, a drain or a withdrawal may arrive.
    pub fn may_send(&self, id: AttemptId) -> bool {
        self.core.lock().may_send(clock::now(), id.message, id.attempt)
    }

    /// Reports how an attempt ended. Called exactly once for each dispatched attempt.
    pub fn attempt_ended(&self, id: AttemptId, result: AttemptResult) {
        let AttemptId { message: id, attempt } = id;
        let AttemptResult { outcome, is_message_over: over, report } = result;
        self.send(Command::Input(Input::AttemptEnded { id, attempt, outcome, over, report }));
    }

    /// Reports a Retry-After from an endpoint. The pause applies regardless of the outcome of the attempt whose response carried
    /// it.
    pub fn retry_after_received(&self, host: EndpointId, dest: DestinationId, wait: Nanos) {
        self.send(Command::Input(Input::RetryAfter { host, dest, wait }));
    }

    /// Reports that the recipient has acknowledged the completion callback of this message.
    pub fn callback_acknowledged(&self, id: MessageId) {
        self.send(Command::Input(Input::CallbackAcknowledged(id)));
    }

    /// Applies endpoint observations that peers have published.
    pub fn peer_observations(&self, observations: Vec<EndpointObservation>) {
        self.send(Command::Input(Input::PeerObservations(observations)));
    }

    /// Returns this forwarder's local endpoint observations, or none if the exchange task has ended.
    pub async fn observations(&self) -> Vec<EndpointObservation> {
        self.request(|reply| Command::Observations { reply }).await.unwrap_or_default()
    }

    /// Suspends or resumes the endpoint with this uid on behalf of an operator. Returns once the change has taken effect or
    /// failed.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::TaskEnded`] if the exchange task has ended.
    pub async fn set_suspension(
        &self, uid: String, suspension: Suspension,
    ) -> Result<SuspensionResult, ExchangeError> {
        self.request(|reply| Command::SetSuspension { uid, suspension, reply }).await
    }

    /// Returns how much the core holds.
    pub fn holdings(&self) -> Holdings {
        self.core.lock().holdings()
    }

    /// Returns the operator metrics. Counting starts with the first call of this method.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.core.lock().enable_metrics(clock::now())
    }

    /// Registers an attempt that waits for the asynchronous MDN (AS2 receipt) of this message. The MDN arrives on a client
    /// connection and is delivered through the returned receiver.
    pub fn await_mdn(&self, message_id: &str) -> oneshot::Receiver<Bytes> {
        let (reply, mdn) = oneshot::channel();
        self.send(Command::AwaitMdn { message_id: message_id.to_string(), reply });
        mdn
    }

    /// Forwards an asynchronous MDN (AS2 receipt) to the attempt that waits for it.
    pub fn mdn_received(&self, message_id: String, mdn: Bytes) {
        self.send(Command::MdnReceived { message_id, mdn });
    }

    /// Sets the state of client connections. Has no effect once the state is [`ClientConnections::Closing`].
    pub fn set_client_connections(&self, connections: ClientConnections) {
        self.send(Command::SetClientConnections(connections));
    }

    /// Returns whether the journal cannot be released at present.
    pub fn is_release_blocked(&self) -> bool {
        self.core.lock().is_release_blocked()
    }

    /// Releases the journal to a successor. Writes this forwarder's observations of endpoints to `late`, followed by the
    /// outcomes of the calls in flight as they end. After the return this process writes nothing to the journal, accepts no
    /// request and starts no attempt, and the owner lock is free.
    pub async fn release_journal(&self, late: LateOutcomeWriter, owner_lock: FolderLock) {
        // If the task has ended, the journal is no longer in use.
        let _ = self.request(|reply| Command::ReleaseJournal { late, owner_lock, reply }).await;
    }

    /// Sends the answers of the last step before the release of the journal, which were withheld until the successor listens.
    pub fn send_last_answers(&self) {
        self.send(Command::SendLastAnswers);
    }

    /// Returns the number of calls whose first byte may have been sent and that have not ended.
    pub fn calls_in_flight(&self) -> usize {
        self.core.lock().calls_in_flight()
    }

    /// Applies records that the predecessor wrote after it released the journal, such as late outcomes.
    pub fn predecessor_records(&self, records: Vec<Record>) {
        if !records.is_empty() {
            self.send(Command::Input(Input::PredecessorRecords(records)));
        }
    }

    /// Reports that the predecessor has exited or has no call in flight, so it writes no more records.
    pub fn predecessor_exited(&self) {
        self.send(Command::Input(Input::PredecessorExited));
    }

    /// Shuts down gracefully. Returns when the process may exit: all calls have ended, or [`SHUTDOWN_TIMEOUT`] has passed.
    pub async fn shut_down(&self) {
        // If the task has ended, the process may exit as well.
        let _ = self.request(|reply| Command::ShutDown { reply }).await;
    }

    /// Returns a receiver of the state of client connections.
    pub fn client_connections(&self) -> watch::Receiver<ClientConnections> {
        self.client_connections.clone()
    }

    /// Sends a command and waits for its reply.
    async fn request<T>(
        &self, command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, ExchangeError> {
        let (reply, reply_receiver) = oneshot::channel();
        self.send(command(reply));
        reply_receiver.await.map_err(|_| ExchangeError::TaskEnded)
    }

    fn send(&self, command: Command) {
        // The send fails only if the task has ended. The process is exiting then, so the command can be dropped.
        let _ = self.commands.send(command);
    }
}
