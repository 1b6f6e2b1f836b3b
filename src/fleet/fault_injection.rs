//! Faults that are put into the fleet's code on purpose, to see that the lab's scenes find them. Not in the daemon: without
//! the feature `seeded` nothing is ever broken, and the compiler leaves each of these places out.

/// The faults, by name. `crates/lab/tests/seeded.rs` says which scene finds which.
pub const ALL: [&str; 15] = [
    "never renews",
    "keeps an earlier life",
    "suspicion begins anew",
    "suspicion is short",
    "suspicion never ends",
    "remembered are not greeted",
    "views are not compared",
    "goodbye without a word",
    "silence shrinks the base",
    "joiner founds a fleet",
    "older facts are taken",
    "forged facts stand",
    "groups are not told apart",
    "both keep a name",
    "gossip counts",
];

#[cfg(feature = "seeded")]
thread_local! {
    static BROKEN: std::cell::Cell<Option<&'static str>> = const { std::cell::Cell::new(None) };
}

/// Breaks one thing for all nodes of this thread, or mends it.
#[cfg(feature = "seeded")]
pub fn set(what: Option<&'static str>) {
    BROKEN.set(what);
}

/// Whether a thing is broken.
#[cfg(feature = "seeded")]
pub(crate) fn broken(what: &str) -> bool {
    BROKEN.get() == Some(what)
}

/// Nothing is.
#[cfg(not(feature = "seeded"))]
#[inline(always)]
pub(crate) const fn broken(_: &str) -> bool {
    false
}
