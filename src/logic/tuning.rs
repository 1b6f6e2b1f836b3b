//! Tuning constants with their units. A symbol of the design page comes first, in backticks.
use crate::interface::Nanos;

// ---- Slots and the ready queue.

/// `slot share`: share of the slots that a healthy destination stays below.
pub(super) const HEALTHY_SLOT_SHARE: f64 = 0.75;
/// `slot share`: share of the slots for all slow and failing destinations together.
pub(super) const UNHEALTHY_SLOT_SHARE: f64 = 0.5;
/// An endpoint is slow if its latency exceeds this multiple of its lowest mean; the multiple is well above
/// the usual variation.
pub(super) const SLOW_FACTOR: f64 = 3.0;
/// Share of the slots for all calls past their response timeout together; the rest stays available for calls
/// that get a response.
pub(super) const UNANSWERED_SLOT_SHARE: f64 = 0.25;
/// `ARRmin`: below this share of L the cap on η is waived, so that no slot stays idle for the sake of
/// fairness.
pub(super) const ARR_MIN_SHARE: f64 = 0.25;
/// `LexASmax`: deficit under the cap, in ready queues of mean weight.
pub(super) const LEXAS_MAX: f64 = 1.0;
/// `LexASmin`: deficit that lagging flows may keep, in the same unit; twice the cap, as in the paper.
pub(super) const LEXAS_MIN: f64 = 2.0;

// ---- Gains.

/// `κ`: initial gain.
pub(super) const INITIAL_GAIN: f64 = 1.0;
/// `γ`: gain added for a missed latency objective; it equals κ, so the first miss doubles a share.
pub(super) const GAIN_STEP: f64 = 1.0;
/// Share of the latency objective that a message may wait in this forwarder.
pub(super) const OBJECTIVE_WAIT_SHARE: f64 = 0.5;
/// Share of an extra gain, and of a class's loss share, that remains after a review; seven reviews halve it.
pub(super) const REVIEW_KEEP: f64 = 0.9;
/// All gains are halved once one exceeds this multiple of κ, so that large gains shrink again (design page).
pub(super) const MAX_GAIN_FACTOR: f64 = 8.0;
/// `few rounds`: time between reviews of gains, rates and idle destinations; it spans several latency
/// objectives.
pub(super) const REVIEW_INTERVAL: Nanos = Nanos(1_000_000_000);
/// Time after which the counters of an idle destination are reset (design page).
pub(super) const IDLE_DESTINATION_RESET_AFTER: Nanos = Nanos(60_000_000_000);
/// Weight of one second in the moving mean of the demand, which thus covers about ten seconds.
pub(super) const DEMAND_GAIN: f64 = 0.1;
/// Weight of one second in the moving mean of the served rate, which thus covers about three seconds.
pub(super) const SERVED_RATE_GAIN: f64 = 0.3;
/// Upper bound of the backlog, in seconds.
pub(super) const MAX_BACKLOG_SECS: f64 = 30.0;

// ---- Pace.

/// Lowest pace if no limit is known, in calls per second (design page).
pub(super) const MIN_PACE: f64 = 1.0;
/// Factor applied to the pace after a rejection (design page).
pub(super) const PACE_REDUCTION_FACTOR: f64 = 0.5;
/// Lowest pace as a share of a forwarder's equal share of a known limit.
pub(super) const MIN_PACE_SHARE: f64 = 0.25;
/// Time in seconds in which the pace returns to the rejected rate.
pub(super) const PACE_RECOVERY_SECS: f64 = 4.0;
/// Factor applied to the rejected rate if it is lower than that of the previous rejection.
pub(super) const LOWER_REJECTION_FACTOR: f64 = 0.9;
/// Longest gap between calls at the lowest pace, in seconds.
pub(super) const MAX_CALL_GAP_SECS: f64 = 8.0;
/// Size of a burst, in seconds of the rate; short, so that one burst cannot use up the limit of a whole
/// period.
pub(super) const BURST_SECS: f64 = 0.5;
/// Lower bound in seconds of the first backoff after a rejection without Retry-After. The backoff itself is
/// the time of one call at half of the equal share of the limit, within the latency objective, and doubles
/// with each consecutive rejection.
pub(super) const MIN_FIRST_BACKOFF_SECS: f64 = 0.5;
/// Maximum number of doublings of a backoff. Other bounds apply beyond them; this one keeps the power small.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// A rejection is not attributed to the limit if the response reports that more than this share of the limit
/// is left. The value is not near zero because reports are delayed.
pub(super) const LIMIT_NOT_REACHED_SHARE: f64 = 0.5;

// ---- Health.

/// Weight of a new latency sample: 1/8, as in RFC 6298, section 2.
pub(super) const LATENCY_GAIN: f64 = 0.125;
/// Mean deviations above the mean latency after which a call without any response counts as unanswered: 4, as
/// in RFC 6298, section 2.
pub(super) const RESPONSE_TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Shortest time without any response after which a call counts as unanswered, in seconds.
pub(super) const MIN_RESPONSE_TIMEOUT_SECS: f64 = 0.75;
/// Time without any response after which a call counts as unanswered while no latency is known, in seconds.
pub(super) const DEFAULT_RESPONSE_TIMEOUT_SECS: f64 = 2.0;
/// Weight of one outcome in a failure share; see `BREAKER_FAILURE_SHARE`.
pub(super) const FAILURE_GAIN: f64 = 0.3;
/// Failure share that opens the breaker: seven consecutive failures.
pub(super) const BREAKER_FAILURE_SHARE: f64 = 0.9;
/// Consecutive unanswered calls that open the breaker; a single lost call is not an outage.
pub(super) const BREAKER_UNANSWERED_CALLS: u32 = 2;
/// Shortest gap between trials of an open breaker, in seconds.
pub(super) const MIN_TRIAL_GAP_SECS: f64 = 1.0;
/// Longest gap between trials of an open breaker, in seconds.
pub(super) const MAX_TRIAL_GAP_SECS: f64 = 3.0;
/// Gap between trials as a share of the duration of the outage so far.
pub(super) const TRIAL_GAP_SHARE: f64 = 0.4;
/// Lowest rate of all forwarders together in slow start, in calls per second.
pub(super) const MIN_SLOW_START_RATE: f64 = 1.0;
/// Part of a returning destination's budget that is divided equally among the forwarders.
pub(super) const EQUAL_PART: f64 = 0.5;
/// Standard deviations between the mean number of calls to a returning destination and its budget.
pub(super) const BUDGET_SAFETY_DEVIATIONS: f64 = 4.0;
/// Share of its part of the budget that a forwarder uses if the list has no capacity; the rest is for chance.
pub(super) const UNLISTED_BUDGET_SHARE: f64 = 0.8;
/// Shortest overload window in seconds used in computations; it prevents a division by zero.
pub(super) const MIN_WINDOW_SECS: f64 = 1e-3;
/// Makes the seed of the permits' random numbers different from the main seed.
pub(super) const PERMIT_SEED: u64 = 0x5851_f42d_4c95_7f2d;
/// Shortest warm-up in seconds used in computations; it prevents a division by zero.
pub(super) const MIN_WARM_UP_SECS: f64 = 1e-3;
/// Period in seconds in which the first trial after a peer's report of an outage is sent. The time is random,
/// so that forwarders that receive the report together do not try together.
pub(super) const PEER_TRIAL_SPREAD_SECS: f64 = 2.0;
/// Lowest pace adopted from a peer, in calls per second; a lower pace would take too long to recover.
pub(super) const MIN_PEER_PACE: f64 = 0.5;

// ---- Connections.

/// Idle time in seconds from which a lost call may be due to a connection that was dropped without notice.
pub(super) const IDLE_RISK_SECS: f64 = 0.3;
/// Connections are assumed to be dropped after this share of an idle time that led to a lost call.
pub(super) const IDLE_LIMIT_SHARE: f64 = 0.5;
/// Growth factor of that time per review.
pub(super) const IDLE_LIMIT_GROWTH: f64 = 1.01;
/// Each served call raises the estimated capacity by this value divided by the capacity.
pub(super) const CAPACITY_GAIN: f64 = 0.2;
/// First wait in seconds after an endpoint rejected the only call for lack of connections; doubled with each
/// further one.
pub(super) const FIRST_CAPACITY_WAIT_SECS: f64 = 0.2;

// ---- Messages.

/// Share of an idempotency window that is used for retries; the rest covers transmission time and clock
/// differences.
pub(super) const WINDOW_SHARE: f64 = 0.85;
/// Share of the pending limit that is kept free for new messages.
pub(super) const PENDING_RESERVE: f64 = 0.06;
/// Cost of the early rejection of an accepted message that has surely not run, as a share of its weight
/// (operators' page). A rejection on arrival costs nothing.
pub(super) const EARLY_REJECT_COST: f64 = 0.3;
/// Share of a message's time to its deadline during which a rejection counts as early (operators' page).
pub(super) const EARLY_REJECT_UNTIL: f64 = 0.7;
/// Cost in points of waiting for a full latency objective at an endpoint.
pub(super) const LATE_COST: f64 = 0.2;
/// Retry-After in seconds for the rejection of a message whose deadline is reached.
pub(super) const EXPIRED_RETRY_AFTER_SECS: f64 = 1.0;

// ---- Other.

/// First backoff before the endpoint list is requested again, in seconds.
pub(super) const FIRST_WATCH_BACKOFF_SECS: f64 = 0.5;
/// Longest backoff before the endpoint list is requested again, in seconds.
pub(super) const MAX_WATCH_BACKOFF_SECS: f64 = 4.0;
/// Half width of the random spread of trials and backoffs, as a share of their duration.
pub(super) const JITTER: f64 = 0.2;
/// Number of clock ticks by which an answer precedes the deadline, so that it is never late.
pub(super) const DEADLINE_MARGIN_TICKS: u64 = 2;
