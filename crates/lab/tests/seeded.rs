//! Each injected defect is detected by a scenario, and without one all scenarios hold.
mod scenarios;
use micaladder::fleet::fault_injection::{self, Defect};
use scenarios::End;
use std::panic::catch_unwind;

struct Scenario {
    name: &'static str,
    run: fn(),
}

const fn scenario(name: &'static str, run: fn()) -> Scenario {
    Scenario { name, run }
}

const SCENARIOS: [Scenario; 18] = [
    scenario("bounds of 3", || scenarios::each_change_is_known_within_its_bound(1, 3)),
    scenario("bounds of 12", || scenarios::each_change_is_known_within_its_bound(2, 12)),
    scenario("sides of a partition", || scenarios::each_side_of_a_partition_knows_its_size(4)),
    scenario("restart within a minority", || {
        scenarios::a_restart_within_a_minority_founds_no_fleet(End::Terminated);
    }),
    scenario("all but one", scenarios::a_member_that_all_but_one_reach_is_not_declared_dead),
    scenario("lossy links", || scenarios::a_bad_link_is_no_crash_and_a_crash_is_one(0.15, 0)),
    scenario("a slow link", || scenarios::a_bad_link_is_no_crash_and_a_crash_is_one(0.0, 300)),
    scenario("suspension", || scenarios::a_suspended_process_blames_nobody(1)),
    scenario("rolling restarts", || scenarios::rolling_restarts_by_thirds_under_loss(11)),
    scenario("restart with dead seeds", scenarios::all_restart_within_a_second_with_dead_seeds),
    scenario("unreachable seeds", scenarios::unreachable_seeds_keep_nobody_apart),
    scenario("an earlier incarnation", scenarios::a_member_with_an_earlier_incarnation_is_present_at_once),
    scenario("a name twice", scenarios::a_name_that_two_claim_is_the_later_ones),
    scenario("a forged departure", scenarios::a_forged_departure_and_an_earlier_incarnation_change_nothing),
    scenario("a full table", scenarios::forged_members_fill_a_bounded_table_and_do_not_count),
    scenario("two groups", scenarios::two_groups_that_reach_each_other_stay_two),
    scenario("attributes", scenarios::attributes_reach_all_and_only_their_owner_writes_them),
    scenario("goodbyes", scenarios::a_goodbye_is_told_apart_from_silence),
];

/// The scenarios that do not hold with a defect.
fn failing_scenarios(defect: Option<Defect>) -> Vec<&'static str> {
    fault_injection::inject(defect);
    let failing = SCENARIOS.iter().filter(|scenario| catch_unwind(scenario.run).is_err());
    let names = failing.map(|scenario| scenario.name).collect();
    fault_injection::inject(None);
    names
}

#[test]
fn each_defect_is_detected_and_nothing_else_is() {
    // The panics of failing scenarios are expected, and not for the reader of this test.
    std::panic::set_hook(Box::new(|_| {}));
    let failing_without_defect = failing_scenarios(None);
    let mut undetected = Vec::new();
    for defect in fault_injection::ALL {
        let failing = failing_scenarios(Some(defect));
        println!("{defect:?}: {}", failing.join(", "));
        if failing.is_empty() {
            undetected.push(defect);
        }
    }
    let _ = std::panic::take_hook();
    assert!(failing_without_defect.is_empty(), "without a defect: {failing_without_defect:?}");
    assert!(undetected.is_empty(), "detected by no scenario: {undetected:?}");
}
