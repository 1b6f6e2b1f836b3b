//! What holds at any moment. Each property is shown to find a fault that is injected.
use super::model::{FolderModel, InjectedFault};
use rstest::rstest;
use stateright::{Checker, Model};

#[test]
fn two_processes_with_one_folder_keep_all_properties_in_every_interleaving() {
    let done = FolderModel(InjectedFault::None).checker().threads(2).spawn_bfs().join();
    println!("{} states", done.unique_state_count());
    assert!(done.unique_state_count() > 10_000, "{} states", done.unique_state_count());
    done.assert_properties();
}

#[rstest]
#[case(InjectedFault::OwnerLockReleasedFirst)]
#[case(InjectedFault::OutcomeOfAnyAttempt)]
#[case(InjectedFault::PredecessorForgotten)]
#[case(InjectedFault::OrderingKeyForgotten)]
#[case(InjectedFault::FullJournalReleased)]
#[case(InjectedFault::AcceptsAfterRelease)]
fn an_injected_fault_is_found(#[case] fault: InjectedFault) {
    let done = FolderModel(fault)
        .checker()
        .threads(2)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let rules = ["no rule is broken", "one serves at a time", "who serves owns the journal"];
    let found = done.discoveries().into_keys().any(|name| rules.contains(&name));
    assert!(found, "{fault:?} is not found in {} states", done.unique_state_count());
}
