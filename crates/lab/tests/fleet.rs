//! Runs the scenarios of `scenarios` in virtual time.
mod scenarios;
use rstest::rstest;
use scenarios::Stop;

#[rstest]
fn each_leave_start_and_crash_is_known_within_its_bound(
    #[values(1, 2, 3)] seed: u64, #[values(3, 12, 40)] count: usize,
) {
    scenarios::each_leave_start_and_crash_is_known_within_its_bound(seed, count);
}

#[rstest]
fn each_side_of_a_partition_counts_present_and_unreachable_members(#[values(4, 5, 6)] seed: u64) {
    scenarios::each_side_of_a_partition_counts_present_and_unreachable_members(seed);
}

#[rstest]
#[case::killed(Stop::Killed)]
#[case::terminated(Stop::Terminated)]
fn a_restart_within_a_minority_forms_no_majority(#[case] stop: Stop) {
    scenarios::a_restart_within_a_minority_forms_no_majority(stop);
}

#[test]
fn a_member_that_one_peer_cannot_reach_is_not_declared_dead() {
    scenarios::a_member_that_one_peer_cannot_reach_is_not_declared_dead();
}

#[rstest]
#[case::lossy(0.15, 0)]
#[case::slow(0.0, 300)]
fn a_crash_is_detected_and_a_bad_link_causes_no_false_death(#[case] loss: f64, #[case] delay_millis: u64) {
    scenarios::a_crash_is_detected_and_a_bad_link_causes_no_false_death(loss, delay_millis);
}

#[rstest]
fn resumed_members_do_not_declare_running_members_dead(#[values(1, 2, 3, 4)] seed: u64) {
    scenarios::resumed_members_do_not_declare_running_members_dead(seed);
}

#[rstest]
fn the_fleet_settles_after_rolling_restarts_under_loss(#[values(11, 12)] seed: u64) {
    scenarios::the_fleet_settles_after_rolling_restarts_under_loss(seed);
}

#[test]
fn the_fleet_settles_after_a_full_restart_without_its_seeds() {
    scenarios::the_fleet_settles_after_a_full_restart_without_its_seeds();
}

#[test]
fn a_restarted_member_rejoins_while_the_seeds_are_unreachable() {
    scenarios::a_restarted_member_rejoins_while_the_seeds_are_unreachable();
}

#[test]
fn a_member_that_restarts_with_a_lower_incarnation_rejoins_with_a_higher_one() {
    scenarios::a_member_that_restarts_with_a_lower_incarnation_rejoins_with_a_higher_one();
}

#[test]
fn a_member_with_another_name_replaces_a_dead_member_at_its_address() {
    scenarios::a_member_with_another_name_replaces_a_dead_member_at_its_address();
}

#[test]
fn of_two_members_with_one_name_the_lower_incarnation_withdraws() {
    scenarios::of_two_members_with_one_name_the_lower_incarnation_withdraws();
}

#[test]
fn a_member_refutes_forged_departures_and_earlier_incarnations() {
    scenarios::a_member_refutes_forged_departures_and_earlier_incarnations();
}

#[test]
fn forged_members_stay_within_the_table_limit_and_do_not_count() {
    scenarios::forged_members_stay_within_the_table_limit_and_do_not_count();
}

#[test]
fn random_datagrams_do_not_change_the_view() {
    scenarios::random_datagrams_do_not_change_the_view();
}

#[test]
fn two_groups_that_reach_each_other_stay_separate() {
    scenarios::two_groups_that_reach_each_other_stay_separate();
}

#[test]
fn attributes_reach_all_members_and_forged_ones_are_replaced() {
    scenarios::attributes_reach_all_members_and_forged_ones_are_replaced();
}

#[test]
fn a_member_that_left_is_distinguished_from_a_silent_one() {
    scenarios::a_member_that_left_is_distinguished_from_a_silent_one();
}
