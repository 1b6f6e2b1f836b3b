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
pub use shutdown::GONE_BY;

use crate::clock;
use crate::core::{Answer, Callback, Core, Endpoint, EndpointObservation, Input, SuspensionResult};
use crate::journal::Record;
use crate::metrics::Metrics;
use crate::request::RequestContext;
use crate::takeover::Late;
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
    closing: watch::Receiver<bool>,
}

/// The core, which the task drives. Beside it only `may_go` looks in, between two moments; nobody holds it over a wait.
type Shared = Arc<Mutex<Core>>;

fn open(core: &Shared) -> MutexGuard<'_, Core> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The ends of the exchange from which work is taken.
pub struct Outputs {
    /// Calls to make, and what else is to be done with connections to endpoints.
    pub calls: UnboundedReceiver<UpstreamCommand>,
    /// Notices to the platform.
    pub notices: UnboundedReceiver<Callback>,
    /// Notices to the clients of other fronts.
    pub words: UnboundedReceiver<Callback>,
}

impl Exchange {
    /// Starts the exchange round this core.
    pub fn new(core: Core) -> (Exchange, Outputs) {
        let (commands, received) = unbounded_channel();
        let core = Arc::new(Mutex::new(core));
        let (task, closing, outputs) = ExchangeTask::new(core.clone());
        tokio::spawn(task.run(received));
        (Exchange { commands, core, closing }, outputs)
    }

    /// Submits a request. A caller that drops this before its answer withdraws the request.
    pub async fn submit(&self, context: RequestContext) -> Answer {
        let (tell, answer) = oneshot::channel();
        self.send(Command::Submit(context, tell));
        answer.await.unwrap_or(Answer::Reject(None))
    }

    pub fn update_endpoints(&self, complete: bool, members: Vec<Endpoint>) {
        self.send(Command::Input(Input::Endpoints { complete, members }));
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

    /// An operator takes an endpoint out, or calls it back; answered once that holds.
    pub async fn set_suspended(&self, uid: String, out: bool) -> SuspensionResult {
        let (tell, done) = oneshot::channel();
        self.send(Command::Suspend { uid, out, tell });
        done.await.unwrap_or(SuspensionResult::NotPersisted)
    }

    /// What operators are shown, kept from now on.
    pub fn metrics(&self) -> Arc<Metrics> {
        open(&self.core).metrics(clock::now())
    }

    /// Waits for a word that comes by way of a client connection: a receipt for what an attempt sent.
    pub fn expect(&self, topic: &str) -> oneshot::Receiver<Bytes> {
        let (tell, word) = oneshot::channel();
        self.send(Command::ExpectWord(topic.to_string(), tell));
        word
    }

    /// Brings such a word.
    pub fn word(&self, topic: String, word: Bytes) {
        self.send(Command::Word(topic, word));
    }

    /// Closes client connections between requests, or leaves those alone that come from now on.
    pub fn keep_connections(&self, open: bool) {
        self.send(Command::KeepConnections(open));
    }

    /// Whether the journal cannot be handed on now.
    pub fn is_release_blocked(&self) -> bool {
        open(&self.core).is_release_blocked()
    }

    /// Lets the journal go, and writes here what this process knows and what still comes of its calls. Once this returns,
    /// it writes the journal no more, takes nothing on and starts no attempt.
    pub async fn release_journal(&self, late: Late) {
        let (tell, done) = oneshot::channel();
        self.send(Command::ReleaseJournal(late, tell));
        let _ = done.await;
    }

    /// Calls whose first byte may have gone out.
    pub fn calls_in_flight(&self) -> usize {
        open(&self.core).calls_in_flight()
    }

    /// What the process before this one says of its calls, and whether nothing more comes from it.
    pub fn predecessor_records(&self, records: Vec<Record>, gone: bool) {
        if !records.is_empty() {
            self.send(Command::Input(Input::PredecessorRecords(records)));
        }
        if gone {
            self.send(Command::Input(Input::PredecessorExited));
        }
    }

    /// Lets calls finish; returns when the process may end.
    pub async fn shut_down(&self) {
        let (tell, done) = oneshot::channel();
        self.send(Command::ShutDown(tell));
        let _ = done.await;
    }

    /// Turns true when client connections are to be closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.clone()
    }

    fn send(&self, command: Command) {
        // The task ends with the process only.
        let _ = self.commands.send(command);
    }
}
