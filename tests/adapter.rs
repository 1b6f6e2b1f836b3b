//! Tests of the simulator's adapter as a process: it replies to batches and reports malformed lines.
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this input until it ends.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_micaladder-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter may stop reading at a malformed line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

/// Returns the lines that start an instance and give it an endpoint list.
fn start(instance: &str) -> String {
    let conf = r#"{"classes":[{"aimNs":1000000000,"deadlineNs":5000000000,"effect":"repeatable","group":"all",
        "lateShare":0.1,"name":"n","points":1.0,"windowNs":1}],"familyInfo":{"fades":"line","kindApart":[false],
        "perCall":[1],"workers":4},"limits":{"mostTries":3,"openCap":50,"retryAfter":true,
        "maxRetryAfterNs":1000000000},"registryMode":"pushed","resolutionNs":5000000,"rules":{},"later":1}"#;
    let conf = conf.replace('\n', " ");
    let power_on = format!(r#"{{"what":"powerOn","relayId":"{instance}","randomSeed":5,"conf":{conf}}}"#);
    let list = r#"{"what":"manifest","setId":0,"membersList":[{"host":"h:1","hall":0,"classOfHost":0,"cell":57,
        "lifecycle":"Running","nominal":1,"sinceNs":null}]}"#;
    let list = list.replace('\n', " ");
    let targets =
        format!(r#"{{"what":"targets","relayId":"{instance}","form":"restored","revision":1,"setId":0}}"#);
    format!("{power_on}\n{list}\n{targets}\n")
}

/// Returns the line that submits a message to an instance.
fn message(instance: &str) -> String {
    format!(
        concat!(
            r#"{{"what":"workItem","relayId":"{}","req":"e78fd02c5d3a91c4","type":0,"customer":0,"#,
            r#""key":null,"notAfterNs":6000000000,"predictedNs":null,"dest":57,"options":0}}"#,
            "\n"
        ),
        instance
    )
}

const CLOCK: &str = "{\"what\":\"clock\",\"momentNs\":1000000000}\n";
const GO: &str = "{\"what\":\"go\"}\n";

#[test]
fn the_reply_to_a_batch_holds_one_line_per_action_and_an_end_line() {
    let output = run(&format!("{CLOCK}{GO}{CLOCK}{}{}{GO}", start("relay-3"), message("relay-3")));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("utf-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], r#"{"what":"end"}"#);
    let issue: serde_json::Value = serde_json::from_str(lines[1]).expect("json");
    assert_eq!(issue["what"], "issue");
    assert_eq!(issue["req"], "e78fd02c5d3a91c4");
    assert_eq!(issue["host"], "h:1");
    assert_eq!(lines.last(), Some(&r#"{"what":"end"}"#));
}

#[test]
fn instances_are_independent_and_a_stopped_instance_loses_its_state() {
    let reply_to = |input: &str| String::from_utf8(run(input).stdout).expect("utf-8");
    let reply_of = |instance: &str| reply_to(&format!("{CLOCK}{}{}{GO}", start(instance), message(instance)));
    let both = format!(
        "{CLOCK}{}{}{}{}{GO}",
        start("relay-0"),
        start("relay-1"),
        message("relay-0"),
        message("relay-1")
    );
    let both_replies = reply_to(&both);
    let end = "{\"what\":\"end\"}\n";
    let separate_replies =
        format!("{}{}{end}", reply_of("relay-0").replace(end, ""), reply_of("relay-1").replace(end, ""));
    assert_eq!(both_replies, separate_replies);
    let halt = r#"{"what":"halt","relayId":"relay-0"}"#;
    let text = reply_to(&format!("{CLOCK}{}{GO}{CLOCK}{halt}\n{}{GO}", start("relay-0"), message("relay-0")));
    assert!(!text.contains("issue"), "{text}");
}

#[test]
fn a_malformed_line_ends_the_process_with_the_line_number_on_stderr() {
    for (malformed, expected) in [
        ("{\"what\":\n", "not JSON"),
        ("[1,2]\n", "not a JSON object"),
        ("{\"momentNs\":1}\n", "what"),
        ("{\"what\":\"clock\"}\n", "momentNs"),
        ("{\"what\":\"powerOn\",\"relayId\":\"relay-1\",\"randomSeed\":1}\n", "conf"),
    ] {
        let output = run(malformed);
        assert!(!output.status.success(), "{malformed}");
        let text = String::from_utf8(output.stderr).expect("utf-8");
        assert!(text.contains("line 1") && text.contains(expected), "{malformed}: {text}");
        assert!(!text.contains("panicked"), "{text}");
    }
}

#[test]
fn unknown_events_codes_and_instances_are_ignored() {
    let unknown = [
        r#"{"what":"flowing","relayId":"relay-0","req":"e78fd02c5d3a91c4","rttNs":1,"sendNo":0,"host":"h:1"}"#,
        r#"{"what":"fromPeer","relayId":"relay-0","who":1,"data":"00"}"#,
        r#"{"what":"reportBack","relayId":"relay-0","req":"00000000000000aa","code":7,"sendNo":0}"#,
        r#"{"what":"clientLeft","relayId":"relay-9","req":"00000000000000aa"}"#,
        r#"{"what":"somethingNew","relayId":"relay-0"}"#,
    ];
    let output = run(&format!("{CLOCK}{}{}\n{GO}", start("relay-0"), unknown.join("\n")));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
