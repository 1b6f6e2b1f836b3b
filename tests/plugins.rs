//! Plug-in scripts in the real program: their decisions take effect, and faulty scripts do not disturb it.
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
fn scripts_pass_reject_tag_and_observe_requests_and_faulty_scripts_are_skipped() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let folder = std::env::temp_dir().join(format!("plugins-{}-{}", std::process::id(), unique_number()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    for (name, text) in SCRIPTS {
        std::fs::write(folder.join(name), text).expect("the script is written");
    }
    let env = vec![("MICALADDER_PLUGINS".to_string(), folder.display().to_string())];
    let mut daemon = Setup { env, ..setup(&discovery_server, known) }.start();
    let rejected = daemon.send_request(&message_request("stats", "no", "20000m", "")).expect("a response");
    assert_eq!((rejected.status(), rejected.header("retry-after").is_some()), (503, true));
    assert_eq!(daemon.submit("payout", "yes"), 202);
    endpoint.wait_request("yes");
    daemon.wait_log("script: yes ended Ok seen-7");
    let log = daemon.wait_log("d_observe.rhai: on_outcome failed");
    assert!(log.contains("script b_broken.rhai skipped"), "{log}");
    assert!(log.contains("script a_faulty.rhai: on_request failed"), "{log}");
    assert!(daemon.is_running() && endpoint.received().len() == 1);
    let _ = std::fs::remove_dir_all(folder);
}

/// Existing scripts compare these texts (`docs/plugins.md`), so a renamed variant must keep its text.
#[test]
fn each_outcome_has_its_documented_text() {
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
