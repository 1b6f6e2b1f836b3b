//! The staleness bound of the endpoint list, and one formula over all delays and timeouts that keeps it.
//!
//! A change must be applied within [`STALENESS_BOUND`] after a watch fell silent, or after discovery had the change and became
//! reachable, regardless of how earlier polls ended. `worst_case` therefore covers everything that may happen once a poll is
//! due: a delay before the poll, a few polls that get no response, and one poll that does.
use std::time::Duration;

/// The longest time from the moment a watch falls silent, or discovery becomes reachable, until its list is applied.
pub(super) const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// The longest time from a change of the discovery address until the list of the new server is applied.
pub(super) const ADDRESS_CHANGE_STALENESS_BOUND: Duration = Duration::from_secs(4);
/// Interval at which discovery sends an empty line on a watch while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How late a keep-alive line may be before the watch counts as broken.
const KEEPALIVE_TOLERANCE: Duration = Duration::from_millis(500);

/// Interval at which further polls start while nothing is received. Earlier polls stay open.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive polls without a response that the staleness bound allows for before a poll that gets one.
const MAX_SILENT_POLLS: u32 = 2;
/// How long the response to a poll may take. Covers one lost first packet, which TCP retransmits after 1 s.
const POLL_RESPONSE_TIME: Duration = Duration::from_millis(1200);
/// Time for this process to apply a received list on a CPU core shared with other processes.
const PROCESSING_MARGIN: Duration = Duration::from_millis(200);
/// Time without a response after which a poll is abandoned. Bounds the number of polls in flight.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the longest time from the moment a poll is due until a response is applied, if the poll starts after `delay` and
/// `silent_polls` polls get no response before one does.
const fn worst_case(delay: Duration, silent_polls: u32) -> Duration {
    delay
        .saturating_add(POLL_INTERVAL.saturating_mul(silent_polls))
        .saturating_add(POLL_RESPONSE_TIME)
        .saturating_add(PROCESSING_MARGIN)
}

/// Time without data after which a watch counts as broken.
pub(super) const SILENCE_TIMEOUT: Duration =
    STALENESS_BOUND.saturating_sub(worst_case(Duration::ZERO, MAX_SILENT_POLLS));
/// The longest delay before the first poll and after failed polls.
pub(super) const MAX_BACKOFF: Duration = SILENCE_TIMEOUT;
/// The longest delay before the first poll at a new address.
pub(super) const MAX_ADDRESS_CHANGE_DELAY: Duration =
    ADDRESS_CHANGE_STALENESS_BOUND.saturating_sub(worst_case(Duration::ZERO, 1));

/// Period over which many forwarders spread their first polls after a start. Longer than the formula allows: until its first
/// poll each forwarder can serve from the list it has, and a server that all forwarders poll at once is overloaded and responds
/// to none of them (docs/design/terms.md).
pub(super) const SHARED_START_SPREAD: Duration = Duration::from_secs(5);
/// Period over which many forwarders spread their first polls at a new address.
pub(super) const SHARED_ADDRESS_CHANGE_SPREAD: Duration = Duration::from_secs(3);
/// The longest time between two connects to a server that many forwarders poll and that accepts no connections. Short enough
/// for its list to be applied within the bound once the server accepts connections again.
pub(super) const SHARED_PROBE_DELAY: Duration = STALENESS_BOUND.saturating_sub(worst_case(Duration::ZERO, 0));
/// Time after which a poll is abandoned if many forwarders poll the server and the server has accepted the connection. Long,
/// because abandoning a poll and sending it again costs an overloaded server a second response.
pub(super) const SHARED_POLL_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest backoff after overload responses of a server that many forwarders poll.
const SHARED_MAX_BACKOFF: Duration = Duration::from_secs(30);

/// How many forwarders poll the same discovery server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pollers {
    /// Only this forwarder, which polls a local agent that receives the list by push.
    One,
    /// Several forwarders, which must not poll at the same time.
    Many,
}

impl Pollers {
    /// Returns the variant for this number of forwarders.
    pub(super) fn from_count(forwarders: usize) -> Pollers {
        if forwarders > 1 {
            Pollers::Many
        } else {
            Pollers::One
        }
    }

    /// Returns the longest backoff of a forwarder.
    pub(super) fn max_backoff(self) -> Duration {
        match self {
            Pollers::One => MAX_BACKOFF,
            Pollers::Many => SHARED_MAX_BACKOFF,
        }
    }

    /// Returns how long a poll may take in total, given that its connection was established in time.
    pub(super) fn poll_timeout(self) -> Duration {
        match self {
            Pollers::One => POLL_TIMEOUT,
            Pollers::Many => SHARED_POLL_TIMEOUT,
        }
    }

    /// Returns the longest delay before the first poll after a start.
    pub(super) fn max_start_delay(self) -> Duration {
        match self {
            Pollers::One => MAX_BACKOFF,
            Pollers::Many => SHARED_START_SPREAD,
        }
    }

    /// Returns the longest delay before the first poll at a new address.
    pub(super) fn max_address_change_delay(self) -> Duration {
        match self {
            Pollers::One => MAX_ADDRESS_CHANGE_DELAY,
            Pollers::Many => SHARED_ADDRESS_CHANGE_SPREAD,
        }
    }
}

const _: () =
    assert!(worst_case(SILENCE_TIMEOUT, MAX_SILENT_POLLS).as_millis() <= STALENESS_BOUND.as_millis());
const _: () = assert!(worst_case(MAX_BACKOFF, MAX_SILENT_POLLS).as_millis() <= STALENESS_BOUND.as_millis());
const _: () = assert!(worst_case(SHARED_PROBE_DELAY, 0).as_millis() <= STALENESS_BOUND.as_millis());
const _: () = assert!(
    worst_case(MAX_ADDRESS_CHANGE_DELAY, 1).as_millis() <= ADDRESS_CHANGE_STALENESS_BOUND.as_millis()
);
const _: () = assert!(
    SILENCE_TIMEOUT.as_millis() >= KEEPALIVE_INTERVAL.saturating_add(KEEPALIVE_TOLERANCE).as_millis(),
    "the silence timeout must tolerate a late keep-alive line"
);
