//! The fleet's view among real processes, on a network whose links the tests control.
mod net;
mod peers_common;
mod stand;
use net::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Longer than anything here takes, also on a machine that runs all other tests at the same time.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Shortest time in seconds after which a silent member is declared dead (`fleet::suspicion::MIN_TIMEOUT`).
const SUSPICION_SECS: f64 = 2.5;

fn start_fleet(seed: u64, count: usize) -> (Fleet, Vec<usize>) {
    let fleet = Fleet::start(seed, count, &[0, 1]);
    let all: Vec<usize> = (0..count).collect();
    assert!(
        fleet.wait_for_agreement(&all, TIMEOUT).is_some(),
        "members find each other\n{}",
        fleet.timeline()
    );
    (fleet, all)
}

/// A member that is terminated says goodbye: all know it sooner than by suspicion, even if datagrams are lost, and the
/// member is present again at once when it comes back.
#[test]
fn a_planned_end_is_known_by_its_goodbye_and_not_by_suspicion() {
    let (mut fleet, all) = start_fleet(3, 8);
    fleet.set_links(&all, &all, Link { lost: 0.15, ..Link::default() });
    let terminated = fleet.terminate(7);
    let known = fleet.wait_for_agreement(&all[..7], TIMEOUT).expect("the others know it");
    assert!(known - terminated < SUSPICION_SECS, "after {:.3} s\n{}", known - terminated, fleet.timeline());
    fleet.members[7].wait_exit(TIMEOUT);
    fleet.heal();
    let began = fleet.restart(7, false);
    let back = fleet.wait_for_agreement(&all, TIMEOUT).expect("it is present again");
    assert!(back - began < SUSPICION_SECS, "after {:.3} s\n{}", back - began, fleet.timeline());
}

/// A fleet of which all members are killed, and which starts again without its seeds, finds itself by the snapshots.
#[test]
fn a_fleet_without_its_seeds_finds_itself_by_its_snapshots() {
    let (mut fleet, all) = start_fleet(4, 6);
    // A snapshot is on disk a second later at the latest.
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

/// A member that lost its state folder is not taken for an earlier incarnation of itself.
#[test]
fn a_member_with_an_empty_folder_is_present_again_at_once() {
    let (mut fleet, all) = start_fleet(5, 4);
    fleet.kill(3);
    let began = fleet.restart(3, true);
    // Those that have not missed it yet learn that it restarted; its view is complete once it knows the others.
    fleet.members[3].wait_log("member is up");
    let back = fleet.wait_for_agreement(&all, TIMEOUT).expect("it is present again");
    assert!(back - began < SUSPICION_SECS, "after {:.3} s\n{}", back - began, fleet.timeline());
}

/// Exit code and output of `micaladder fleet show`.
fn show(fleet: &Fleet, of: SocketAddr, more: &[&str]) -> (Option<i32>, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_micaladder"));
    command.args(["fleet", "show", &format!("--ask={of}")]).args(fleet.client_credentials()).args(more);
    let out = command.output().expect("it runs");
    (out.status.code(), String::from_utf8(out.stdout).expect("text"))
}

/// Polls the view until it is as wanted; the last one where it never is.
fn poll_view(fleet: &Fleet, of: usize, wanted: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
    let until = std::time::Instant::now() + TIMEOUT;
    loop {
        let (_, text) = show(fleet, fleet.listen_address(of), &["--json"]);
        let view: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        if wanted(&view) || std::time::Instant::now() > until {
            return view;
        }
    }
}

/// Any member shows the fleet: who is present, who left and who fell silent, and the side of a partition; the exit code
/// says whether all have one view.
#[test]
fn a_member_shows_the_fleet() {
    let (mut fleet, all) = start_fleet(6, 5);
    let view = poll_view(&fleet, 1, |v| v["agreed"] == true && v["last_agreed"] == 5);
    assert_eq!((&view["counted"], &view["side"]), (&5.into(), &"majority".into()), "{view:#}");
    for line in view["members"].as_array().expect("lines") {
        assert_eq!(
            (&line["state"], &line["counts"], &line["epoch"]),
            (&"alive".into(), &true.into(), &1.into())
        );
        assert_eq!(line["version"], env!("CARGO_PKG_VERSION"));
    }
    let (code, table) = show(&fleet, fleet.listen_address(2), &[]);
    assert!(
        code == Some(0) && table.contains("agreed, digest") && table.lines().count() == 7,
        "{code:?} {table}"
    );
    assert_eq!(show(&fleet, "127.0.0.1:9".parse().expect("one"), &[]).0, Some(3), "no member answers");
    let wrong = ["--neighbours-key=/nowhere/a.key"];
    assert_eq!(show(&fleet, fleet.listen_address(2), &wrong).0, Some(2), "a file that does not exist");
    // Two members alone know that they are the minority.
    fleet.partition(&all[..3], &all[3..]);
    let view = poll_view(&fleet, 4, |v| v["out_of_reach"] == 3);
    assert_eq!((&view["side"], &view["counted"]), (&"minority".into(), &2.into()), "{view:#}");
    let view = poll_view(&fleet, 0, |v| v["out_of_reach"] == 2);
    assert_eq!((&view["side"], &view["counted"]), (&"majority".into(), &3.into()), "{view:#}");
    fleet.heal();
    let view = poll_view(&fleet, 4, |v| v["side"] == "majority" && v["out_of_reach"] == 0);
    assert_eq!(view["counted"], 5, "{view:#}");
    // One member says goodbye, one falls silent.
    fleet.terminate(3);
    fleet.kill(2);
    let state = |view: &serde_json::Value, name: &str| {
        let lines = view["members"].as_array().cloned().unwrap_or_default();
        lines.iter().find(|l| l["name"] == name).map(|l| l["state"].clone())
    };
    // Not by the count alone: after the partition a member is unreachable until it has presented its certificate.
    let wanted = (Some("left".into()), Some("dead".into()));
    let view = poll_view(&fleet, 0, |v| (state(v, "n3"), state(v, "n2")) == wanted && v["out_of_reach"] == 1);
    assert_eq!((state(&view, "n3"), state(&view, "n2")), wanted, "{view:#}");
    assert_eq!((&view["out_of_reach"], &view["counted"]), (&1.into(), &3.into()), "{view:#}");
}

/// Suspended members declare nobody dead when they are resumed.
#[test]
fn suspended_members_blame_nobody() {
    let (mut fleet, all) = start_fleet(7, 6);
    for n in &all[..3] {
        fleet.pause(*n);
    }
    // The others have declared them dead.
    assert!(fleet.wait_for_agreement(&all[3..], TIMEOUT).is_some(), "{}", fleet.timeline());
    let before: Vec<usize> = all[..3].iter().map(|n| fleet.members[*n].log().len()).collect();
    let resumed = all[..3].iter().map(|n| fleet.resume(*n)).fold(0.0, f64::max);
    let back = fleet.wait_for_agreement(&all, TIMEOUT).expect("all know all again");
    assert!(back - resumed < SUSPICION_SECS, "after {:.3} s\n{}", back - resumed, fleet.timeline());
    for (n, from) in all[..3].iter().zip(before) {
        let log = fleet.members[*n].log()[from..].to_string();
        for other in &all[3..] {
            assert!(!log.contains(&format!("member is down neighbour=n{other}")), "n{n}: {log}");
        }
    }
}

/// Without a listening address there is no file and no socket.
#[test]
fn without_an_address_nothing_is_on_disk() {
    let disco = stand::start_discovery(stand::endpoint_list(1, &[]));
    let daemon = stand::setup(&disco, stand::endpoint_list(1, &[])).start();
    let names = std::fs::read_dir(daemon.folder.join("state")).expect("its folder");
    let names: std::collections::BTreeSet<String> =
        names.map(|e| e.expect("an entry").file_name().to_string_lossy().into()).collect();
    // The journal, and the lock of whoever owns it.
    assert_eq!(names.iter().map(String::as_str).collect::<Vec<_>>(), ["journal", "owner"]);
    let log = daemon.log();
    assert!(!log.contains("neighbour") && !log.contains("peers") && !log.contains("leaving the fleet"));
}
