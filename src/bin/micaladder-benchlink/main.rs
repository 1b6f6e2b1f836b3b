//! Adapter between the simulator's wire (one JSON value a line) and the decision module. It translates only.
//!
//! Batches of events are read from standard input; each batch is answered on standard output with the actions
//! of the instances that had an event in it. A malformed line ends the process with status 2 and its number
//! on standard error.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod actions;
mod error;
mod events;
mod instance;
mod settings;
mod wire;

use error::{AdapterError, LineError};
use serde_json::Value;
use std::io::{self, BufRead, Write};
use wire::Wire;

/// Exit status after a malformed line or a failed write.
const FAILED: i32 = 2;

/// Runs the adapter on standard input and output.
fn main() {
    // A panic is reported on the wire; its usual message would only clutter standard error.
    std::panic::set_hook(Box::new(|_| {}));
    let out = io::BufWriter::new(io::stdout().lock());
    if let Err(error) = run(io::stdin().lock(), out) {
        eprintln!("micaladder-benchlink: {error}");
        std::process::exit(FAILED);
    }
}

/// Answers batches until the end of the input.
fn run(input: impl BufRead, mut out: impl Write) -> Result<(), AdapterError> {
    let mut wire = Wire::default();
    for (index, line) in input.lines().enumerate() {
        let at = |error: LineError| AdapterError::Line { number: index + 1, error };
        let line = line.map_err(|error| at(LineError::Read(error)))?;
        if line.trim().is_empty() {
            continue;
        }
        let value = parse(&line).map_err(at)?;
        if value["what"] == "go" {
            wire.reply(&mut out).map_err(AdapterError::Write)?;
        } else {
            wire.take(&value).map_err(at)?;
        }
    }
    Ok(())
}

/// Reads a line as a JSON object.
fn parse(line: &str) -> Result<Value, LineError> {
    let value: Value = serde_json::from_str(line).map_err(LineError::NotJson)?;
    if !value.is_object() {
        return Err(LineError::NotAnObject);
    }
    Ok(value)
}
