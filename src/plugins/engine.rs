//! Runs the scripts. Each call is limited in operations, sizes and CPU time, and a panic ends only its call.
use super::{Hook, Hooks, ScriptRequest, Verdict};
use nix::time::{clock_gettime, ClockId};
use rhai::{CallFnOptions, Dynamic, Engine, EvalAltResult, Map, Scope, AST};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of rhai operations in one call of a script.
const MAX_OPERATIONS: u64 = 10_000;
const MAX_CALL_DEPTH: usize = 16;
const MAX_STRING_BYTES: usize = 4096;
const MAX_COLLECTION_ITEMS: usize = 128;
/// Maximum number of tags that all scripts together can add to a request.
const MAX_TAGS: usize = 8;
/// The largest script file in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// CPU time that one call of a script may take. An operation may be a function of rhai that takes long, so the number of
/// operations alone does not limit the time.
const MAX_CPU_TIME: Duration = Duration::from_millis(10);
/// Number of operations between two checks of the CPU time.
const OPERATIONS_PER_CHECK: u64 = 64;
/// How long a script is suspended after its first call over [`MAX_CPU_TIME`]. Doubles with each further such call in a row.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);
const MAX_SUSPENSION: Duration = Duration::from_secs(60);

/// Functions and keywords of rhai that scripts cannot use: they block the thread or take CPU time and stack that no limit
/// applies to.
const DISABLED_SYMBOLS: [&str; 2] = ["eval", "curry"];

/// The CPU time of the worker thread at which the current call ends, in nanoseconds.
#[derive(Clone, Default)]
struct CpuTimeLimit(Arc<AtomicU64>);

impl CpuTimeLimit {
    fn start(&self) {
        self.0.store((thread_cpu_time() + MAX_CPU_TIME).as_nanos() as u64, Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        thread_cpu_time().as_nanos() as u64 > self.0.load(Relaxed)
    }
}

/// Returns the CPU time of this thread. Unlike real time, it does not run on while the process waits for the CPU.
fn thread_cpu_time() -> Duration {
    // Linux has this clock on every architecture. Without it, the limit of operations still applies.
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

impl Hooks {
    fn defined_in(ast: &AST) -> Hooks {
        let defines = |hook: Hook| ast.iter_functions().any(|function| function.name == hook.function());
        Hooks { request: defines(Hook::Request), outcome: defines(Hook::Outcome) }
    }

    fn contain(self, hook: Hook) -> bool {
        match hook {
            Hook::Request => self.request,
            Hook::Outcome => self.outcome,
        }
    }
}

/// A loaded script.
struct Script {
    name: String,
    ast: AST,
    /// The hooks that the script defines.
    hooks: Hooks,
    /// The time until which the script is not called.
    suspended_until: Option<Instant>,
    /// How long the next suspension lasts.
    next_suspension: Duration,
}

impl Script {
    fn is_suspended(&self) -> bool {
        self.suspended_until.is_some_and(|until| Instant::now() < until)
    }

    fn suspend(&mut self, hook: Hook) {
        let (script, suspended_s) = (&self.name, self.next_suspension.as_secs());
        log::error!(script, hook = hook.function(), suspended_s; "script suspended: a call took more than {MAX_CPU_TIME:?} of CPU time");
        self.suspended_until = Some(Instant::now() + self.next_suspension);
        self.next_suspension = (self.next_suspension * 2).min(MAX_SUSPENSION);
    }
}

/// The call of a script that is being executed.
pub(super) struct RunningCall {
    pub(super) script: String,
    pub(super) hook: Hook,
    pub(super) since: Instant,
}

/// The call that the worker thread executes at present, for the threads that wait for it.
#[derive(Clone, Default)]
pub(super) struct RunningCallCell(Arc<Mutex<Option<RunningCall>>>);

impl RunningCallCell {
    fn set(&self, call: Option<RunningCall>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = call;
    }

    /// Returns the script and the hook of the call that has been running for longer than `limit`.
    pub(super) fn running_longer_than(&self, limit: Duration) -> Option<(String, Hook)> {
        let running = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let call = running.as_ref().filter(|call| call.since.elapsed() > limit)?;
        Some((call.script.clone(), call.hook))
    }
}

/// The loaded scripts, ordered by name, and the engine that runs them.
pub(super) struct Scripts {
    pub(super) engine: Engine,
    scripts: Vec<Script>,
    cpu_time: CpuTimeLimit,
    running: RunningCallCell,
}

impl Scripts {
    /// Loads these script files. A script that cannot be compiled is logged and skipped.
    pub(super) fn load(files: &[PathBuf], running: RunningCallCell) -> Scripts {
        let cpu_time = CpuTimeLimit::default();
        let mut scripts =
            Scripts { engine: new_engine(cpu_time.clone()), scripts: Vec::new(), cpu_time, running };
        files.iter().for_each(|file| scripts.add(file));
        scripts
    }

    fn add(&mut self, file: &Path) {
        let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
        match compile(&self.engine, file) {
            Ok(ast) => {
                log::info!("script {name} loaded");
                let (hooks, next_suspension) = (Hooks::defined_in(&ast), MIN_SUSPENSION);
                self.scripts.push(Script { name, ast, hooks, suspended_until: None, next_suspension });
            }
            Err(e) => log::error!("script {name} skipped: {e}"),
        }
    }

    /// Returns the hooks that at least one script defines.
    pub(super) fn hooks(&self) -> Hooks {
        let any = |hook| self.scripts.iter().any(|script| script.hooks.contain(hook));
        Hooks { request: any(Hook::Request), outcome: any(Hook::Outcome) }
    }

    /// Calls `on_request` in each script, in order, until one rejects the request. Otherwise collects the scripts' tags.
    pub(super) fn on_request(&mut self, request: &ScriptRequest) -> Verdict {
        let mut tags = Vec::new();
        for index in 0..self.scripts.len() {
            let arguments = || vec![to_map(request).into()];
            let Some(result) = self.call(index, Hook::Request, arguments) else { continue };
            if result.clone().try_cast::<String>().is_some_and(|text| text == "reject") {
                return Verdict::Reject;
            }
            let tag = result.try_cast::<Map>().and_then(|map| map.get("tag").cloned());
            tags.extend(tag.map(|tag| tag.to_string()).filter(|_| tags.len() < MAX_TAGS));
        }
        Verdict::Pass(tags)
    }

    /// Calls `on_outcome` in each script with the outcome of an attempt. The scripts' return values are ignored.
    pub(super) fn on_outcome(&mut self, request: &ScriptRequest, outcome: &str) {
        for index in 0..self.scripts.len() {
            let arguments = || vec![to_map(request).into(), outcome.to_string().into()];
            self.call(index, Hook::Outcome, arguments);
        }
    }

    /// Calls a hook of a script and returns its result. A script that fails, panics or exceeds a limit is logged and yields no
    /// result, so that it cannot disturb delivery.
    fn call(
        &mut self, index: usize, hook: Hook, arguments: impl FnOnce() -> Vec<Dynamic>,
    ) -> Option<Dynamic> {
        let script = self.scripts.get_mut(index)?;
        if !script.hooks.contain(hook) || script.is_suspended() {
            return None;
        }
        let arguments = arguments();
        let call = RunningCall { script: script.name.clone(), hook, since: Instant::now() };
        self.running.set(Some(call));
        self.cpu_time.start();
        let options = CallFnOptions::new().eval_ast(false);
        let engine = &self.engine;
        // The engine keeps no state between two calls that a panic could leave inconsistent.
        let result = catch_unwind(AssertUnwindSafe(|| {
            let scope = &mut Scope::new();
            engine.call_fn_with_options::<Dynamic>(options, scope, &script.ast, hook.function(), arguments)
        }));
        self.running.set(None);
        if self.cpu_time.is_exceeded() {
            script.suspend(hook);
        } else {
            script.next_suspension = MIN_SUSPENSION;
        }
        match result {
            Ok(Ok(result)) => Some(result),
            Ok(Err(error)) => {
                log::warn!("script {}: {} failed: {error}", script.name, hook.function());
                None
            }
            Err(_) => {
                log::error!("script {}: {} panicked", script.name, hook.function());
                None
            }
        }
    }
}

/// Returns the errors in the scripts of these files.
pub(super) fn check(files: Vec<PathBuf>) -> Vec<(PathBuf, ScriptError)> {
    let engine = new_engine(CpuTimeLimit::default());
    let error = |file: PathBuf| compile(&engine, &file).err().map(|error| (file, error));
    files.into_iter().filter_map(error).collect()
}

/// The reason why a script cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub(super) enum ScriptError {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Read(#[from] std::io::Error),
    /// The path names a folder, a pipe or a device.
    #[error("not a regular file")]
    NotAFile,
    /// The file is too large.
    #[error("longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The script does not compile.
    #[error(transparent)]
    Compile(Box<EvalAltResult>),
    /// The compiler panicked.
    #[error("cannot be compiled: rhai panicked")]
    Panicked,
}

/// Compiles a script file. A pipe or a device could be read without end, so only a regular file is opened.
fn compile(engine: &Engine, file: &Path) -> Result<AST, ScriptError> {
    let metadata = std::fs::metadata(file)?;
    if !metadata.is_file() {
        return Err(ScriptError::NotAFile);
    }
    if metadata.len() > MAX_FILE_BYTES {
        return Err(ScriptError::TooLong);
    }
    let compiled = catch_unwind(AssertUnwindSafe(|| engine.compile_file(file.into())));
    compiled.map_err(|_| ScriptError::Panicked)?.map_err(ScriptError::Compile)
}

/// Creates an engine with the limits for scripts.
fn new_engine(cpu_time: CpuTimeLimit) -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(MAX_OPERATIONS)
        .set_max_call_levels(MAX_CALL_DEPTH)
        .set_max_expr_depths(32, 16)
        .set_max_variables(64)
        .set_max_string_size(MAX_STRING_BYTES)
        .set_max_array_size(MAX_COLLECTION_ITEMS)
        .set_max_map_size(MAX_COLLECTION_ITEMS)
        .on_print(|text| log::info!("script: {text:.200}"))
        .on_debug(|text, _, _| log::debug!("script: {text:.200}"))
        .on_progress(move |operations| {
            let is_checked = operations % OPERATIONS_PER_CHECK == 0;
            (is_checked && cpu_time.is_exceeded()).then_some(Dynamic::UNIT)
        });
    for symbol in DISABLED_SYMBOLS {
        engine.disable_symbol(symbol);
    }
    // rhai's own functions of this name block the thread for as long as the script says.
    engine.register_fn("sleep", |_: i64| sleep_unavailable());
    engine.register_fn("sleep", |_: f64| sleep_unavailable());
    engine
}

fn sleep_unavailable() -> Result<(), Box<EvalAltResult>> {
    Err("sleep is not available in plug-ins".into())
}

/// Returns the request as the map that scripts receive.
fn to_map(request: &ScriptRequest) -> Map {
    let tags: Vec<Dynamic> = request.tags.iter().map(|tag| tag.clone().into()).collect();
    [
        ("name", request.name.clone().into()),
        ("class", request.class.clone().into()),
        ("tenant", request.tenant.clone().into()),
        ("dest", Dynamic::from(request.dest as i64)),
        ("size", Dynamic::from(request.size as i64)),
        ("left_ms", Dynamic::from((request.time_left.0 / 1_000_000) as i64)),
        ("tags", tags.into()),
    ]
    .into_iter()
    .map(|(key, value)| (key.into(), value))
    .collect()
}
