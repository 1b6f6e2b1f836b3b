//! The fleet's view among real processes, with a network between them that does as it is told.
mod net;
mod peers_common;
mod stand;
use net::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Longer than anything here takes, also on a machine that is busy with all other tests.
const SOON: Duration = Duration::from_secs(20);
/// Least time after which SWIM alone calls a silent member dead: its time as a suspect (`fleet::doubts::SHORT`).
const SUSPECT: f64 = 2.5;

fn ready(seed: u64, count: usize) -> (Fleet, Vec<usize>) {
    let fleet = Fleet::start(seed, count, &[0, 1]);
    let all: Vec<usize> = (0..count).collect();
    assert!(fleet.agree(&all, SOON).is_some(), "they find each other\n{}", fleet.timeline());
    (fleet, all)
}

/// Who ends by SIGTERM says so: all know it before suspicion could have told them, also where datagrams are lost, and it
/// is there again at once when it comes back.
#[test]
fn a_planned_end_is_known_by_a_word_and_not_by_suspicion() {
    let (mut fleet, all) = ready(3, 8);
    fleet.set(&all, &all, Link { lost: 0.15, ..Link::default() });
    let told = fleet.terminate(7);
    let known = fleet.agree(&all[..7], SOON).expect("the others know it");
    assert!(known - told < SUSPECT, "after {:.3} s\n{}", known - told, fleet.timeline());
    fleet.members[7].wait_end(SOON);
    fleet.heal();
    let began = fleet.start_again(7, false);
    let back = fleet.agree(&all, SOON).expect("it is there again");
    assert!(back - began < SUSPECT, "after {:.3} s\n{}", back - began, fleet.timeline());
}

/// A fleet that is killed whole and starts again without its seeds finds itself by what each remembers.
#[test]
fn a_fleet_without_its_seeds_finds_itself_again() {
    let (mut fleet, all) = ready(4, 6);
    // What is remembered is on disk a second later at the latest.
    for n in &all {
        let file = fleet.members[*n].folder.join("state/fleet");
        let until = std::time::Instant::now() + SOON;
        while std::fs::metadata(&file).map_or(0, |m| m.len()) < 60 {
            assert!(std::time::Instant::now() < until, "n{n} remembers nobody");
            std::thread::yield_now();
        }
    }
    for n in &all {
        fleet.kill(*n);
    }
    for n in &all[2..] {
        fleet.start_again(*n, false);
    }
    assert!(fleet.agree(&all[2..], SOON).is_some(), "{}", fleet.timeline());
}

/// A member that lost its folder is no earlier life of itself.
#[test]
fn a_member_with_an_empty_folder_is_there_again_at_once() {
    let (mut fleet, all) = ready(5, 4);
    fleet.kill(3);
    let began = fleet.start_again(3, true);
    // Those that have not missed it yet hear that it started anew; its view is there once it knows the others.
    fleet.members[3].wait_log("neighbour is there");
    let back = fleet.agree(&all, SOON).expect("it is there again");
    assert!(back - began < SUSPECT, "after {:.3} s\n{}", back - began, fleet.timeline());
}

/// What `micaladder fleet` says and how it ends.
fn ask(fleet: &Fleet, of: SocketAddr, more: &[&str]) -> (Option<i32>, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_micaladder"));
    command.args(["fleet", "show", &format!("--ask={of}")]).args(fleet.papers()).args(more);
    let out = command.output().expect("it runs");
    (out.status.code(), String::from_utf8(out.stdout).expect("text"))
}

/// Asks until the answer is as wanted; the last one where it never is.
fn ask_until(fleet: &Fleet, of: usize, wanted: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
    let until = std::time::Instant::now() + SOON;
    loop {
        let (_, text) = ask(fleet, fleet.real(of), &["--json"]);
        let view: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        if wanted(&view) || std::time::Instant::now() > until {
            return view;
        }
    }
}

/// Any member shows the fleet: who is there, who left and who fell silent, which side it is on; its exit code says
/// whether all have one view.
#[test]
fn a_member_shows_the_fleet() {
    let (mut fleet, all) = ready(6, 5);
    let view = ask_until(&fleet, 1, |v| v["agreed"] == true && v["last_agreed"] == 5);
    assert_eq!((&view["counted"], &view["side"]), (&5.into(), &"majority".into()), "{view:#}");
    for line in view["members"].as_array().expect("lines") {
        assert_eq!(
            (&line["state"], &line["counts"], &line["epoch"]),
            (&"alive".into(), &true.into(), &1.into())
        );
        assert_eq!(line["version"], env!("CARGO_PKG_VERSION"));
    }
    let (code, table) = ask(&fleet, fleet.real(2), &[]);
    assert!(
        code == Some(0) && table.contains("agreed, digest") && table.lines().count() == 7,
        "{code:?} {table}"
    );
    assert_eq!(ask(&fleet, "127.0.0.1:9".parse().expect("one"), &[]).0, Some(3), "nobody answers");
    let wrong = ["--neighbours-key=/nowhere/a.key"];
    assert_eq!(ask(&fleet, fleet.real(2), &wrong).0, Some(2), "a file that is not there");
    // Two on their own: they know that they are the smaller side.
    fleet.cut(&all[..3], &all[3..]);
    let view = ask_until(&fleet, 4, |v| v["out_of_reach"] == 3);
    assert_eq!((&view["side"], &view["counted"]), (&"minority".into(), &2.into()), "{view:#}");
    let view = ask_until(&fleet, 0, |v| v["out_of_reach"] == 2);
    assert_eq!((&view["side"], &view["counted"]), (&"majority".into(), &3.into()), "{view:#}");
    fleet.heal();
    let view = ask_until(&fleet, 4, |v| v["side"] == "majority" && v["out_of_reach"] == 0);
    assert_eq!(view["counted"], 5, "{view:#}");
    // One leaves by its word, one falls silent.
    fleet.terminate(3);
    fleet.kill(2);
    let state = |view: &serde_json::Value, name: &str| {
        let lines = view["members"].as_array().cloned().unwrap_or_default();
        lines.iter().find(|l| l["name"] == name).map(|l| l["state"].clone())
    };
    // Not by the count alone: a member that came back from the cut is out of reach until it has shown its certificate.
    let wanted = (Some("left".into()), Some("dead".into()));
    let view = ask_until(&fleet, 0, |v| (state(v, "n3"), state(v, "n2")) == wanted && v["out_of_reach"] == 1);
    assert_eq!((state(&view, "n3"), state(&view, "n2")), wanted, "{view:#}");
    assert_eq!((&view["out_of_reach"], &view["counted"]), (&1.into(), &3.into()), "{view:#}");
}

/// Those that stood still take nobody for dead when they go on.
#[test]
fn whoever_stood_still_blames_nobody() {
    let (mut fleet, all) = ready(7, 6);
    for n in &all[..3] {
        fleet.stop(*n);
    }
    // The others have given them up.
    assert!(fleet.agree(&all[3..], SOON).is_some(), "{}", fleet.timeline());
    let before: Vec<usize> = all[..3].iter().map(|n| fleet.members[*n].log().len()).collect();
    let went = all[..3].iter().map(|n| fleet.go_on(*n)).fold(0.0, f64::max);
    let back = fleet.agree(&all, SOON).expect("all know all again");
    assert!(back - went < SUSPECT, "after {:.3} s\n{}", back - went, fleet.timeline());
    for (n, from) in all[..3].iter().zip(before) {
        let log = fleet.members[*n].log()[from..].to_string();
        for other in &all[3..] {
            assert!(!log.contains(&format!("neighbour is gone neighbour=n{other}")), "n{n}: {log}");
        }
    }
}

/// Off, it leaves no trace: no file, no socket of its own.
#[test]
fn off_it_keeps_nothing_on_disk() {
    let disco = stand::discovery(stand::list(1, &[]));
    let daemon = stand::setup(&disco, stand::list(1, &[])).start();
    let names = std::fs::read_dir(daemon.folder.join("state")).expect("its folder");
    let names: std::collections::BTreeSet<String> =
        names.map(|e| e.expect("an entry").file_name().to_string_lossy().into()).collect();
    // The journal, and the lock of whoever owns it.
    assert_eq!(names.iter().map(String::as_str).collect::<Vec<_>>(), ["journal", "owner"]);
    assert!(!daemon.log().contains("neighbour") && !daemon.log().contains("peers"));
}
