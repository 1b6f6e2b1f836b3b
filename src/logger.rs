//! Logger: writes lines to standard error, as text or as JSON, with the key-value fields of the `log` macros. Beyond a
//! burst, each call site is limited to one line per second. The next line that it writes contains the number of lines that
//! were suppressed.
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
/// Modules that a filter may name. A filter may also name any path below them.
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
/// Former and current paths of renamed modules. Filters with the former paths keep working.
const RENAMED_MODULES: [(&str, &str); 32] = [
    ("fault", "config_error"),
    ("handover", "takeover"),
    ("notices", "callbacks"),
    ("neighbours::dial", "peers::connect"),
    ("neighbours::link", "peers::session"),
    ("neighbours::look", "peers::inspect"),
    ("neighbours::meet", "peers::authentication"),
    ("neighbours::own", "peers::local_observations"),
    ("neighbours::teachers", "peers::sources"),
    ("neighbours::tell", "peers::publish"),
    ("neighbours::trust", "peers::credentials"),
    ("neighbours::turns", "peers::rotation"),
    ("neighbours::weigh", "peers::aggregation"),
    ("neighbours", "peers"),
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
    ("discovery::follow", "discovery::watcher"),
    ("discovery::values", "discovery::list_parser"),
    ("fleet::doubts", "fleet::suspicion"),
    ("fleet::members", "fleet::membership"),
    ("fleet::memory", "fleet::snapshot"),
    ("fleet::rows", "fleet::member_table"),
    ("fleet::sides", "fleet::partition"),
    ("upstream::tap", "upstream::monitored_stream"),
];
/// Lines per second that a call site may log once its burst is used up.
const LINES_PER_SECOND: f64 = 1.0;

/// Log filter: a level for each module path. The first entry applies to the whole crate.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter(Vec<(String, LevelFilter)>);

/// An error in the text of a filter: correct `--log-filter` or `MICALADDER_LOG`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FilterError {
    /// The level is unknown.
    #[error("unknown log level {0:?}; the levels are error, warn, info, debug, trace and off")]
    UnknownLevel(String),
    /// The module is unknown, both as a current and as a former path.
    #[error("unknown module {module:?}; the modules are {known}", known = MODULES.join(", "))]
    UnknownModule {
        /// Path of the module, with a former name replaced by the current one.
        module: String,
    },
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, clap::ValueEnum)]
pub enum Format {
    /// Unix time, level, module, text, fields.
    Text,
    /// One object: `at` (Unix time in seconds), `level`, `module`, `text`, and `fields`.
    Json,
}

impl FromStr for Filter {
    type Err = FilterError;

    /// Parses a comma-separated list of `LEVEL` and `MODULE=LEVEL`. Lines of other crates are never logged.
    fn from_str(text: &str) -> Result<Filter, FilterError> {
        let mut crate_level = LevelFilter::Info;
        let mut module_levels = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.split_once('=') {
                None => crate_level = parse_level(item)?,
                Some((module, level)) => {
                    let path = full_path(module)?;
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

/// Returns the full path of a module that a filter names, or an error if the module is unknown.
fn full_path(name: &str) -> Result<String, FilterError> {
    let path = current_path(name);
    let top_module = path.split("::").next().unwrap_or(&path);
    if !MODULES.contains(&top_module) {
        return Err(FilterError::UnknownModule { module: path });
    }
    Ok(format!("{CRATE}::{path}"))
}

/// Returns the current path of a module, which a filter may name by its current or its former path.
fn current_path(name: &str) -> String {
    for (former, current) in RENAMED_MODULES {
        match name.strip_prefix(former) {
            Some("") => return current.to_string(),
            Some(rest) if rest.starts_with("::") => return format!("{current}{rest}"),
            _ => {}
        }
    }
    name.to_string()
}

/// File and line of a `log` macro call.
type CallSite = (&'static str, u32);

/// Token bucket of a call site. Each token allows one line.
struct Bucket {
    tokens: f64,
    refilled_at: Nanos,
    /// Number of lines suppressed since the last written line.
    suppressed: u64,
}

/// Rate limiter for the lines of each call site. The number of buckets is bounded by the call sites in the program.
struct RateLimiter {
    /// Capacity of each bucket in lines; 0 means no limit.
    burst: f64,
    buckets: HashMap<CallSite, Bucket>,
}

impl RateLimiter {
    fn new(burst: u32) -> RateLimiter {
        RateLimiter { burst: f64::from(burst), buckets: HashMap::new() }
    }

    /// Takes a token for a line of this call site. Returns how many lines have been suppressed since its last written line,
    /// or `None` if this line must be suppressed as well.
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

/// Visitor that writes fields as ` key=value`.
struct TextFields<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for TextFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

/// Visitor that collects fields as JSON values: numbers as numbers, all other values as strings.
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

/// Returns the record's module path without the crate's name.
fn module<'a>(record: &'a Record) -> &'a str {
    let target = record.target();
    let path = target.strip_prefix(CRATE).unwrap_or(target).trim_start_matches("::");
    if path.is_empty() {
        return "main";
    }
    path
}

/// Installs the logger of the process. `burst` is the number of lines that a call site may log in a burst; 0 means no
/// limit. Only the first call in a process has an effect.
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
    // The only error is that a logger is already installed; that logger stays in use.
    let _ = builder.try_init();
}

/// Logs each panic at level ERROR with its place, in addition to the message that the standard library prints. A task that
/// panics ends without its caller, so nothing else reports it.
pub fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let reason = panic.payload_as_str().unwrap_or("unknown");
        let thread = std::thread::current().name().unwrap_or("unnamed").to_string();
        log::error!(place, thread; "panicked: {reason}");
        print(panic);
    }));
}
