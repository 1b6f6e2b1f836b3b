//! The fleet's hard cases in virtual time.
mod scenes;
use rstest::rstest;

#[rstest]
fn each_fault_is_known_within_its_bound(#[values(1, 2, 3)] seed: u64, #[values(3, 12, 40)] count: usize) {
    scenes::each_fault_is_known_within_its_bound(seed, count);
}

#[rstest]
fn the_sides_of_a_cut_know_what_they_are(#[values(4, 5, 6)] seed: u64) {
    scenes::the_sides_of_a_cut_know_what_they_are(seed);
}

#[rstest]
#[case::killed(false)]
#[case::said_goodbye(true)]
fn a_restart_within_the_smaller_side_founds_no_fleet(#[case] goodbye: bool) {
    scenes::a_restart_within_the_smaller_side_founds_no_fleet(goodbye);
}

#[test]
fn a_member_that_reaches_all_but_one_is_not_taken_for_dead() {
    scenes::a_member_that_reaches_all_but_one_is_not_taken_for_dead();
}

#[rstest]
#[case::loses_much(0.15, 0)]
#[case::is_slow(0.0, 300)]
fn a_bad_line_is_no_death_and_a_death_is_one(#[case] lost: f64, #[case] delay: u64) {
    scenes::a_bad_line_is_no_death_and_a_death_is_one(lost, delay);
}

#[rstest]
fn whoever_stood_still_blames_nobody(#[values(1, 2, 3, 4)] seed: u64) {
    scenes::whoever_stood_still_blames_nobody(seed);
}

#[rstest]
fn a_third_at_a_time_for_five_rounds_under_loss(#[values(11, 12)] seed: u64) {
    scenes::a_third_at_a_time_for_five_rounds_under_loss(seed);
}

#[test]
fn all_restart_within_a_second_with_the_seeds_dead() {
    scenes::all_restart_within_a_second_with_the_seeds_dead();
}

#[test]
fn a_seed_that_is_cut_off_keeps_nobody_apart() {
    scenes::a_seed_that_is_cut_off_keeps_nobody_apart();
}

#[test]
fn a_member_with_an_earlier_life_is_there_again_at_once() {
    scenes::a_member_with_an_earlier_life_is_there_again_at_once();
}

#[test]
fn an_address_that_another_name_takes_over_is_its_own() {
    scenes::an_address_that_another_name_takes_over_is_its_own();
}

#[test]
fn a_name_that_is_claimed_twice_is_the_later_ones() {
    scenes::a_name_that_is_claimed_twice_is_the_later_ones();
}

#[test]
fn a_forged_end_and_an_earlier_life_change_nothing() {
    scenes::a_forged_end_and_an_earlier_life_change_nothing();
}

#[test]
fn forged_names_fill_a_bounded_table_and_count_for_nothing() {
    scenes::forged_names_fill_a_bounded_table_and_count_for_nothing();
}

#[test]
fn noise_changes_nothing() {
    scenes::noise_changes_nothing();
}

#[test]
fn two_fleets_that_meet_stay_two() {
    scenes::two_fleets_that_meet_stay_two();
}

#[test]
fn facts_are_with_all_and_only_their_owner_writes_them() {
    scenes::facts_are_with_all_and_only_their_owner_writes_them();
}

#[test]
fn a_goodbye_is_told_apart_from_silence() {
    scenes::a_goodbye_is_told_apart_from_silence();
}
