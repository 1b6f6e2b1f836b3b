//! Outcomes of attempts.
use super::Nanos;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// The destination answered with an error; it may have run.
    Error,
    /// Rejected unprocessed, with its Retry-After, if any; it never ran.
    Rejected(Option<Nanos>),
    /// No answer in time; it may have run or may still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// Rejected on a new connection, since the endpoint accepts no further one; it never ran.
    ConnectionLimit,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It ran, but its answer cannot be read: that says nothing of its endpoint.
    UnreadableAnswer,
    /// Not sent.
    Skipped,
    /// Not sent, since the decision is outdated: it does not count as an attempt, and is decided anew.
    NotSent,
}

impl Outcome {
    /// Whether the endpoint answered at all.
    pub fn answered(self) -> bool {
        match self {
            Outcome::Ok
            | Outcome::Error
            | Outcome::Rejected(_)
            | Outcome::ConnectionLimit
            | Outcome::UnreadableAnswer => true,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled => false,
            Outcome::Skipped | Outcome::NotSent => false,
        }
    }
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::ConnectionLimit => true,
            Outcome::Skipped | Outcome::NotSent => true,
            Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset => false,
            Outcome::Cancelled | Outcome::UnreadableAnswer => false,
        }
    }
}

/// What an answer reported of its destination's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that is left.
    pub left: f64,
    /// Calls a second that the limit allows; zero: no limit.
    pub limit: f64,
}
