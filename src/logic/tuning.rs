//! Tuning constants, each with its unit and the reason for its value. Symbols of the design page come first,
//! in backticks.
use crate::interface::Nanos;

// ---- Slots and the ready queue.

/// `slot share`: Share of the slots that a healthy destination stays under.
pub(super) const HEALTHY_SLOT_SHARE: f64 = 0.75;
/// `slot share`: Share of the slots that slow and failing destinations may hold together.
pub(super) const UNHEALTHY_SLOT_SHARE: f64 = 0.5;
/// Latency over this many times the lowest mean seen makes an endpoint slow: well above its usual variation.
pub(super) const SLOW_FACTOR: f64 = 3.0;
/// Share of the slots that calls past their answer time-out may hold together; the others stay for calls that
/// are answered.
pub(super) const UNANSWERED_SLOT_SHARE: f64 = 0.25;
/// `ARRmin`: Below this share of L the cap on η is waived, so that no slot idles for fairness' sake.
pub(super) const ARR_MIN_SHARE: f64 = 0.25;
/// `LexASmax`: Deficit under the cap, in ready queues of mean weight.
pub(super) const LEXAS_MAX: f64 = 1.0;
/// `LexASmin`: Deficit that a lagging flow may bring, in the same unit: twice the cap, as in the paper.
pub(super) const LEXAS_MIN: f64 = 2.0;

// ---- Gains.

/// `κ`: Gain at the start.
pub(super) const INITIAL_GAIN: f64 = 1.0;
/// `γ`: Gain added for a missed latency objective; one κ, so a first miss doubles a share.
pub(super) const GAIN_STEP: f64 = 1.0;
/// Share of the latency objective that a message may wait here.
pub(super) const OBJECTIVE_WAIT_SHARE: f64 = 0.5;
/// Share of an extra gain, and of a class's loss share, that a review keeps: half is gone after seven
/// reviews.
pub(super) const REVIEW_KEEP: f64 = 0.9;
/// Gains are halved together once one is above this many κ, so that large gains shrink (design page).
pub(super) const MAX_GAIN_FACTOR: f64 = 8.0;
/// `few rounds`: Time between reviews of gains, rates and idle destinations: several latency objectives of
/// traffic fit in.
pub(super) const REVIEW_INTERVAL: Nanos = Nanos(1_000_000_000);
/// Idle destinations lose their counts after this time (design page).
pub(super) const IDLE_DESTINATION_RESET_AFTER: Nanos = Nanos(60_000_000_000);
/// Weight of a second in the demand: about the last ten seconds count.
pub(super) const DEMAND_GAIN: f64 = 0.1;
/// Weight of a second in the served rate: about the last three seconds count.
pub(super) const SERVED_RATE_GAIN: f64 = 0.3;
/// Longest backlog counted, in seconds.
pub(super) const MAX_BACKLOG_SECS: f64 = 30.0;

// ---- Pace.

/// Lowest pace where no limit is known, in calls a second (design page).
pub(super) const MIN_PACE: f64 = 1.0;
/// Share of the pace that is left after a rejection (design page).
pub(super) const PACE_REDUCTION_FACTOR: f64 = 0.5;
/// Lowest pace as a share of an even part of a known limit.
pub(super) const MIN_PACE_SHARE: f64 = 0.25;
/// Time in seconds after which the pace is back at the rate that was rejected.
pub(super) const PACE_RECOVERY_SECS: f64 = 4.0;
/// Share that is kept of a rate rejected below the level of the rejection before it.
pub(super) const LOWER_REJECTION_FACTOR: f64 = 0.9;
/// Longest gap between calls at the lowest pace, in seconds.
pub(super) const MAX_CALL_GAP_SECS: f64 = 8.0;
/// Seconds of the rate that may go at once; short, so that a burst cannot spend a limit's span.
pub(super) const BURST_SECS: f64 = 0.5;
/// Least first backoff, in seconds, after a rejection without Retry-After; else the time of one call at half
/// of an even part of the limit, within the latency objective. Doubled with each consecutive rejection.
pub(super) const MIN_FIRST_BACKOFF_SECS: f64 = 0.5;
/// Doublings of a backoff at most: beyond them other bounds hold, and the power stays small.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Reported share of a limit left from which a rejection is not due to the limit; reports come late, so not
/// near zero.
pub(super) const LIMIT_NOT_REACHED_SHARE: f64 = 0.5;

// ---- Health.

/// Weight of a new latency sample: the 1/8 of RFC 6298, section 2.
pub(super) const LATENCY_GAIN: f64 = 0.125;
/// Mean deviations above the mean latency without any answer after which a call counts as unanswered: the 4
/// of RFC 6298, section 2.
pub(super) const ANSWER_TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Least time without any answer after which a call counts as unanswered, in seconds.
pub(super) const MIN_ANSWER_TIMEOUT_SECS: f64 = 0.75;
/// The same in seconds while no latency is known.
pub(super) const DEFAULT_ANSWER_TIMEOUT_SECS: f64 = 2.0;
/// Weight of one outcome in a failure share; see `FAILURE_SHARE_OPEN`.
pub(super) const FAILURE_GAIN: f64 = 0.3;
/// Failure share that opens the breaker: seven failures in a row.
pub(super) const BREAKER_FAILURE_SHARE: f64 = 0.9;
/// Consecutive unanswered calls that open the breaker: one lost call is no outage.
pub(super) const BREAKER_UNANSWERED_CALLS: u32 = 2;
/// A Retry-After of this many seconds is an outage, and an outage this short was none.
pub(super) const MIN_OUTAGE_SECS: f64 = 2.5;
/// Least gap between trials of an open breaker, in seconds.
pub(super) const MIN_TRIAL_GAP_SECS: f64 = 1.0;
/// Longest gap between trials of an open breaker, in seconds.
pub(super) const MAX_TRIAL_GAP_SECS: f64 = 3.0;
/// Gap between trials as a share of the outage so far.
pub(super) const TRIAL_GAP_SHARE: f64 = 0.4;
/// Tokens at most that an endpoint starts with which is suspected on account of another of its route.
pub(super) const MAX_SUSPECTED_ROUTE_TOKENS: f64 = 2.0;
/// Slow start: least rate of all forwarders together, in calls a second.
pub(super) const MIN_SLOW_START_RATE: f64 = 1.0;
/// Slow start: part of an even share of the listed rate that counts as demand, where the own demand is less.
pub(super) const EVEN_SHARE_DEMAND_FACTOR: f64 = 0.8;
/// Least warm-up in seconds that is computed with, so that no division by zero occurs.
pub(super) const MIN_WARM_UP_SECS: f64 = 1e-3;
/// Span in seconds within which the first trial after a peer's report of an outage goes out, at a random
/// moment: forwarders that hear of it together must not try together.
pub(super) const PEER_TRIAL_SPREAD_SECS: f64 = 2.0;
/// Lowest pace taken from a peer, in calls a second: a lower one would take too long to rise.
pub(super) const MIN_PEER_PACE: f64 = 0.5;

// ---- Connections.

/// Time without use, in seconds, from which a lost call may be due to a connection that was dropped unseen.
pub(super) const IDLE_RISK_SECS: f64 = 0.3;
/// Part of an idle time that lost a call from which connections are assumed to be dropped.
pub(super) const IDLE_LIMIT_SHARE: f64 = 0.5;
/// Growth of that time with each review.
pub(super) const IDLE_LIMIT_GROWTH: f64 = 1.01;
/// What a served call adds to the calls that an endpoint takes at once, in parts of them.
pub(super) const CAPACITY_GAIN: f64 = 0.2;
/// Wait in seconds where an endpoint rejected the only call for want of connections.
pub(super) const FIRST_CAPACITY_WAIT_SECS: f64 = 0.2;

// ---- Messages.

/// Part of an idempotency window that may be used for retries; the rest covers travel time and clock
/// differences.
pub(super) const WINDOW_SHARE: f64 = 0.85;
/// Share of the pending limit kept free for new messages.
pub(super) const PENDING_RESERVE: f64 = 0.06;
/// Share of a message's weight that it costs to reject it early once it was accepted, if it surely never ran
/// (operators' page). Rejecting it on arrival costs nothing.
pub(super) const EARLY_REJECT_COST: f64 = 0.3;
/// Share of a message's time until which a rejection is early (operators' page).
pub(super) const EARLY_REJECT_UNTIL: f64 = 0.7;
/// Points for a full latency objective of waiting at an endpoint.
pub(super) const LATE_COST: f64 = 0.2;
/// Retry-After in seconds that goes with the rejection of a message whose time is up.
pub(super) const EXPIRED_RETRY_AFTER_SECS: f64 = 1.0;

// ---- Other.

/// First backoff before asking for the endpoint list again, in seconds.
pub(super) const FIRST_WATCH_BACKOFF_SECS: f64 = 0.5;
/// Longest backoff before asking for the endpoint list again, in seconds.
pub(super) const MAX_WATCH_BACKOFF_SECS: f64 = 4.0;
/// Half width of the random spread of trials and backoffs, as a share of them.
pub(super) const JITTER: f64 = 0.2;
/// Ticks of the clock by which a deadline is met early, so that an answer never comes late.
pub(super) const DEADLINE_MARGIN_TICKS: u64 = 2;
