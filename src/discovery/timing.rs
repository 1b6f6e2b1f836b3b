//! The bound on how stale the endpoint list may be, and one formula over all delays and timeouts that keeps it.
//!
//! A change counts as known [`STALENESS_BOUND`] after a watch fell silent, or after discovery had it and could be reached,
//! whatever became of earlier polls. So from the moment in which a poll is due, a backoff, a few polls that stay silent, and
//! one that is answered have to fit in: `worst_case`.
use std::time::Duration;

/// How long after a watch fell silent, or after discovery could be reached, its list has to be known.
pub(super) const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// The same after the address of discovery has changed.
pub(super) const MOVE_STALENESS_BOUND: Duration = Duration::from_secs(4);
/// How often a watch sends an empty line while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How late such a line may be before its watch counts as broken.
const KEEPALIVE_TOLERANCE: Duration = Duration::from_millis(500);

/// Interval at which further watches are opened while nothing is received; the earlier ones go on.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Polls in a row that may stay silent with one more still answered in time.
const MAX_SILENT_POLLS: u32 = 2;
/// How long the answer to a poll may take: a lost first packet is sent again after a second.
const POLL_ANSWER_TIME: Duration = Duration::from_millis(1200);
/// Time for this process to act on what it has read, on a core that it shares with others.
const PROCESSING_MARGIN: Duration = Duration::from_millis(200);
/// A poll that has received nothing for this long is given up. Bounds how many are in flight at once.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time from the moment in which a poll is due until its answer has been acted on: it starts after a delay, and
/// this many polls before the one that is answered stay silent.
const fn worst_case(delay: Duration, silent_polls: u32) -> Duration {
    delay
        .saturating_add(POLL_INTERVAL.saturating_mul(silent_polls))
        .saturating_add(POLL_ANSWER_TIME)
        .saturating_add(PROCESSING_MARGIN)
}

/// Silence after which a watch counts as broken.
pub(super) const SILENCE_TIMEOUT: Duration =
    STALENESS_BOUND.saturating_sub(worst_case(Duration::ZERO, MAX_SILENT_POLLS));
/// The longest delay before a poll, at the start and after polls that failed.
pub(super) const MAX_BACKOFF: Duration = SILENCE_TIMEOUT;
/// The longest delay before the first poll at a new address.
pub(super) const MAX_MOVE_DELAY: Duration =
    MOVE_STALENESS_BOUND.saturating_sub(worst_case(Duration::ZERO, 1));

/// Over how long many forwarders spread their first polls. Longer than the formula allows: the list that each has is good
/// enough until then, and a server that all forwarders poll at once answers nobody (docs/design/terms.md).
pub(super) const SHARED_START_SPREAD: Duration = Duration::from_secs(5);
/// Over how long many forwarders spread their first polls at a new address.
pub(super) const SHARED_MOVE_SPREAD: Duration = Duration::from_secs(3);
/// The longest time between two connects where many forwarders poll one server that does not accept any: it is known within
/// the bound once it does.
pub(super) const SHARED_PROBE_DELAY: Duration = STALENESS_BOUND.saturating_sub(worst_case(Duration::ZERO, 0));
/// How long the answer to a poll may take where many forwarders poll one server, once it has accepted the connection. A poll
/// that is given up and sent again costs a server that is overloaded a second answer.
pub(super) const SHARED_POLL_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest backoff where many forwarders poll one server, after answers of overload.
const SHARED_MAX_BACKOFF: Duration = Duration::from_secs(30);

/// How many forwarders poll the same discovery server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pollers {
    /// This forwarder alone, whose list is pushed to an agent beside it.
    One,
    /// Several, which must not poll at the same moment.
    Many,
}

impl Pollers {
    /// For this number of forwarders.
    pub(super) fn of(forwarders: usize) -> Pollers {
        if forwarders > 1 {
            Pollers::Many
        } else {
            Pollers::One
        }
    }

    /// The longest backoff of one of them.
    pub(super) fn max_backoff(self) -> Duration {
        match self {
            Pollers::One => MAX_BACKOFF,
            Pollers::Many => SHARED_MAX_BACKOFF,
        }
    }

    /// How long a poll may take in all, if its connection came up in time.
    pub(super) fn poll_timeout(self) -> Duration {
        match self {
            Pollers::One => POLL_TIMEOUT,
            Pollers::Many => SHARED_POLL_TIMEOUT,
        }
    }

    /// The longest delay before the first poll after a start.
    pub(super) fn max_start_delay(self) -> Duration {
        match self {
            Pollers::One => MAX_BACKOFF,
            Pollers::Many => SHARED_START_SPREAD,
        }
    }

    /// The longest delay before the first poll at a new address.
    pub(super) fn max_move_delay(self) -> Duration {
        match self {
            Pollers::One => MAX_MOVE_DELAY,
            Pollers::Many => SHARED_MOVE_SPREAD,
        }
    }
}

const _: () =
    assert!(worst_case(SILENCE_TIMEOUT, MAX_SILENT_POLLS).as_millis() <= STALENESS_BOUND.as_millis());
const _: () = assert!(worst_case(MAX_BACKOFF, MAX_SILENT_POLLS).as_millis() <= STALENESS_BOUND.as_millis());
const _: () = assert!(worst_case(SHARED_PROBE_DELAY, 0).as_millis() <= STALENESS_BOUND.as_millis());
const _: () = assert!(worst_case(MAX_MOVE_DELAY, 1).as_millis() <= MOVE_STALENESS_BOUND.as_millis());
const _: () = assert!(
    SILENCE_TIMEOUT.as_millis() >= KEEPALIVE_INTERVAL.saturating_add(KEEPALIVE_TOLERANCE).as_millis(),
    "a keep-alive line may be late"
);
