//! Why the adapter ends: a line that breaks the wire's format, or a reply that cannot be written.
use std::io;

/// The adapter cannot go on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// A line of the input is malformed: the simulator and the adapter disagree on the wire.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// What is wrong with it.
        error: LineError,
    },
    /// The simulator has closed its end, or the disk behind a redirection is full.
    #[error("cannot write the reply: {0}")]
    Write(io::Error),
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// It cannot be read, for instance since it is not UTF-8.
    #[error("{0}")]
    Read(io::Error),
    /// It is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// It is JSON, but no object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field must hold a text.
    #[error("field {0} is missing or not a text")]
    NotText(&'static str),
    /// A field must hold a whole number.
    #[error("field {0} is missing or not a whole number")]
    NotWholeNumber(&'static str),
    /// A message id has the wrong length.
    #[error("field req is not 16 hex digits: {0}")]
    IdLength(String),
    /// A message id holds other characters than hex digits.
    #[error("field req is not hex: {0}")]
    IdNotHex(String),
    /// The settings of an instance are missing.
    #[error("field conf is missing or not an object")]
    NoSettings,
    /// An entry of an endpoint list is malformed.
    #[error("membersList: {0}")]
    Entries(serde_json::Error),
    /// An event points at an endpoint list that was not defined.
    #[error("no manifest numbered {0}")]
    UnknownList(u64),
    /// The state of an endpoint is unknown.
    #[error("lifecycle is none that is known: {0}")]
    UnknownLifecycle(String),
}
