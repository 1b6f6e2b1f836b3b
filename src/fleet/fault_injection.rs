//! Fault injection: defects of the fleet's code that can be enabled to check that the lab's scenarios detect them. Without
//! the cargo feature `seeded` no defect can be enabled, and the compiler removes all injection points from the daemon.

/// A defect. `crates/lab/tests/seeded.rs` checks that at least one scenario detects each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A member that was declared dead does not rejoin under a higher incarnation.
    NeverRenews,
    /// A member keeps its incarnation although other members know a higher one.
    KeepsEarlierIncarnation,
    /// Each failed probe restarts the timeout of the suspicion.
    SuspicionRestarts,
    /// Suspicions expire after a tenth of their timeout.
    SuspicionExpiresEarly,
    /// Suspicions never expire.
    SuspicionNeverExpires,
    /// A member announces itself to the seed addresses only, and not to remembered members.
    RememberedNotAnnounced,
    /// Views are not compared, so that lost records are never repaired.
    ViewsNotCompared,
    /// A member does not announce that it leaves.
    LeaveNotAnnounced,
    /// Silent members are removed from the quorum base.
    SilenceShrinksQuorumBase,
    /// A joining member agrees on a fleet within a minority.
    JoinerAgreesWithinMinority,
    /// Records are accepted regardless of their revision.
    OldRecordsAccepted,
    /// A member does not override forged attributes of its own record.
    ForgedAttributesKept,
    /// Datagrams of other groups are accepted.
    GroupsNotSeparated,
    /// Neither of two members with the same name withdraws.
    BothKeepName,
    /// Members count for a majority without being authenticated.
    UnauthenticatedCount,
}

/// All defects.
pub const ALL: [Defect; 15] = [
    Defect::NeverRenews,
    Defect::KeepsEarlierIncarnation,
    Defect::SuspicionRestarts,
    Defect::SuspicionExpiresEarly,
    Defect::SuspicionNeverExpires,
    Defect::RememberedNotAnnounced,
    Defect::ViewsNotCompared,
    Defect::LeaveNotAnnounced,
    Defect::SilenceShrinksQuorumBase,
    Defect::JoinerAgreesWithinMinority,
    Defect::OldRecordsAccepted,
    Defect::ForgedAttributesKept,
    Defect::GroupsNotSeparated,
    Defect::BothKeepName,
    Defect::UnauthenticatedCount,
];

#[cfg(feature = "seeded")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Enables a defect in all nodes that run on this thread; `None` disables it.
#[cfg(feature = "seeded")]
pub fn inject(defect: Option<Defect>) {
    INJECTED.set(defect);
}

/// Returns whether a defect is enabled on this thread.
#[cfg(feature = "seeded")]
pub(crate) fn is_injected(defect: Defect) -> bool {
    INJECTED.get() == Some(defect)
}

/// Returns whether a defect is enabled; always `false` in a build without the feature `seeded`.
#[cfg(not(feature = "seeded"))]
#[inline(always)]
pub(crate) const fn is_injected(_: Defect) -> bool {
    false
}
