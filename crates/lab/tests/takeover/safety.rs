//! Checks safety: the model's properties hold in every state that can be reached, and injected faults violate them.
use super::model::{
    FolderModel, InjectedFault, AT_MOST_ONE_SERVES, NO_VIOLATION, SERVING_PROCESS_OWNS_JOURNAL,
};
use rstest::rstest;
use stateright::{Checker, Model};

#[test]
fn all_properties_hold_in_every_interleaving_of_two_processes() {
    let checker = FolderModel(InjectedFault::None).checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[rstest]
#[case(InjectedFault::OwnerLockReleasedFirst)]
#[case(InjectedFault::OutcomeOfOtherAttemptAccepted)]
#[case(InjectedFault::CallsOfPredecessorIgnored)]
#[case(InjectedFault::OrderingKeyIgnored)]
#[case(InjectedFault::UnwritableJournalReleased)]
#[case(InjectedFault::AcceptsAfterRelease)]
fn each_injected_fault_violates_a_safety_property(#[case] fault: InjectedFault) {
    let checker = FolderModel(fault)
        .checker()
        .threads(2)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let safety_properties = [NO_VIOLATION, AT_MOST_ONE_SERVES, SERVING_PROCESS_OWNS_JOURNAL];
    let is_violated = checker.discoveries().into_keys().any(|name| safety_properties.contains(&name));
    assert!(is_violated, "{fault:?} violates no safety property in {} states", checker.unique_state_count());
}
