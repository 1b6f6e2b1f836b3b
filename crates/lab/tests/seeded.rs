//! Each fault that is put into the fleet's code on purpose is found by a scene, and without one all scenes hold.
mod scenes;
use micaladder::fleet::fault_injection;
use std::panic::catch_unwind;

type Scene = (&'static str, fn());

const SCENES: [Scene; 18] = [
    ("bounds of 3", || scenes::each_fault_is_known_within_its_bound(1, 3)),
    ("bounds of 12", || scenes::each_fault_is_known_within_its_bound(2, 12)),
    ("sides", || scenes::the_sides_of_a_cut_know_what_they_are(4)),
    ("restart within a side", || scenes::a_restart_within_the_smaller_side_founds_no_fleet(true)),
    ("all but one", scenes::a_member_that_reaches_all_but_one_is_not_taken_for_dead),
    ("lossy lines", || scenes::a_bad_line_is_no_death_and_a_death_is_one(0.15, 0)),
    ("a slow line", || scenes::a_bad_line_is_no_death_and_a_death_is_one(0.0, 300)),
    ("standing still", || scenes::whoever_stood_still_blames_nobody(1)),
    ("a third at a time", || scenes::a_third_at_a_time_for_five_rounds_under_loss(11)),
    ("all without seeds", scenes::all_restart_within_a_second_with_the_seeds_dead),
    ("a seed cut off", scenes::a_seed_that_is_cut_off_keeps_nobody_apart),
    ("an earlier life", scenes::a_member_with_an_earlier_life_is_there_again_at_once),
    ("a name twice", scenes::a_name_that_is_claimed_twice_is_the_later_ones),
    ("a forged end", scenes::a_forged_end_and_an_earlier_life_change_nothing),
    ("a full table", scenes::forged_names_fill_a_bounded_table_and_count_for_nothing),
    ("two fleets", scenes::two_fleets_that_meet_stay_two),
    ("facts", scenes::facts_are_with_all_and_only_their_owner_writes_them),
    ("goodbyes", scenes::a_goodbye_is_told_apart_from_silence),
];

/// Scenes that do not hold.
fn found(what: Option<&'static str>) -> Vec<&'static str> {
    seeded::set(what);
    let broke = SCENES.into_iter().filter(|(_, scene)| catch_unwind(scene).is_err()).map(|(name, _)| name);
    let broke = broke.collect();
    seeded::set(None);
    broke
}

#[test]
fn each_fault_is_found_and_nothing_else_is() {
    // What the scenes say while they break is not for the reader of this test.
    std::panic::set_hook(Box::new(|_| {}));
    let whole = found(None);
    let missed: Vec<&str> = seeded::ALL
        .into_iter()
        .filter(|fault| {
            let by = found(Some(fault));
            println!("{fault}: {}", by.join(", "));
            by.is_empty()
        })
        .collect();
    let _ = std::panic::take_hook();
    assert!(whole.is_empty(), "without a fault: {whole:?}");
    assert!(missed.is_empty(), "found by no scene: {missed:?}");
}
