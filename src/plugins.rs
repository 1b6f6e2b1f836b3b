//! Plug-ins: rhai scripts that inspect each request and each outcome of an attempt. `docs/plugins.md` documents their
//! interface.
use crate::config_error::ConfigError;
use crate::interface::Outcome;
use crate::request::{RequestContext, RequestDetails};
use rhai::{CallFnOptions, Dynamic, Engine, Map, Scope, AST};
use std::path::{Path, PathBuf};

/// Maximum number of rhai operations in one call of a script. Within this and the following limits, a call takes well under
/// a millisecond.
const MAX_OPERATIONS: u64 = 10_000;
const MAX_CALL_DEPTH: usize = 16;
const MAX_STRING_BYTES: usize = 4096;
const MAX_COLLECTION_ITEMS: usize = 128;
/// Maximum number of tags that all scripts together can add to a request.
const MAX_TAGS: usize = 8;

struct Script {
    name: String,
    ast: AST,
}

/// The loaded scripts, ordered by name, and the engine that runs them.
pub struct Plugins {
    engine: Engine,
    scripts: Vec<Script>,
}

/// Decision of the scripts on a request.
pub enum Verdict {
    /// The request is processed further, with these tags.
    Pass(Vec<String>),
    /// The request is rejected; the client can safely retry it.
    Reject,
}

impl Plugins {
    /// Creates an engine without scripts.
    pub fn none() -> Plugins {
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
            .on_debug(|text, _, _| log::debug!("script: {text:.200}"));
        Plugins { engine, scripts: Vec::new() }
    }

    /// Loads the scripts in `folder`, which may be missing. A script that cannot be compiled is logged and skipped.
    pub fn load(folder: &Path) -> Plugins {
        let mut plugins = Plugins::none();
        script_files(folder).unwrap_or_default().iter().for_each(|file| plugins.add(file));
        plugins
    }

    fn add(&mut self, file: &Path) {
        let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
        match self.engine.compile_file(file.into()) {
            Ok(ast) => {
                log::info!("script {name} loaded");
                self.scripts.push(Script { name, ast });
            }
            Err(e) => log::error!("script {name} skipped: {e}"),
        }
    }

    /// Calls `on_request` in each script, in order, until one rejects the request. Otherwise collects the scripts' tags.
    pub fn on_request(&self, context: &RequestContext, details: RequestDetails) -> Verdict {
        let mut tags = Vec::new();
        for result in self.call("on_request", |_| vec![Dynamic::from(script_request(context, details))]) {
            if result.clone().try_cast::<String>().is_some_and(|text| text == "reject") {
                return Verdict::Reject;
            }
            let tag = result.try_cast::<Map>().and_then(|map| map.get("tag").cloned());
            tags.extend(tag.map(|tag| tag.to_string()).filter(|_| tags.len() < MAX_TAGS));
        }
        Verdict::Pass(tags)
    }

    /// Calls `on_outcome` in each script with the outcome of an attempt. The scripts' return values are ignored.
    pub fn on_outcome(&self, context: &RequestContext, details: RequestDetails, outcome: &str) {
        let arguments =
            |_: &Script| vec![script_request(context, details).into(), outcome.to_string().into()];
        self.call("on_outcome", arguments).for_each(drop);
    }

    /// Calls `function` lazily in each script that defines it and returns the results. A script that fails or exceeds a
    /// limit is logged and yields no result, so that it cannot disturb delivery.
    fn call<'a>(
        &'a self, function: &'a str, arguments: impl Fn(&Script) -> Vec<Dynamic> + 'a,
    ) -> impl Iterator<Item = Dynamic> + 'a {
        let defines_function =
            move |script: &&Script| script.ast.iter_functions().any(|defined| defined.name == function);
        self.scripts.iter().filter(defines_function).filter_map(move |script| {
            let options = CallFnOptions::new().eval_ast(false);
            let (mut scope, arguments) = (Scope::new(), arguments(script));
            let result =
                self.engine.call_fn_with_options(options, &mut scope, &script.ast, function, arguments);
            result.inspect_err(|e| log::warn!("script {}: {function} failed: {e}", script.name)).ok()
        })
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
    let engine = Plugins::none().engine;
    let compile_error = |file: PathBuf| {
        let message = engine.compile_file(file.clone()).err()?.to_string();
        Some(ConfigError { file, key: String::new(), message })
    };
    files.into_iter().filter_map(compile_error).collect()
}

/// Returns the paths of the scripts in `folder`, ordered by name.
fn script_files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let files = std::fs::read_dir(folder)?.flatten().map(|entry| entry.path());
    let mut files: Vec<_> =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "rhai")).collect();
    files.sort();
    Ok(files)
}

/// Returns the request as the map that scripts receive.
fn script_request(context: &RequestContext, details: RequestDetails) -> Map {
    let tags: Vec<Dynamic> = context.tags.iter().map(|tag| tag.clone().into()).collect();
    [
        ("name", context.name.clone().into()),
        ("class", details.class.to_string().into()),
        ("tenant", details.tenant.to_string().into()),
        ("dest", Dynamic::from(context.dest as i64)),
        ("size", Dynamic::from(context.body.len() as i64)),
        ("left_ms", Dynamic::from((details.time_left.0 / 1_000_000) as i64)),
        ("tags", tags.into()),
    ]
    .into_iter()
    .map(|(key, value)| (key.into(), value))
    .collect()
}
