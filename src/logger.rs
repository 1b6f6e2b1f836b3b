//! The project's logger: one line each on standard error, with Unix time, level and module.
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Lines;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("micaladder")
    }
    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let at = crate::clock::now().secs();
            let place = record.target().trim_start_matches("micaladder::");
            // A log that cannot be written is no reason to stop.
            let _ = writeln!(std::io::stderr(), "{at:.3} {} {place}: {}", record.level(), record.args());
        }
    }
    fn flush(&self) {}
}

/// Sets the logger up. `MICALADDER_LOG` may name a level; `info` is the usual one.
pub fn install() {
    let level =
        std::env::var("MICALADDER_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_logger(&Lines).is_ok() {
        log::set_max_level(level);
    }
}
