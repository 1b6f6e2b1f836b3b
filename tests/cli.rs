//! The command line of the real program: flags override the environment, errors are named, and `check` finds by file and
//! key whatever a start would fail on, and more.
mod stand;
use rstest::rstest;
use stand::*;
use std::path::Path;
use std::process::{Command, Output};

/// Runs the program with these arguments and variables, and no other variable of its own in the environment.
fn run_program(words: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_micaladder"));
    for name in ["RELAY_CONFIG", "RELAY_STATE", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"] {
        command.env_remove(name);
    }
    command.args(words).envs(env.iter().copied()).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The example's configuration with one text replaced, and a check of it.
fn check(from: &str, to: &str) -> (Output, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let config = std::fs::read_to_string("examples/config.json").expect("the example");
    assert!(config.contains(from), "{from} is not in the example");
    std::fs::write(&path, config.replacen(from, to, 1)).expect("written");
    let path = path.to_string_lossy().into_owned();
    let none = folder.path().join("none").to_string_lossy().into_owned();
    (run_program(&["check", "--config", &path, "--as2", &none, "--plugins", &none], &[]), path)
}

#[test]
fn the_example_and_the_platforms_extra_keys_are_good() {
    let (output, path) = check(
        "\"weightKind\"",
        "\"goal\":{\"whole\":0.3},\"me\":0,\"reporting\":{\"names\":[],\"source\":\"off\"},\"weightKind\"",
    );
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), format!("{path}: good\n"));
}

#[rstest]
#[case::half(",\"weightKind\":\"nominal\"}}", "", "settings: EOF while parsing an object")]
#[case::unknown("\"points\":2.0", "\"points\":2.0,\"point\":3", "settings.classes[1].point: unknown key")]
#[case::unknown_at_the_top("\"name\":\"example\"", "\"name\":\"example\",\"naem\":1", "naem: unknown key")]
#[case::kind(
    "\"points\":2.0",
    "\"points\":\"two\"",
    "settings.classes[1].points: invalid type: string \"two\""
)]
#[case::missing("\"aimNs\":4000000000,", "", "settings.classes[1]: missing field `aimNs`")]
#[case::word(
    "\"effect\":\"repeatable\"",
    "\"effect\":\"twice\"",
    "settings.classes[1].effect: \"twice\" is not one of"
)]
#[case::range("\"lateShare\":0.3", "\"lateShare\":3", "settings.classes[2].lateShare: is not from 0 to 1")]
#[case::aim(
    "\"aimNs\":2000000000",
    "\"aimNs\":21000000000",
    "settings.classes[2].aimNs: is greater than deadlineNs"
)]
#[case::window(",\"windowNs\":25000000000", "", "settings.classes[0].windowNs: is missing")]
#[case::twice(
    "\"stats-push\"",
    "\"episode-sync\"",
    "settings.classes[1].name: \"episode-sync\" occurs more than once"
)]
#[case::listen("127.0.0.1:9000", "localhost", "listen: not a socket address: \"localhost\"")]
#[case::discovery(
    "\"discovery\":\"127.0.0.1:9100\"",
    "\"discovery\":\"there\"",
    "discovery: not HOST:PORT: \"there\""
)]
#[case::seed("8c1f30d27a5be964", "seed", "seed: not up to 16 hexadecimal digits: \"seed\"")]
#[case::workers("\"workers\":4", "\"workers\":0", "settings.familyInfo.workers: is 0")]
#[case::disk("\"disk_mb\":3", "\"disk_mb\":0.1", "limits.disk_mb: too small for a message")]
#[case::state("\"Ready\"", "\"Redy\"", "known.targets[0].state: \"Redy\" is not one of Ready")]
#[case::zone("\"az\":\"here\"", "\"az\":\"there\"", "known.targets[0].az: is not in settings.localities")]
fn an_error_names_its_file_and_key(#[case] from: &str, #[case] to: &str, #[case] wanted: &str) {
    let (output, path) = check(from, to);
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.starts_with(&format!("{path}: {wanted}")), "{said}");
}

#[test]
fn all_errors_of_all_files_are_reported_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let config = std::fs::read_to_string("examples/config.json").expect("the example");
    let config =
        config.replace("\"workers\":4", "\"workers\":0").replace("\"points\":2.0", "\"points\":-2.0");
    std::fs::write(at("config.json"), config).expect("written");
    let as2 = r#"{"enabled":true,"listen":"127.0.0.1:1","name":"n","key":"none.pem","certificate":"none.pem",
        "receipt_url":"not a url","partners":[{"name":"bank","certificate":"bank.pem","dest":7,"receipt":"later",
        "class":"no-class","colour":"red"}]}"#;
    std::fs::write(at("as2.json"), as2).expect("written");
    std::fs::create_dir(at("scripts")).expect("a folder");
    std::fs::write(at("scripts/bad.rhai"), "fn on_request(").expect("written");
    let files = ["--config", &at("config.json"), "--as2", &at("as2.json"), "--plugins", &at("scripts")];
    let output = run_program(&[&["check"], &files[..]].concat(), &[]);
    let said = text(&output.stderr);
    for wanted in [
        "config.json: settings.familyInfo.workers: is 0",
        "config.json: settings.classes[1].points: is below 0",
        "as2.json: partners[0].colour: unknown key",
        "as2.json: receipt_url: not a URL",
        "as2.json: key: none.pem: ",
        "as2.json: partners[0].certificate: bank.pem: ",
        "as2.json: partners[0].url: is missing",
        "as2.json: partners[0].receipt: \"later\" is not one of sync, async",
        "as2.json: partners[0].forward_to: class, tenant and forward_to go together",
        "as2.json: partners[0].class: is no class of the configuration",
        "bad.rhai: ",
    ] {
        assert!(said.contains(wanted), "{wanted} is not in\n{said}");
    }
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(said.lines().count(), 11, "{said}");
}

#[test]
fn a_check_starts_nothing_and_leaves_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().join("state").to_string_lossy().into_owned();
    let output =
        run_program(&["check"], &[("RELAY_CONFIG", "examples/config.json"), ("RELAY_STATE", &state)]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(!Path::new(&state).exists());
}

#[rstest]
#[case::flag(&["--listen", "here"], &[], "invalid value 'here' for '--listen <IP:PORT>'")]
#[case::variable(&[], &[("RELAY_LISTEN", "here")], "invalid value 'here' for '--listen <IP:PORT>'")]
#[case::unknown(&["--listne", "127.0.0.1:1"], &[], "unexpected argument '--listne'")]
#[case::filter(&["--log-filter", "loud"], &[], "no level \"loud\"")]
#[case::module(&["--log-filter", "kore=debug"], &[], "no module \"kore\"")]
#[case::format(&["--log-format", "xml"], &[], "[possible values: text, json]")]
#[case::missing(&[], &[], "--config <FILE>")]
fn a_wrong_flag_is_named_and_nothing_starts(
    #[case] words: &[&str], #[case] env: &[(&str, &str)], #[case] wanted: &str,
) {
    for start in [&[][..], &["run"][..]] {
        let output = run_program(&[start, words].concat(), env);
        assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
        assert!(text(&output.stderr).contains(wanted), "{}", text(&output.stderr));
    }
}

#[test]
fn a_start_that_cannot_read_its_file_names_the_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json").to_string_lossy().into_owned();
    let config = std::fs::read_to_string("examples/config.json").expect("the example");
    std::fs::write(&path, config.replace("\"workers\":4", "\"workers\":\"four\"")).expect("written");
    let state = folder.path().to_string_lossy().into_owned();
    let output = run_program(&["run", "--config", &path, "--state", &state], &[]);
    assert_eq!(output.status.code(), Some(1));
    let wanted = format!(
        "cannot start or continue: {path}: settings.familyInfo.workers: invalid type: string \"four\""
    );
    assert!(text(&output.stderr).contains(&wanted), "{}", text(&output.stderr));
}

#[test]
fn version_help_and_completions_need_no_settings() {
    let version = run_program(&["--version"], &[]);
    assert_eq!(text(&version.stdout), concat!("micaladder ", env!("CARGO_PKG_VERSION"), "\n"));
    // The platform's variables are set wherever somebody looks.
    let script = run_program(&["completions", "bash"], &[("RELAY_CONFIG", "c"), ("RELAY_STATE", "s")]);
    assert!(script.status.success(), "{}", text(&script.stderr));
    for word in ["--config", "--log-filter", "check", "completions"] {
        assert!(text(&script.stdout).contains(word), "{word}");
    }
    let help = text(&run_program(&["run", "--help"], &[]).stdout);
    for variable in ["RELAY_CONFIG", "RELAY_STATE", "RELAY_LISTEN", "MICALADDER_AS2", "MICALADDER_LOG_FORMAT"]
    {
        assert!(help.contains(variable), "{variable} is not in\n{help}");
    }
}

/// With the command `run` and without it, under the platform's variables.
#[rstest]
#[case::run("run")]
#[case::bare("")]
fn a_flag_overrides_its_variable_and_both_override_the_file(#[case] word: &str) {
    let disco = discovery(list(1, &[]));
    let flags =
        [word, "--name", "by-flag"].into_iter().filter(|w| !w.is_empty()).map(str::to_string).collect();
    let env = vec![("RELAY_NAME".to_string(), "by-variable".to_string())];
    let daemon = Setup { flags, env, ..setup(&disco, list(1, &[])) }.start();
    daemon.wait_log("ready: by-flag listens on");
}

/// A variable that repeats its key gives way on a reload; a flag stays in force.
#[test]
fn a_flag_overrides_its_key_also_after_a_reload() {
    let (old, new) = (discovery(list(1, &[])), Server::always("500 Oops"));
    let flags = vec!["--discovery".to_string(), old.addr.to_string()];
    let daemon = Setup { flags, ..setup(&old, list(1, &[])) }.start();
    daemon.wait_log("upstream group: version 1");
    daemon.reload(&old.addr.to_string(), &new.addr.to_string());
    daemon.wait_log(&format!("configuration reloaded: discovery at {}", old.addr));
    assert!(new.received().is_empty());
}

#[test]
fn json_lines_hold_their_fields() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let flags = vec!["--log-format=json".to_string(), "--log-filter=warn,core=debug".to_string()];
    let env = vec![("MICALADDER_LOG".to_string(), "error".to_string())];
    let folder;
    let log = {
        let daemon = Setup { flags, env, ..setup(&disco, known) }.start_without_ready_log();
        folder = daemon.folder.clone();
        assert_eq!(daemon.submit("stats", "j1"), 202);
        endpoint.wait_request("j1");
        daemon.wait_log("\"message\":\"j1\"")
    };
    assert!(!folder.exists());
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect(line);
        assert!(line["at"].as_f64().is_some_and(|at| at > 1.7e9), "{line}");
        assert!(
            line["module"].as_str().is_some_and(|m| m.starts_with("core")),
            "the filter names core: {line}"
        );
    }
    let taken: Vec<serde_json::Value> = log.lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
    let taken = taken.iter().find(|l| l["text"] == "message accepted").expect("a line on the message");
    assert_eq!((&taken["fields"]["dest"], &taken["fields"]["message"]), (&7.into(), &"j1".into()));
    assert_eq!(taken["level"], "DEBUG");
}

/// One place in the code logs one line a second at most after its burst, and that line has the number of dropped ones.
#[test]
fn a_flood_of_lines_is_rate_limited() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let env = vec![("MICALADDER_LOG_BURST".to_string(), "3".to_string())];
    let mut daemon = Setup { env, ..setup(&disco, known) }.start();
    let begun = std::time::Instant::now();
    for n in 0..200 {
        assert_eq!(daemon.submit("stats", &format!("f{n}")), 202);
    }
    endpoint.wait_request("f199");
    let log = daemon.log();
    let lines = log.lines().filter(|l| l.contains("message accepted")).count();
    assert!(
        lines <= 4 + begun.elapsed().as_secs() as usize,
        "{lines} lines in {:?}:\n{log}",
        begun.elapsed()
    );
    assert!(daemon.runs());
}
