//! Adapter between the simulator's protocol (one JSON object per line) and the decision module. It only translates.
//!
//! The adapter reads batches of events from standard input. After each batch it writes the actions of the instances that
//! received an event to standard output. A malformed line ends the process with exit status 2 and an error on standard
//! error that holds the line number.
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
use wire::AdapterState;

/// Exit status after a malformed line or a failed write.
const EXIT_FAILURE: i32 = 2;

/// Runs the adapter on standard input and output.
fn main() {
    // Panics are reported to the simulator in the reply, so the default message on standard error is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    let out = io::BufWriter::new(io::stdout().lock());
    if let Err(error) = run(io::stdin().lock(), out) {
        eprintln!("micaladder-benchlink: {error}");
        std::process::exit(EXIT_FAILURE);
    }
}

/// Handles batches until the end of the input.
fn run(input: impl BufRead, mut out: impl Write) -> Result<(), AdapterError> {
    let mut state = AdapterState::default();
    for (index, line) in input.lines().enumerate() {
        let line_error = |error: LineError| AdapterError::Line { number: index + 1, error };
        let line = line.map_err(|error| line_error(LineError::Read(error)))?;
        if line.trim().is_empty() {
            continue;
        }
        let value = parse(&line).map_err(line_error)?;
        if value["what"] == "go" {
            state.reply(&mut out).map_err(AdapterError::Write)?;
        } else {
            state.handle_line(&value).map_err(line_error)?;
        }
    }
    Ok(())
}

/// Parses a line as a JSON object.
fn parse(line: &str) -> Result<Value, LineError> {
    let value: Value = serde_json::from_str(line).map_err(LineError::NotJson)?;
    if !value.is_object() {
        return Err(LineError::NotAnObject);
    }
    Ok(value)
}
