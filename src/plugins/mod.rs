//! Plug-ins: rhai scripts that inspect each request and each outcome of an attempt. `docs/plugins.md` documents their
//! interface.
//!
//! Scripts run on a thread of their own and never on the thread of the event loop: a script that hangs, fails or takes long
//! delays a request by at most [`HOOK_TIMEOUT`] and nothing else.
//!
//! - `engine`: the scripts, and the limits of each call
//! - `worker`: the thread and its queue
#![warn(missing_docs)]
mod engine;
#[cfg(test)]
mod tests;
mod worker;

use crate::config_error::ConfigError;
use crate::interface::{Nanos, Outcome};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use worker::Worker;

/// How long a request waits for the scripts. Long enough for a process that is held up for a moment, and short enough for a
/// response within the time that clients wait.
pub const HOOK_TIMEOUT: Duration = Duration::from_millis(200);

/// A request as scripts see it.
#[derive(Clone, Debug)]
pub struct ScriptRequest {
    /// Name of the message.
    pub name: String,
    /// Name of the class; empty if the settings do not contain the class.
    pub class: String,
    /// Name of the tenant; empty if the settings do not contain the tenant.
    pub tenant: String,
    /// Destination of the message.
    pub dest: u64,
    /// Size of the body in bytes.
    pub size: usize,
    /// Time left until the deadline.
    pub time_left: Nanos,
    /// Tags that scripts have set.
    pub tags: Vec<String>,
}

/// Decision of the scripts on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is processed further, with these tags.
    Pass(Vec<String>),
    /// The request is rejected; the client can safely retry it.
    Reject,
}

/// A function that scripts may define.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hook {
    Request,
    Outcome,
}

impl Hook {
    /// Returns the name of the function in scripts.
    fn function(self) -> &'static str {
        match self {
            Hook::Request => "on_request",
            Hook::Outcome => "on_outcome",
        }
    }
}

/// The hooks that a script, or at least one of several, defines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hooks {
    request: bool,
    outcome: bool,
}

/// The hooks of the loaded scripts. Clones share the thread that runs them, which ends with the last clone.
#[derive(Clone)]
pub struct Plugins {
    /// `None` if no script is loaded.
    worker: Option<Arc<Worker>>,
}

impl Plugins {
    /// Returns hooks without scripts.
    pub fn none() -> Plugins {
        Plugins { worker: None }
    }

    /// Loads the scripts in `folder`, which may be missing. A script that cannot be compiled is logged and skipped.
    pub fn load(folder: &Path) -> Plugins {
        let files = script_files(folder).unwrap_or_default();
        Plugins { worker: Worker::start(files).map(Arc::new) }
    }

    /// Returns whether a script inspects requests.
    pub fn inspects_requests(&self) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.hooks().request)
    }

    /// Returns whether a script observes outcomes.
    pub fn observes_outcomes(&self) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.hooks().outcome)
    }

    /// Returns the decision of the scripts on a request. A request on which they have not decided within [`HOOK_TIMEOUT`] passes
    /// without tags, and so does every request while a script hangs or too many requests wait.
    pub async fn on_request(&self, request: ScriptRequest) -> Verdict {
        match &self.worker {
            Some(worker) => worker.on_request(request).await,
            None => Verdict::Pass(Vec::new()),
        }
    }

    /// Shows the scripts the outcome of an attempt and returns at once. The outcome is dropped while a script hangs or too many
    /// calls wait.
    pub fn on_outcome(&self, request: ScriptRequest, outcome: Outcome) {
        if let Some(worker) = &self.worker {
            worker.on_outcome(request, outcome);
        }
    }
}

/// Returns the text that represents an outcome in scripts. Existing scripts compare these texts (`docs/plugins.md`), so a
/// text stays the same when its variant is renamed.
pub fn outcome_text(outcome: Outcome) -> String {
    match outcome {
        Outcome::Ok => "Ok".into(),
        Outcome::Error => "Error".into(),
        Outcome::Rejected(retry_after) => format!("Full({retry_after:?})"),
        Outcome::Timeout => "Timeout".into(),
        Outcome::ConnectFailed => "ConnectFailed".into(),
        Outcome::ConnectionLimit => "Crowded".into(),
        Outcome::Reset => "Reset".into(),
        Outcome::Cancelled => "Cancelled".into(),
        Outcome::UnreadableAnswer => "Spoilt".into(),
        Outcome::Skipped => "Moot".into(),
        Outcome::NotSent => "Unsent".into(),
    }
}

/// Returns the errors in the scripts in `folder`, or none if the folder is missing.
pub fn check(folder: &Path) -> Vec<ConfigError> {
    let files = match script_files(folder) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
            return vec![ConfigError { file: folder.into(), key: String::new(), message: e.to_string() }];
        }
        files => files.unwrap_or_default(),
    };
    let errors = worker::check(files).into_iter();
    errors.map(|(file, error)| ConfigError { file, key: String::new(), message: error.to_string() }).collect()
}

/// Returns the paths of the scripts in `folder`, ordered by name.
fn script_files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let files = std::fs::read_dir(folder)?.flatten().map(|entry| entry.path());
    let mut files: Vec<_> =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "rhai")).collect();
    files.sort();
    Ok(files)
}
