//! The fleet's hard cases in virtual time.
mod scenarios;
use rstest::rstest;
use scenarios::End;

#[rstest]
fn each_change_is_known_within_its_bound(#[values(1, 2, 3)] seed: u64, #[values(3, 12, 40)] count: usize) {
    scenarios::each_change_is_known_within_its_bound(seed, count);
}

#[rstest]
fn each_side_of_a_partition_knows_its_size(#[values(4, 5, 6)] seed: u64) {
    scenarios::each_side_of_a_partition_knows_its_size(seed);
}

#[rstest]
#[case::killed(End::Killed)]
#[case::terminated(End::Terminated)]
fn a_restart_within_a_minority_founds_no_fleet(#[case] end: End) {
    scenarios::a_restart_within_a_minority_founds_no_fleet(end);
}

#[test]
fn a_member_that_all_but_one_reach_is_not_declared_dead() {
    scenarios::a_member_that_all_but_one_reach_is_not_declared_dead();
}

#[rstest]
#[case::lossy(0.15, 0)]
#[case::slow(0.0, 300)]
fn a_bad_link_is_no_crash_and_a_crash_is_one(#[case] loss: f64, #[case] delay_millis: u64) {
    scenarios::a_bad_link_is_no_crash_and_a_crash_is_one(loss, delay_millis);
}

#[rstest]
fn a_suspended_process_blames_nobody(#[values(1, 2, 3, 4)] seed: u64) {
    scenarios::a_suspended_process_blames_nobody(seed);
}

#[rstest]
fn rolling_restarts_by_thirds_under_loss(#[values(11, 12)] seed: u64) {
    scenarios::rolling_restarts_by_thirds_under_loss(seed);
}

#[test]
fn all_restart_within_a_second_with_dead_seeds() {
    scenarios::all_restart_within_a_second_with_dead_seeds();
}

#[test]
fn unreachable_seeds_keep_nobody_apart() {
    scenarios::unreachable_seeds_keep_nobody_apart();
}

#[test]
fn a_member_with_an_earlier_incarnation_is_present_at_once() {
    scenarios::a_member_with_an_earlier_incarnation_is_present_at_once();
}

#[test]
fn an_address_passes_to_another_name() {
    scenarios::an_address_passes_to_another_name();
}

#[test]
fn a_name_that_two_claim_is_the_later_ones() {
    scenarios::a_name_that_two_claim_is_the_later_ones();
}

#[test]
fn a_forged_departure_and_an_earlier_incarnation_change_nothing() {
    scenarios::a_forged_departure_and_an_earlier_incarnation_change_nothing();
}

#[test]
fn forged_members_fill_a_bounded_table_and_do_not_count() {
    scenarios::forged_members_fill_a_bounded_table_and_do_not_count();
}

#[test]
fn noise_changes_nothing() {
    scenarios::noise_changes_nothing();
}

#[test]
fn two_groups_that_reach_each_other_stay_two() {
    scenarios::two_groups_that_reach_each_other_stay_two();
}

#[test]
fn attributes_reach_all_and_only_their_owner_writes_them() {
    scenarios::attributes_reach_all_and_only_their_owner_writes_them();
}

#[test]
fn a_goodbye_is_told_apart_from_silence() {
    scenarios::a_goodbye_is_told_apart_from_silence();
}
