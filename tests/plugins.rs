//! Plug-ins in the real program: what they may decide, and that a faulty one breaks nothing.
mod stand;
use stand::*;

const SCRIPTS: [(&str, &str); 4] = [
    ("a_faulty.rhai", "fn on_request(r) { let x = []; loop { x.push(1); } }"),
    ("b_broken.rhai", "fn on_request(r) { return "),
    (
        "c_reject.rhai",
        r#"fn on_request(r) { if r.class == "stats" && r.name == "no" { "reject" } else { #{ tag: "seen-" + r.dest } } }"#,
    ),
    (
        "d_observe.rhai",
        r#"fn on_outcome(r, outcome) { print(r.name + " ended " + outcome + " " + r.tags[0]); throw "never mind"; }"#,
    ),
];

#[test]
fn scripts_pass_reject_tag_and_observe_and_faulty_ones_are_passed_over() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let folder = std::env::temp_dir().join(format!("plugins-{}-{}", std::process::id(), unique()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for (name, text) in SCRIPTS {
        std::fs::write(folder.join(name), text).expect("a script");
    }
    let env = vec![("MICALADDER_PLUGINS".to_string(), folder.display().to_string())];
    let mut daemon = Setup { env, ..setup(&disco, known) }.start();
    let rejected = daemon.ask(&message("stats", "no", "20000m", "")).expect("an answer");
    assert_eq!((rejected.status(), rejected.header("retry-after").is_some()), (503, true));
    assert_eq!(daemon.submit("payout", "yes"), 202);
    endpoint.wait_request("yes");
    daemon.wait_log("script: yes ended Ok seen-7");
    let log = daemon.wait_log("d_observe.rhai: on_outcome passed over");
    assert!(log.contains("script b_broken.rhai passed over"), "{log}");
    assert!(log.contains("script a_faulty.rhai: on_request passed over"), "{log}");
    assert!(daemon.runs() && endpoint.received().len() == 1);
    let _ = std::fs::remove_dir_all(folder);
}

/// Scripts in use compare these texts (`docs/plugins.md`): no renaming in the code may change one.
#[test]
fn scripts_know_each_outcome_by_its_documented_text() {
    use micaladder::plugins::outcome_text;
    use micaladder::{Nanos, Outcome};
    let documented = [
        (Outcome::Ok, "Ok"),
        (Outcome::Error, "Error"),
        (Outcome::Rejected(None), "Full(None)"),
        (Outcome::Rejected(Some(Nanos(5))), "Full(Some(Nanos(5)))"),
        (Outcome::Timeout, "Timeout"),
        (Outcome::ConnectFailed, "ConnectFailed"),
        (Outcome::Reset, "Reset"),
        (Outcome::Cancelled, "Cancelled"),
        (Outcome::UnreadableAnswer, "Spoilt"),
        (Outcome::ConnectionLimit, "Crowded"),
        (Outcome::Skipped, "Moot"),
        (Outcome::NotSent, "Unsent"),
    ];
    for (outcome, text) in documented {
        assert_eq!(outcome_text(outcome), text);
    }
}
