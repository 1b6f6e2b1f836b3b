//! Defects that can be switched on in the fleet's code, to check that the lab's scenarios detect them. Without the cargo
//! feature `seeded` nothing is ever injected, and the compiler removes each of these places from the daemon.

/// A defect. `crates/lab/tests/seeded.rs` checks that each is detected by some scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A member that was declared dead does not rejoin under a later incarnation.
    NeverRenews,
    /// A member keeps its incarnation although others know a later one.
    KeepsEarlierIncarnation,
    /// Each failed probe restarts the suspicion.
    SuspicionRestarts,
    /// Suspicions expire ten times too early.
    SuspicionExpiresEarly,
    /// Suspicions do not expire.
    SuspicionNeverExpires,
    /// Remembered members are not greeted, only the seed addresses.
    RememberedNotAnnounced,
    /// Views are not compared, so that lost records stay lost.
    ViewsNotCompared,
    /// A member that leaves does not announce it.
    LeaveNotAnnounced,
    /// Silent members are dropped from the quorum base.
    SilenceShrinksQuorumBase,
    /// A member that joins agrees on a fleet with a minority.
    JoinerFoundsFleet,
    /// Records are accepted whatever their revision.
    OldRecordsAccepted,
    /// Forged attributes are not overridden by the member that they are about.
    ForgedAttributesStand,
    /// Datagrams of other groups are accepted.
    GroupsNotSeparated,
    /// Of two members with one name, neither withdraws.
    BothKeepName,
    /// Members count without having been authenticated.
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
    Defect::JoinerFoundsFleet,
    Defect::OldRecordsAccepted,
    Defect::ForgedAttributesStand,
    Defect::GroupsNotSeparated,
    Defect::BothKeepName,
    Defect::UnauthenticatedCount,
];

#[cfg(feature = "seeded")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Injects a defect into all nodes that this thread runs, or removes it.
#[cfg(feature = "seeded")]
pub fn inject(defect: Option<Defect>) {
    INJECTED.set(defect);
}

/// Whether a defect is injected on this thread.
#[cfg(feature = "seeded")]
pub(crate) fn is_injected(defect: Defect) -> bool {
    INJECTED.get() == Some(defect)
}

/// Whether a defect is injected: never in this build.
#[cfg(not(feature = "seeded"))]
#[inline(always)]
pub(crate) const fn is_injected(_: Defect) -> bool {
    false
}
