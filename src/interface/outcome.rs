//! Outcomes of attempts.
use super::Nanos;

/// The outcome of an attempt. Outcomes differ in whether the message may have run, that is, may have taken
/// effect at the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Ok,
    /// The destination responded with an error; the message may have run.
    Error,
    /// Rejected without being processed, with the Retry-After if one was sent; the message never ran.
    Rejected(Option<Nanos>),
    /// No response within the timeout; the message may have run or may still run.
    Timeout,
    /// The connection could not be established; the message never ran.
    ConnectFailed,
    /// Rejected on a new connection, because the endpoint accepts no further connection; the message never
    /// ran.
    ConnectionLimit,
    /// The connection broke; the message may have run.
    Reset,
    /// The attempt was cancelled; the message may have run.
    Cancelled,
    /// The message ran, but the response cannot be parsed. This says nothing about the health of the
    /// endpoint.
    UnreadableAnswer,
    /// The message was not sent.
    Skipped,
    /// The message was not sent because the decision was outdated. This does not count as an attempt, and the
    /// module decides on the message again.
    NotSent,
}

impl Outcome {
    /// Returns whether the endpoint sent any response.
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
    /// Returns whether the outcome proves that the message never ran.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::ConnectionLimit => true,
            Outcome::Skipped | Outcome::NotSent => true,
            Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset => false,
            Outcome::Cancelled | Outcome::UnreadableAnswer => false,
        }
    }
}

/// The state of a destination's limit, as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that is still available.
    pub left: f64,
    /// Limit in calls per second; zero if there is none.
    pub limit: f64,
}
