//! How long the list may go without being asked for: one formula over all pauses, delays and time-outs.
//!
//! Whatever discovery has to tell counts as told [`TOLD_AFTER`] after a watch fell silent, and so long after discovery
//! had it and could be reached, whatever became of earlier calls. So from the moment in which an ask is owed, a pause, a
//! few asks that stay silent, and one that is answered have to fit in: `worst_case`.
use std::time::Duration;

/// What a watch has not brought counts as told so long after it fell silent, and what discovery has so long after it
/// could be reached.
pub const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The same after the address of discovery has changed.
pub const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// While nothing changes, a watch says so at this interval.
pub const KEEPALIVE: Duration = Duration::from_secs(2);
/// By so much a word may be late before its watch is taken for broken.
const KEEPALIVE_SLACK: Duration = Duration::from_millis(500);

/// While nothing has been heard, a further watch is opened after this interval; the earlier ones go on.
pub const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// So many asks in a row may stay silent, and one more still be answered in time.
const SILENT_ASKS: u32 = 2;
/// So long the one that is answered may take: a lost first packet goes out again after a second.
const ANSWER_WITHIN: Duration = Duration::from_millis(1200);
/// For this process to act on what it has read, on a core that it shares with others.
const MARGIN: Duration = Duration::from_millis(200);
/// An ask that has heard nothing for so long is given up. Bounds how many are under way at once.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time from the moment in which an ask is owed until its answer has been acted on: it starts after a pause,
/// and so many asks before the one that is answered stay silent.
const fn worst_case(pause: Duration, silent_asks: u32) -> Duration {
    pause
        .saturating_add(ASK_INTERVAL.saturating_mul(silent_asks))
        .saturating_add(ANSWER_WITHIN)
        .saturating_add(MARGIN)
}

/// Silence from which a watch is taken for broken.
pub const SILENCE: Duration = TOLD_AFTER.saturating_sub(worst_case(Duration::ZERO, SILENT_ASKS));
/// The longest pause before an ask, at the start and after asks that failed.
pub const LONGEST_PAUSE: Duration = SILENCE;
/// The longest pause before the first ask at a new address.
pub const LONGEST_MOVE_PAUSE: Duration = TOLD_AFTER_MOVE.saturating_sub(worst_case(Duration::ZERO, 1));

/// Where several forwarders ask one place on request, the bounds are longer than the formula allows, and known to be: with
/// pauses inside it a hundred asked more often than their discovery could answer, which then answered nobody
/// (docs/design/terms.md). The longest spread of their first asks, of those after a move, and the longest pause.
pub const SHARED_FIRST_PAUSE: Duration = Duration::from_secs(5);
pub const SHARED_MOVE_PAUSE: Duration = Duration::from_secs(3);
pub const SHARED_LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// The longest pause of a forwarder.
pub fn longest_pause(shared: bool) -> Duration {
    if shared {
        SHARED_LONGEST_PAUSE
    } else {
        LONGEST_PAUSE
    }
}

const _: () = assert!(worst_case(SILENCE, SILENT_ASKS).as_millis() <= TOLD_AFTER.as_millis());
const _: () = assert!(worst_case(LONGEST_PAUSE, SILENT_ASKS).as_millis() <= TOLD_AFTER.as_millis());
const _: () = assert!(worst_case(LONGEST_MOVE_PAUSE, 1).as_millis() <= TOLD_AFTER_MOVE.as_millis());
const _: () = assert!(
    SILENCE.as_millis() >= KEEPALIVE.saturating_add(KEEPALIVE_SLACK).as_millis(),
    "a word may be late"
);
