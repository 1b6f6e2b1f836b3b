//! The members' views of a fleet of real processes, on a network whose links the tests control.
mod net;
mod peers_common;
mod stand;
use net::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of all waits, long enough for a machine that runs all other tests at the same time.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Shortest time after which a silent member is declared dead (`fleet::suspicion::MIN_TIMEOUT`).
const MIN_SUSPICION_SECS: f64 = 2.5;

/// Starts a fleet and waits until all members see each other; returns the fleet and the indices of its members.
fn start_fleet(seed: u64, count: usize) -> (Fleet, Vec<usize>) {
    let fleet = Fleet::start(seed, count, &[0, 1]);
    let all: Vec<usize> = (0..count).collect();
    assert!(
        fleet.wait_for_agreement(&all, TIMEOUT).is_some(),
        "the members do not find each other\n{}",
        fleet.timeline()
    );
    (fleet, all)
}

/// Checks that the members agreed on a change sooner than a suspicion of a silent member could have expired.
#[track_caller]
fn check_sooner_than_suspicion(fleet: &Fleet, change: &str, elapsed_secs: f64) {
    assert!(elapsed_secs < MIN_SUSPICION_SECS, "{change} after {elapsed_secs:.3} s\n{}", fleet.timeline());
}

/// A member that receives SIGTERM announces that it leaves. All others know it sooner than by suspicion, even if datagrams are
/// lost, and the member is present again at once when it restarts.
#[test]
fn a_planned_exit_is_announced_and_not_detected_by_suspicion() {
    let (mut fleet, all) = start_fleet(3, 8);
    fleet.set_links(&all, &all, Link { loss: 0.15, ..Link::default() });
    let terminated_at = fleet.terminate(7);
    let absent_at = fleet.wait_for_agreement(&all[..7], TIMEOUT).expect("the others still see the member");
    check_sooner_than_suspicion(&fleet, "absent", absent_at - terminated_at);
    fleet.members[7].wait_exit(TIMEOUT);
    fleet.heal();
    let restarted_at = fleet.restart(7, false);
    let present_at = fleet.wait_for_agreement(&all, TIMEOUT).expect("the member is not present again");
    check_sooner_than_suspicion(&fleet, "present", present_at - restarted_at);
}

/// All members are killed, and all but the seeds are started again. They find each other through their snapshots.
#[test]
fn members_find_each_other_without_seeds_through_their_snapshots() {
    let (mut fleet, all) = start_fleet(4, 6);
    // Each member writes its snapshot within a second.
    for n in &all {
        let file = fleet.members[*n].folder.join("state/fleet");
        let until = std::time::Instant::now() + TIMEOUT;
        while std::fs::metadata(&file).map_or(0, |m| m.len()) < 60 {
            assert!(std::time::Instant::now() < until, "n{n} has no snapshot");
            std::thread::yield_now();
        }
    }
    for n in &all {
        fleet.kill(*n);
    }
    for n in &all[2..] {
        fleet.restart(*n, false);
    }
    assert!(fleet.wait_for_agreement(&all[2..], TIMEOUT).is_some(), "{}", fleet.timeline());
}

/// A member that lost its state folder, and with it its incarnation number, is not mistaken for an earlier incarnation.
#[test]
fn a_member_with_an_empty_folder_is_present_again_at_once() {
    let (mut fleet, all) = start_fleet(5, 4);
    fleet.kill(3);
    let restarted_at = fleet.restart(3, true);
    // Members that have not yet detected its end see a restart. Its own view is complete once it sees the others.
    fleet.members[3].wait_log("member is up");
    let present_at = fleet.wait_for_agreement(&all, TIMEOUT).expect("the member is not present again");
    check_sooner_than_suspicion(&fleet, "present", present_at - restarted_at);
}

/// Runs `micaladder fleet show` for the member at `address` and returns its exit code and output.
fn show(fleet: &Fleet, address: SocketAddr, more_flags: &[&str]) -> (Option<i32>, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_micaladder"));
    command
        .args(["fleet", "show", &format!("--ask={address}")])
        .args(fleet.client_credentials())
        .args(more_flags);
    let output = command.output().expect("cannot run micaladder");
    (output.status.code(), String::from_utf8(output.stdout).expect("the output is not UTF-8"))
}

/// Polls a member's view until it satisfies `is_wanted`; returns the last view, also if it never does.
fn poll_view(
    fleet: &Fleet, member: usize, is_wanted: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    let until = std::time::Instant::now() + TIMEOUT;
    loop {
        let (_, text) = show(fleet, fleet.listen_address(member), &["--json"]);
        let view: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        if is_wanted(&view) || std::time::Instant::now() > until {
            return view;
        }
    }
}

/// Any member shows which members are present, which have left and which are dead, and its side of a partition. The exit code
/// says whether all members have the same view.
#[test]
fn each_member_shows_the_states_of_all_members() {
    let (mut fleet, all) = start_fleet(6, 5);
    let view = poll_view(&fleet, 1, |v| v["agreed"] == true && v["last_agreed"] == 5);
    assert_eq!((&view["counted"], &view["side"]), (&5.into(), &"majority".into()), "{view:#}");
    for member in view["members"].as_array().expect("no list of members") {
        assert_eq!(
            (&member["state"], &member["counts"], &member["epoch"]),
            (&"alive".into(), &true.into(), &1.into())
        );
        assert_eq!(member["version"], env!("CARGO_PKG_VERSION"));
    }
    let (code, table) = show(&fleet, fleet.listen_address(2), &[]);
    assert!(
        code == Some(0) && table.contains("agreed, digest") && table.lines().count() == 7,
        "{code:?} {table}"
    );
    assert_eq!(
        show(&fleet, "127.0.0.1:9".parse().expect("a valid address"), &[]).0,
        Some(3),
        "exit code without a member"
    );
    let wrong = ["--neighbours-key=/nowhere/a.key"];
    assert_eq!(show(&fleet, fleet.listen_address(2), &wrong).0, Some(2), "exit code with a missing key file");
    // Two separated members see that they are the minority.
    fleet.partition(&all[..3], &all[3..]);
    let view = poll_view(&fleet, 4, |v| v["out_of_reach"] == 3);
    assert_eq!((&view["side"], &view["counted"]), (&"minority".into(), &2.into()), "{view:#}");
    let view = poll_view(&fleet, 0, |v| v["out_of_reach"] == 2);
    assert_eq!((&view["side"], &view["counted"]), (&"majority".into(), &3.into()), "{view:#}");
    fleet.heal();
    let view = poll_view(&fleet, 4, |v| v["side"] == "majority" && v["out_of_reach"] == 0);
    assert_eq!(view["counted"], 5, "{view:#}");
    // One member leaves and one is killed.
    fleet.terminate(3);
    fleet.kill(2);
    let state = |view: &serde_json::Value, name: &str| {
        let members = view["members"].as_array().cloned().unwrap_or_default();
        members.iter().find(|m| m["name"] == name).map(|m| m["state"].clone())
    };
    // The count alone is not enough: after the partition a member is out of reach until it has presented its certificate.
    let wanted = (Some("left".into()), Some("dead".into()));
    let view = poll_view(&fleet, 0, |v| (state(v, "n3"), state(v, "n2")) == wanted && v["out_of_reach"] == 1);
    assert_eq!((state(&view, "n3"), state(&view, "n2")), wanted, "{view:#}");
    assert_eq!((&view["out_of_reach"], &view["counted"]), (&1.into(), &3.into()), "{view:#}");
}

#[test]
fn resumed_members_declare_no_member_dead() {
    let (mut fleet, all) = start_fleet(7, 6);
    for n in &all[..3] {
        fleet.pause(*n);
    }
    // The others declare the suspended members dead.
    assert!(fleet.wait_for_agreement(&all[3..], TIMEOUT).is_some(), "{}", fleet.timeline());
    let before: Vec<usize> = all[..3].iter().map(|n| fleet.members[*n].log().len()).collect();
    let resumed_at = all[..3].iter().map(|n| fleet.resume(*n)).fold(0.0, f64::max);
    let agreed_at = fleet.wait_for_agreement(&all, TIMEOUT).expect("the members do not see each other again");
    check_sooner_than_suspicion(&fleet, "agreed", agreed_at - resumed_at);
    for (n, from) in all[..3].iter().zip(before) {
        let log = fleet.members[*n].log()[from..].to_string();
        for other in &all[3..] {
            assert!(!log.contains(&format!("member is down neighbour=n{other}")), "n{n}: {log}");
        }
    }
}

/// A forwarder without a listening address for the fleet writes no snapshot and logs nothing about the fleet or its
/// peers.
#[test]
fn without_a_listening_address_no_fleet_file_or_log_line_is_written() {
    let discovery = stand::start_discovery(stand::endpoint_list(1, &[]));
    let daemon = stand::setup(&discovery, stand::endpoint_list(1, &[])).start();
    let names = std::fs::read_dir(daemon.folder.join("state")).expect("cannot read the state folder");
    let names: std::collections::BTreeSet<String> =
        names.map(|e| e.expect("cannot read an entry").file_name().to_string_lossy().into()).collect();
    // The journal and the lock of its owner.
    assert_eq!(names.iter().map(String::as_str).collect::<Vec<_>>(), ["journal", "owner"]);
    let log = daemon.log();
    assert!(!log.contains("neighbour") && !log.contains("peers") && !log.contains("leaving the fleet"));
}
