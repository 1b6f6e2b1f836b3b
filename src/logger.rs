//! The log: lines on standard error, as text or as JSON, with the key-value fields of the `log` macros. Each call site is
//! limited to one line per second beyond a burst; the next line says how many were suppressed.
#![warn(missing_docs)]
use crate::clock;
use crate::interface::Nanos;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::collections::HashMap;
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

const CRATE: &str = "micaladder";
/// The modules that a filter may name, with any path below each.
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
/// Former paths of modules, and the present ones. Guards filters in use: they go on working after a rename.
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
/// Lines per second and call site once the burst is used up.
const LINES_PER_SECOND: f64 = 1.0;

/// What is logged: a level for each module path; the first entry is for the whole crate.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter(Vec<(String, LevelFilter)>);

/// Why a text is not a filter: correct `--log-filter` or `MICALADDER_LOG`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FilterError {
    /// The level is not known.
    #[error("no level {0:?}; there are error, warn, info, debug, trace and off")]
    UnknownLevel(String),
    /// The module is not known, neither by its present nor by its former path.
    #[error("no module {module:?}; there are {known}", known = MODULES.join(", "))]
    UnknownModule {
        /// The path, by its present name.
        module: String,
    },
}

/// The format of a line.
#[derive(Clone, Copy, Debug, PartialEq, clap::ValueEnum)]
pub enum Format {
    /// Unix time, level, module, text, fields.
    Text,
    /// One object: `at` (Unix time in seconds), `level`, `module`, `text`, and `fields`.
    Json,
}

impl FromStr for Filter {
    type Err = FilterError;

    /// Parses `LEVEL` and `MODULE=LEVEL` items with commas between them. Other crates' lines are never logged.
    fn from_str(text: &str) -> Result<Filter, FilterError> {
        let mut crate_level = LevelFilter::Info;
        let mut module_levels = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.split_once('=') {
                None => crate_level = parse_level(item)?,
                Some((module, level)) => {
                    let path = known_path(module)?;
                    module_levels.push((path, parse_level(level)?));
                }
            }
        }
        let mut levels = vec![(CRATE.to_string(), crate_level)];
        levels.extend(module_levels);
        Ok(Filter(levels))
    }
}

fn parse_level(text: &str) -> Result<LevelFilter, FilterError> {
    text.trim().parse().map_err(|_| FilterError::UnknownLevel(text.to_string()))
}

/// The full path of a module that a filter names.
fn known_path(name: &str) -> Result<String, FilterError> {
    let path = present_path(name);
    let package = path.split("::").next().unwrap_or(&path);
    if !MODULES.contains(&package) {
        return Err(FilterError::UnknownModule { module: path });
    }
    Ok(format!("{CRATE}::{path}"))
}

/// The present path of a module, which a filter may name by its former one.
fn present_path(name: &str) -> String {
    for (former, present) in RENAMED_MODULES {
        match name.strip_prefix(former) {
            Some("") => return present.to_string(),
            Some(below) if below.starts_with("::") => return format!("{present}{below}"),
            _ => {}
        }
    }
    name.to_string()
}

/// File and line of a call that logs.
type CallSite = (&'static str, u32);

/// The lines that a call site may still write: a token bucket.
struct Bucket {
    tokens: f64,
    refilled_at: Nanos,
    /// Lines suppressed since the last one that was written.
    suppressed: u64,
}

/// Limits the lines of each call site. The table is bounded by the number of call sites in the program.
struct RateLimiter {
    /// Capacity of each bucket, in lines; 0: no limit.
    burst: f64,
    buckets: HashMap<CallSite, Bucket>,
}

impl RateLimiter {
    fn new(burst: u32) -> RateLimiter {
        RateLimiter { burst: f64::from(burst), buckets: HashMap::new() }
    }

    /// Takes a token for a line of this call site. Returns how many lines were suppressed before it; `None` if this one
    /// has to be suppressed too.
    fn admit(&mut self, file: &'static str, line: u32, now: Nanos) -> Option<u64> {
        if self.burst == 0.0 {
            return Some(0);
        }
        let full = Bucket { tokens: self.burst, refilled_at: now, suppressed: 0 };
        let bucket = self.buckets.entry((file, line)).or_insert(full);
        let refill = (now - bucket.refilled_at).secs() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(self.burst);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}

/// Writes fields as ` key=value`.
struct TextFields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for TextFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

/// Collects fields as JSON values: numbers as numbers, all else as text.
struct JsonFields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json_value(&value));
        Ok(())
    }
}

fn json_value(value: &Value) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    value.to_string().into()
}

fn write_line(
    out: &mut dyn Write, format: Format, record: &Record, now: Nanos, suppressed: u64,
) -> io::Result<()> {
    match format {
        Format::Text => write_text(out, record, now, suppressed),
        Format::Json => write_json(out, record, now, suppressed),
    }
}

fn write_text(out: &mut dyn Write, record: &Record, now: Nanos, suppressed: u64) -> io::Result<()> {
    write!(out, "{:.3} {} {}: {}", now.secs(), record.level(), module(record), record.args())?;
    record.key_values().visit(&mut TextFields(out)).map_err(io::Error::other)?;
    if suppressed > 0 {
        write!(out, " kept_back={suppressed}")?;
    }
    writeln!(out)
}

fn write_json(out: &mut dyn Write, record: &Record, now: Nanos, suppressed: u64) -> io::Result<()> {
    let mut fields = JsonFields(serde_json::Map::new());
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    if suppressed > 0 {
        fields.0.insert("kept_back".into(), suppressed.into());
    }
    let line = serde_json::json!({
        "at": now.0 as f64 / NANOS_PER_SECOND,
        "level": record.level().as_str(),
        "module": module(record),
        "text": record.args().to_string(),
        "fields": fields.0,
    });
    writeln!(out, "{line}")
}

const NANOS_PER_SECOND: f64 = 1e9;

/// The record's module path without the crate's name.
fn module<'a>(record: &'a Record) -> &'a str {
    let target = record.target();
    let path = target.strip_prefix(CRATE).unwrap_or(target).trim_start_matches("::");
    if path.is_empty() {
        return "main";
    }
    path
}

/// Installs the logger of the process. `burst` is the number of lines that a call site may write at once; 0: no limit. Only
/// the first call in a process has an effect.
pub fn install(filter: &Filter, format: Format, burst: u32) {
    let limiter = Mutex::new(RateLimiter::new(burst));
    let mut builder = env_logger::Builder::new();
    builder.target(env_logger::Target::Stderr).format(move |out, record| {
        let now = clock::now();
        let file = record.file_static().unwrap_or("");
        let line = record.line().unwrap_or(0);
        let admitted = limiter.lock().unwrap_or_else(PoisonError::into_inner).admit(file, line, now);
        match admitted {
            Some(suppressed) => write_line(out, format, record, now, suppressed),
            None => Ok(()),
        }
    });
    for (module, level) in &filter.0 {
        builder.filter_module(module, *level);
    }
    // An error only says that there is a logger already, which stays in use.
    let _ = builder.try_init();
}
