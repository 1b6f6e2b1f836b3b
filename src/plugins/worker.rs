//! The thread that runs the scripts. Requests wait for it for a bounded time, outcomes are handed to it without waiting.
use super::engine::{self, RunningCallCell, ScriptError, Scripts};
use super::{outcome_text, Hooks, ScriptRequest, Verdict, HOOK_TIMEOUT};
use crate::interface::Outcome;
use std::path::PathBuf;
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Number of calls that may wait for the thread. Beyond it, requests pass and outcomes are dropped.
const MAX_QUEUED_CALLS: usize = 256;
/// Stack of the thread in bytes. Compiling and running a long expression takes a stack frame for each operand, up to the limit
/// of operations; only the part in use takes memory.
const STACK_BYTES: usize = 64 * 1024 * 1024;

/// A call of a hook that waits for the thread.
enum QueuedCall {
    Request { request: ScriptRequest, reply: oneshot::Sender<Verdict> },
    Outcome { request: ScriptRequest, outcome: Outcome },
}

/// The reason why the scripts have not decided on a request, or have not seen an outcome.
#[derive(Debug, thiserror::Error)]
enum SkipReason {
    #[error("script {script}: {hook} has been running for more than {HOOK_TIMEOUT:?}")]
    Hangs { script: String, hook: &'static str },
    #[error("{MAX_QUEUED_CALLS} calls of scripts are waiting")]
    QueueFull,
    #[error("no decision within {HOOK_TIMEOUT:?}")]
    TimedOut,
    #[error("the thread of the scripts has ended")]
    ThreadEnded,
}

/// A handle to the thread. The thread ends when the handle is dropped, after the calls that wait.
pub(super) struct Worker {
    calls: SyncSender<QueuedCall>,
    running: RunningCallCell,
    hooks: Hooks,
}

impl Worker {
    /// Starts the thread and loads these script files on it. Returns `None` if no script defines a hook.
    pub(super) fn start(files: Vec<PathBuf>) -> Option<Worker> {
        if files.is_empty() {
            return None;
        }
        Worker::start_with(move |running| Scripts::load(&files, running))
    }

    /// Starts the thread, which calls `load` first.
    pub(super) fn start_with(
        load: impl FnOnce(RunningCallCell) -> Scripts + Send + 'static,
    ) -> Option<Worker> {
        let (calls, queue) = sync_channel(MAX_QUEUED_CALLS);
        let (loaded, hooks) = channel();
        let running = RunningCallCell::default();
        let cell = running.clone();
        let thread = spawn(move || {
            let scripts = load(cell);
            // The receiver waits for this, and is gone only if its thread has panicked.
            let _ = loaded.send(scripts.hooks());
            run(scripts, &queue);
        });
        if let Err(error) = thread {
            log::error!("scripts are not loaded: cannot start a thread: {error}");
            return None;
        }
        let hooks = hooks.recv().ok().filter(|hooks| hooks.request || hooks.outcome)?;
        Some(Worker { calls, running, hooks })
    }

    pub(super) fn hooks(&self) -> Hooks {
        self.hooks
    }

    pub(super) async fn on_request(&self, request: ScriptRequest) -> Verdict {
        let (message, dest) = (request.name.clone(), request.dest);
        let (reply, verdict) = oneshot::channel();
        let decision = match self.enqueue(QueuedCall::Request { request, reply }) {
            Ok(()) => match timeout(HOOK_TIMEOUT, verdict).await {
                Ok(Ok(verdict)) => Ok(verdict),
                Ok(Err(_)) => Err(SkipReason::ThreadEnded),
                Err(_) => Err(self.hanging_script().unwrap_or(SkipReason::TimedOut)),
            },
            Err(reason) => Err(reason),
        };
        decision.unwrap_or_else(|reason| {
            log::warn!(message, dest, reason:%; "request not inspected by plug-in scripts, it passes");
            Verdict::Pass(Vec::new())
        })
    }

    pub(super) fn on_outcome(&self, request: ScriptRequest, outcome: Outcome) {
        let (message, dest) = (request.name.clone(), request.dest);
        if let Err(reason) = self.enqueue(QueuedCall::Outcome { request, outcome }) {
            log::warn!(message, dest, reason:%; "outcome not shown to plug-in scripts");
        }
    }

    fn enqueue(&self, call: QueuedCall) -> Result<(), SkipReason> {
        if let Some(reason) = self.hanging_script() {
            return Err(reason);
        }
        self.calls.try_send(call).map_err(|error| match error {
            TrySendError::Full(_) => SkipReason::QueueFull,
            TrySendError::Disconnected(_) => SkipReason::ThreadEnded,
        })
    }

    fn hanging_script(&self) -> Option<SkipReason> {
        let (script, hook) = self.running.running_longer_than(HOOK_TIMEOUT)?;
        Some(SkipReason::Hangs { script, hook: hook.function() })
    }
}

/// Runs the calls until the handle is dropped.
fn run(mut scripts: Scripts, queue: &Receiver<QueuedCall>) {
    for call in queue {
        match call {
            // The client has gone, or its request has passed without a decision.
            QueuedCall::Request { reply, .. } if reply.is_closed() => {}
            QueuedCall::Request { request, reply } => {
                // The send fails if the request has passed in the meantime.
                let _ = reply.send(scripts.on_request(&request));
            }
            QueuedCall::Outcome { request, outcome } => {
                scripts.on_outcome(&request, &outcome_text(outcome));
            }
        }
    }
}

fn spawn<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> std::io::Result<JoinHandle<T>> {
    thread::Builder::new().name("plug-ins".to_string()).stack_size(STACK_BYTES).spawn(run)
}

/// Returns the errors in the scripts of these files, which are compiled on a thread as they are at a start.
pub(super) fn check(files: Vec<PathBuf>) -> Vec<(PathBuf, ScriptError)> {
    let scripts = files.clone();
    let errors = spawn(move || engine::check(scripts)).ok().and_then(|thread| thread.join().ok());
    errors.unwrap_or_else(|| engine::check(files))
}
