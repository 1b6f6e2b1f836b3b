//! Plug-ins: scripts (rhai) that see each request context and each outcome. `docs/plugins.md` tells how.
use crate::config_error::ConfigError;
use crate::interface::Outcome;
use crate::request::{RequestContext, RequestDetails};
use rhai::{CallFnOptions, Dynamic, Engine, Map, Scope, AST};
use std::path::{Path, PathBuf};

/// What one call of a script may use. A call takes well under a millisecond at the most.
const STEPS_MOST: u64 = 10_000;
const DEPTH_MOST: usize = 16;
const TEXT_MOST: usize = 4096;
const ITEMS_MOST: usize = 128;
const TAGS_MOST: usize = 8;

struct Script {
    name: String,
    ast: AST,
}

/// The scripts, in the order of their names.
pub struct Plugins {
    engine: Engine,
    scripts: Vec<Script>,
}

/// What the scripts make of a request.
pub enum Verdict {
    Pass(Vec<String>),
    Reject,
}

impl Plugins {
    /// No scripts.
    pub fn none() -> Plugins {
        let mut engine = Engine::new();
        engine
            .set_max_operations(STEPS_MOST)
            .set_max_call_levels(DEPTH_MOST)
            .set_max_expr_depths(32, 16)
            .set_max_variables(64)
            .set_max_string_size(TEXT_MOST)
            .set_max_array_size(ITEMS_MOST)
            .set_max_map_size(ITEMS_MOST)
            .on_print(|text| log::info!("script: {text:.200}"))
            .on_debug(|text, _, _| log::debug!("script: {text:.200}"));
        Plugins { engine, scripts: Vec::new() }
    }

    /// Reads the scripts of the folder, if there is one. One that cannot be read is passed over.
    pub fn load(folder: &Path) -> Plugins {
        let mut plugins = Plugins::none();
        files(folder).unwrap_or_default().iter().for_each(|f| plugins.add(f));
        plugins
    }

    fn add(&mut self, file: &Path) {
        let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
        match self.engine.compile_file(file.into()) {
            Ok(ast) => {
                log::info!("script {name} is in use");
                self.scripts.push(Script { name, ast });
            }
            Err(e) => log::error!("script {name} passed over: {e}"),
        }
    }

    /// Shows the scripts a request; the first that rejects it decides.
    pub fn on_request(&self, context: &RequestContext, details: RequestDetails) -> Verdict {
        let mut tags = Vec::new();
        for said in self.call("on_request", |_| vec![Dynamic::from(facts(context, details))]) {
            if said.clone().try_cast::<String>().is_some_and(|s| s == "reject") {
                return Verdict::Reject;
            }
            let tag = said.try_cast::<Map>().and_then(|m| m.get("tag").cloned());
            tags.extend(tag.map(|t| t.to_string()).filter(|_| tags.len() < TAGS_MOST));
        }
        Verdict::Pass(tags)
    }

    /// Shows the scripts how an attempt ended. What they say to that changes nothing.
    pub fn on_outcome(&self, context: &RequestContext, details: RequestDetails, outcome: &str) {
        let facts = |_: &Script| vec![facts(context, details).into(), outcome.to_string().into()];
        self.call("on_outcome", facts).for_each(drop);
    }

    /// Guards the rules against scripts: one that fails, or uses too much, is logged and passed over.
    fn call<'a>(
        &'a self, function: &'a str, facts: impl Fn(&Script) -> Vec<Dynamic> + 'a,
    ) -> impl Iterator<Item = Dynamic> + 'a {
        let has = move |s: &&Script| s.ast.iter_functions().any(|f| f.name == function);
        self.scripts.iter().filter(has).filter_map(move |s| {
            let options = CallFnOptions::new().eval_ast(false);
            let said =
                self.engine.call_fn_with_options(options, &mut Scope::new(), &s.ast, function, facts(s));
            said.inspect_err(|e| log::warn!("script {}: {function} passed over: {e}", s.name)).ok()
        })
    }
}

/// The text by which scripts know an outcome. Scripts in use compare these texts (`docs/plugins.md`), so they outlive any
/// renaming of the variants.
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

/// All that is wrong with the scripts of the folder; nothing where there is none.
pub fn check(folder: &Path) -> Vec<ConfigError> {
    let files = match files(folder) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
            return vec![ConfigError { file: folder.into(), key: String::new(), message: e.to_string() }];
        }
        files => files.unwrap_or_default(),
    };
    let engine = Plugins::none().engine;
    let fault = |file: PathBuf| {
        let message = engine.compile_file(file.clone()).err()?.to_string();
        Some(ConfigError { file, key: String::new(), message })
    };
    files.into_iter().filter_map(fault).collect()
}

fn files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let files = std::fs::read_dir(folder)?.flatten().map(|f| f.path());
    let mut files: Vec<_> = files.filter(|p| p.extension().is_some_and(|e| e == "rhai")).collect();
    files.sort();
    Ok(files)
}

fn facts(context: &RequestContext, details: RequestDetails) -> Map {
    let tags: Vec<Dynamic> = context.tags.iter().map(|t| t.clone().into()).collect();
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
    .map(|(k, v)| (k.into(), v))
    .collect()
}
