//! Errors that end the adapter: a malformed line of the input, or a reply that cannot be written.
use std::io;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// A line of the input is malformed: the simulator and the adapter disagree on the format.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// Error in the line.
        error: LineError,
    },
    /// The simulator has closed its end of the pipe, or standard output is redirected to a full disk.
    #[error("cannot write the reply: {0}")]
    Write(io::Error),
}

/// An error in a line of the input.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// The line cannot be read, for instance because it is not UTF-8.
    #[error("cannot read the line: {0}")]
    Read(io::Error),
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The line is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field that must hold a string is missing or has another type.
    #[error("field {0} is missing or not a string")]
    NotAString(&'static str),
    /// A field that must hold a non-negative integer is missing or has another type.
    #[error("field {0} is missing or not a non-negative integer")]
    NotAnInteger(&'static str),
    /// A message id has the wrong length.
    #[error("field req is not 16 hex digits long: {0}")]
    IdLength(String),
    /// A message id contains characters other than hex digits.
    #[error("field req is not hexadecimal: {0}")]
    IdNotHex(String),
    /// The settings of an instance are missing.
    #[error("field conf is missing or not an object")]
    NoSettings,
    /// An entry of an endpoint list is malformed.
    #[error("membersList: {0}")]
    Entries(serde_json::Error),
    /// An event refers to an endpoint list that has not been defined.
    #[error("field setId refers to manifest {0}, which has not been defined")]
    UnknownList(u64),
    /// The state of an endpoint is unknown.
    #[error("unknown lifecycle {0:?}; expected Running, Stopping or Deleted")]
    UnknownLifecycle(String),
}
