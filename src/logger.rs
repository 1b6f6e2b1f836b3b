//! The log: lines on standard error, as text or as JSON, with the fields of the `log` macros' key-values. A place in
//! the program that floods is held to a line a second, which says how many were kept back.
use crate::clock;
use crate::interface::Nanos;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::collections::HashMap;
use std::io::Write;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};

const CRATE: &str = "micaladder";
/// The modules that a filter may name; below each, any path.
const MODULES: [&str; 24] = [
    "acme",
    "as2",
    "callbacks",
    "check",
    "client",
    "config_error",
    "core",
    "daemon",
    "deduplication",
    "discovery",
    "exchange",
    "flags",
    "fleet",
    "journal",
    "logger",
    "logic",
    "mgmt",
    "peers",
    "plugins",
    "reload",
    "settings",
    "state",
    "takeover",
    "upstream",
];
/// Modules that had another name, and the path that a filter with the old one means today. Filters in use go on working.
const RENAMED_MODULES: [(&str, &str); 14] = [
    ("fault", "config_error"),
    ("handover", "takeover"),
    ("neighbours", "peers"),
    ("notices", "callbacks"),
    ("core::busy", "core::in_flight"),
    ("core::door", "core::admission"),
    ("core::elder", "core::takeover"),
    ("core::ends", "core::completions"),
    ("core::group", "core::endpoints"),
    ("core::hand", "core::suspensions"),
    ("core::held", "core::pending"),
    ("core::ledger", "core::journal_writer"),
    ("core::orders", "core::messages"),
    ("core::tries", "core::attempts"),
];
/// From each place so many lines a second come through once its burst is used up.
const RATE: f64 = 1.0;

/// What is logged: a level for all modules, and others for some.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter(Vec<(String, LevelFilter)>);

/// How a line looks.
#[derive(Clone, Copy, Debug, PartialEq, clap::ValueEnum)]
pub enum Format {
    /// Unix time, level, module, text, fields.
    Text,
    /// One object: `at` (Unix time in seconds), `level`, `module`, `text`, and `fields`.
    Json,
}

impl FromStr for Filter {
    type Err = String;

    fn from_str(text: &str) -> Result<Filter, String> {
        let level = |word: &str| {
            let levels = "error, warn, info, debug, trace and off";
            word.trim().parse().map_err(|_| format!("no level {word:?}; there are {levels}"))
        };
        // A level alone is for all of our modules; those of other crates stay silent.
        let mut filter = vec![(CRATE.to_string(), LevelFilter::Info)];
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match part.split_once('=') {
                None => filter[0].1 = level(part)?,
                Some((module, word)) => {
                    let module = current_path(module);
                    let first = module.split("::").next().unwrap_or(&module);
                    if !MODULES.contains(&first) {
                        return Err(format!("no module {module:?}; there are {}", MODULES.join(", ")));
                    }
                    filter.push((format!("{CRATE}::{module}"), level(word)?));
                }
            }
        }
        Ok(Filter(filter))
    }
}

/// The path by which a module that a filter names is known today.
fn current_path(named: &str) -> String {
    for (old, new) in RENAMED_MODULES {
        match named.strip_prefix(old) {
            Some("") => return new.to_string(),
            Some(below) if below.starts_with("::") => return format!("{new}{below}"),
            _ => {}
        }
    }
    named.to_string()
}

/// A place's allowance: a bucket of lines.
struct Place {
    left: f64,
    at: Nanos,
    kept_back: u64,
}

/// Holds each place that logs to its allowance. Places are call sites, so the table is bounded by the program's text.
struct Limit {
    burst: f64,
    places: HashMap<(&'static str, u32), Place>,
}

impl Limit {
    fn new(burst: u32) -> Limit {
        Limit { burst: f64::from(burst), places: HashMap::new() }
    }

    /// Whether a line of this place may be written, and how many were kept back before it.
    fn pass(&mut self, file: &'static str, line: u32, now: Nanos) -> Option<u64> {
        if self.burst == 0.0 {
            return Some(0);
        }
        let fresh = Place { left: self.burst, at: now, kept_back: 0 };
        let place = self.places.entry((file, line)).or_insert(fresh);
        place.left = (place.left + (now - place.at).secs() * RATE).min(self.burst);
        place.at = now;
        if place.left < 1.0 {
            place.kept_back += 1;
            return None;
        }
        place.left -= 1.0;
        Some(std::mem::take(&mut place.kept_back))
    }
}

struct Texts<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Texts<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(serde_json::Value::from);
        let value =
            number.or_else(|| value.to_f64().map(Into::into)).unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn write(
    out: &mut dyn Write, format: Format, record: &Record, now: Nanos, kept_back: u64,
) -> std::io::Result<()> {
    let module = record.target().strip_prefix(CRATE).unwrap_or(record.target()).trim_start_matches("::");
    let module = if module.is_empty() { "main" } else { module };
    match format {
        Format::Text => {
            write!(out, "{:.3} {} {module}: {}", now.secs(), record.level(), record.args())?;
            record.key_values().visit(&mut Texts(out)).map_err(std::io::Error::other)?;
            if kept_back > 0 {
                write!(out, " kept_back={kept_back}")?;
            }
            writeln!(out)
        }
        Format::Json => {
            let mut fields = Fields(serde_json::Map::new());
            record.key_values().visit(&mut fields).map_err(std::io::Error::other)?;
            if kept_back > 0 {
                fields.0.insert("kept_back".into(), kept_back.into());
            }
            let (level, text) = (record.level().as_str(), record.args().to_string());
            let at = now.0 as f64 / 1e9;
            let line = serde_json::json!({
                "at": at, "level": level, "module": module, "text": text, "fields": fields.0,
            });
            writeln!(out, "{line}")
        }
    }
}

/// Sets the log up, once; a second call changes nothing.
pub fn install(filter: &Filter, format: Format, burst: u32) {
    let limit = Mutex::new(Limit::new(burst));
    let mut builder = env_logger::Builder::new();
    builder.target(env_logger::Target::Stderr).format(move |out, record| {
        let now = clock::now();
        let place = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let passed = limit.lock().unwrap_or_else(PoisonError::into_inner).pass(place.0, place.1, now);
        match passed {
            Some(kept_back) => write(out, format, record, now, kept_back),
            None => Ok(()),
        }
    });
    for (module, level) in &filter.0 {
        builder.filter_module(module, *level);
    }
    // A second start in the same process keeps the first log.
    let _ = builder.try_init();
}

#[cfg(test)]
mod tests;
