//! Checks that at least one scenario fails with each injected defect, and that all scenarios pass without a defect.
mod scenarios;
use micaladder::fleet::fault_injection::{self, Defect};
use scenarios::Stop;
use std::panic::catch_unwind;

/// A scenario and the name under which it is printed.
struct Scenario {
    name: &'static str,
    run: fn(),
}

const fn scenario(name: &'static str, run: fn()) -> Scenario {
    Scenario { name, run }
}

const SCENARIOS: [Scenario; 18] = [
    scenario("bounds with 3 members", || {
        scenarios::each_leave_start_and_crash_is_known_within_its_bound(1, 3)
    }),
    scenario("bounds with 12 members", || {
        scenarios::each_leave_start_and_crash_is_known_within_its_bound(2, 12)
    }),
    scenario("both sides of a partition", || {
        scenarios::each_side_of_a_partition_counts_present_and_unreachable_members(4)
    }),
    scenario("restart within a minority", || {
        scenarios::a_restart_within_a_minority_forms_no_majority(Stop::Terminated);
    }),
    scenario("one unreachable pair", scenarios::a_member_that_one_peer_cannot_reach_is_not_declared_dead),
    scenario("lossy links", || scenarios::a_crash_is_detected_and_a_bad_link_causes_no_false_death(0.15, 0)),
    scenario("a slow member", || {
        scenarios::a_crash_is_detected_and_a_bad_link_causes_no_false_death(0.0, 300)
    }),
    scenario("suspended members", || scenarios::resumed_members_do_not_declare_running_members_dead(1)),
    scenario("rolling restarts", || scenarios::the_fleet_settles_after_rolling_restarts_under_loss(11)),
    scenario(
        "full restart without seeds",
        scenarios::the_fleet_settles_after_a_full_restart_without_its_seeds,
    ),
    scenario("unreachable seeds", scenarios::a_restarted_member_rejoins_while_the_seeds_are_unreachable),
    scenario(
        "a lower incarnation",
        scenarios::a_member_that_restarts_with_a_lower_incarnation_rejoins_with_a_higher_one,
    ),
    scenario(
        "two members with one name",
        scenarios::of_two_members_with_one_name_the_lower_incarnation_withdraws,
    ),
    scenario(
        "forged records of a member",
        scenarios::a_member_refutes_forged_departures_and_earlier_incarnations,
    ),
    scenario("many forged members", scenarios::forged_members_stay_within_the_table_limit_and_do_not_count),
    scenario("two groups", scenarios::two_groups_that_reach_each_other_stay_separate),
    scenario("attributes", scenarios::attributes_reach_all_members_and_forged_ones_are_replaced),
    scenario("leave messages", scenarios::a_member_that_left_is_distinguished_from_a_silent_one),
];

/// Returns the names of the scenarios that fail with a defect.
fn failing_scenarios(defect: Option<Defect>) -> Vec<&'static str> {
    fault_injection::inject(defect);
    let failing = SCENARIOS.iter().filter(|scenario| catch_unwind(scenario.run).is_err());
    let names = failing.map(|scenario| scenario.name).collect();
    fault_injection::inject(None);
    names
}

#[test]
fn each_defect_fails_a_scenario_and_all_scenarios_pass_without_a_defect() {
    // Failing scenarios panic as expected, so their messages are suppressed.
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
    assert!(
        failing_without_defect.is_empty(),
        "scenarios that fail without a defect: {failing_without_defect:?}"
    );
    assert!(undetected.is_empty(), "defects that no scenario detects: {undetected:?}");
}
