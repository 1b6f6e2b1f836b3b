//! Tests of the real program's command line: flags override the environment, errors name their source, and `check` reports
//! by file and key at least every error that would prevent a start.
mod stand;
use rstest::rstest;
use stand::*;
use std::path::Path;
use std::process::{Command, Output};

/// Runs the program with these arguments and environment variables, without the platform's variables of the environment.
fn run_program(arguments: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_micaladder"));
    for name in ["RELAY_CONFIG", "RELAY_STATE", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"] {
        command.env_remove(name);
    }
    command.args(arguments).envs(env.iter().copied()).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs `check` on the example configuration with one text replaced. Returns the output and the path of the configuration.
fn check(from: &str, to: &str) -> (Output, String) {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = folder.path().join("config.json");
    let config = std::fs::read_to_string("examples/config.json").expect("the example is readable");
    assert!(config.contains(from), "{from} is not in the example");
    std::fs::write(&path, config.replacen(from, to, 1)).expect("the file is written");
    let path = path.to_string_lossy().into_owned();
    let missing = folder.path().join("none").to_string_lossy().into_owned();
    (run_program(&["check", "--config", &path, "--as2", &missing, "--plugins", &missing], &[]), path)
}

#[test]
fn check_accepts_the_example_and_the_extra_keys_of_the_platform() {
    let (output, path) = check(
        "\"weightKind\"",
        "\"goal\":{\"whole\":0.3},\"me\":0,\"reporting\":{\"names\":[],\"source\":\"off\"},\"weightKind\"",
    );
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), format!("{path}: good\n"));
}

#[rstest]
#[case::truncated(",\"weightKind\":\"nominal\"}}", "", "settings: EOF while parsing an object")]
#[case::unknown_key("\"points\":2.0", "\"points\":2.0,\"point\":3", "settings.classes[1].point: unknown key")]
#[case::unknown_top_level_key("\"name\":\"example\"", "\"name\":\"example\",\"naem\":1", "naem: unknown key")]
#[case::wrong_type(
    "\"points\":2.0",
    "\"points\":\"two\"",
    "settings.classes[1].points: invalid type: string \"two\""
)]
#[case::missing_field("\"aimNs\":4000000000,", "", "settings.classes[1]: missing field `aimNs`")]
#[case::unknown_value(
    "\"effect\":\"repeatable\"",
    "\"effect\":\"twice\"",
    "settings.classes[1].effect: \"twice\" is not one of"
)]
#[case::out_of_range(
    "\"lateShare\":0.3",
    "\"lateShare\":3",
    "settings.classes[2].lateShare: is not from 0 to 1"
)]
#[case::objective_beyond_deadline(
    "\"aimNs\":2000000000",
    "\"aimNs\":21000000000",
    "settings.classes[2].aimNs: is greater than deadlineNs"
)]
#[case::missing_window(",\"windowNs\":25000000000", "", "settings.classes[0].windowNs: is missing")]
#[case::duplicate_name(
    "\"stats-push\"",
    "\"episode-sync\"",
    "settings.classes[1].name: \"episode-sync\" occurs more than once"
)]
#[case::invalid_listen_address("127.0.0.1:9000", "localhost", "listen: not a socket address: \"localhost\"")]
#[case::invalid_discovery_address(
    "\"discovery\":\"127.0.0.1:9100\"",
    "\"discovery\":\"there\"",
    "discovery: not HOST:PORT: \"there\""
)]
#[case::invalid_seed("8c1f30d27a5be964", "seed", "seed: not up to 16 hexadecimal digits: \"seed\"")]
#[case::no_workers("\"workers\":4", "\"workers\":0", "settings.familyInfo.workers: is 0")]
#[case::too_little_disk("\"disk_mb\":3", "\"disk_mb\":0.1", "limits.disk_mb: too small for a message")]
#[case::unknown_endpoint_state(
    "\"Ready\"",
    "\"Redy\"",
    "known.targets[0].state: \"Redy\" is not one of Ready"
)]
#[case::unknown_zone(
    "\"az\":\"here\"",
    "\"az\":\"there\"",
    "known.targets[0].az: is not in settings.localities"
)]
fn an_error_names_its_file_and_key(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let (output, path) = check(from, to);
    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.starts_with(&format!("{path}: {expected}")), "{stderr}");
}

#[test]
fn all_errors_of_all_files_are_reported_at_once() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let config = std::fs::read_to_string("examples/config.json").expect("the example is readable");
    let config =
        config.replace("\"workers\":4", "\"workers\":0").replace("\"points\":2.0", "\"points\":-2.0");
    std::fs::write(path("config.json"), config).expect("the file is written");
    let as2 = r#"{"enabled":true,"listen":"127.0.0.1:1","name":"n","key":"none.pem","certificate":"none.pem",
        "receipt_url":"not a url","partners":[{"name":"bank","certificate":"bank.pem","dest":7,"receipt":"later",
        "class":"no-class","colour":"red"}]}"#;
    std::fs::write(path("as2.json"), as2).expect("the file is written");
    std::fs::create_dir(path("scripts")).expect("the folder is created");
    std::fs::write(path("scripts/bad.rhai"), "fn on_request(").expect("the file is written");
    let files = ["--config", &path("config.json"), "--as2", &path("as2.json"), "--plugins", &path("scripts")];
    let output = run_program(&[&["check"], &files[..]].concat(), &[]);
    let stderr = text(&output.stderr);
    for expected in [
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
        assert!(stderr.contains(expected), "{expected} is not in\n{stderr}");
    }
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stderr.lines().count(), 11, "{stderr}");
}

#[test]
fn a_check_does_not_create_the_state_folder() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let state = folder.path().join("state").to_string_lossy().into_owned();
    let output =
        run_program(&["check"], &[("RELAY_CONFIG", "examples/config.json"), ("RELAY_STATE", &state)]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(!Path::new(&state).exists());
}

#[rstest]
#[case::invalid_address(&["--listen", "here"], &[], "invalid value 'here' for '--listen <IP:PORT>'")]
#[case::invalid_variable(&[], &[("RELAY_LISTEN", "here")], "invalid value 'here' for '--listen <IP:PORT>'")]
#[case::unknown_flag(&["--listne", "127.0.0.1:1"], &[], "unexpected argument '--listne'")]
#[case::unknown_log_level(&["--log-filter", "loud"], &[], "unknown log level \"loud\"")]
#[case::unknown_module(&["--log-filter", "kore=debug"], &[], "unknown module \"kore\"")]
#[case::unknown_log_format(&["--log-format", "xml"], &[], "[possible values: text, json]")]
#[case::missing_flag(&[], &[], "--config <FILE>")]
fn an_invalid_flag_is_named_and_prevents_the_start(
    #[case] arguments: &[&str], #[case] env: &[(&str, &str)], #[case] expected: &str,
) {
    for command in [&[][..], &["run"][..]] {
        let output = run_program(&[command, arguments].concat(), env);
        assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
        assert!(text(&output.stderr).contains(expected), "{}", text(&output.stderr));
    }
}

#[test]
fn a_failed_start_names_the_invalid_key() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = folder.path().join("config.json").to_string_lossy().into_owned();
    let config = std::fs::read_to_string("examples/config.json").expect("the example is readable");
    std::fs::write(&path, config.replace("\"workers\":4", "\"workers\":\"four\""))
        .expect("the file is written");
    let state = folder.path().to_string_lossy().into_owned();
    let output = run_program(&["run", "--config", &path, "--state", &state], &[]);
    assert_eq!(output.status.code(), Some(1));
    let expected = format!(
        "cannot start or continue: {path}: settings.familyInfo.workers: invalid type: string \"four\""
    );
    assert!(text(&output.stderr).contains(&expected), "{}", text(&output.stderr));
}

#[test]
fn version_help_and_completions_need_no_configuration() {
    let version = run_program(&["--version"], &[]);
    assert_eq!(text(&version.stdout), concat!("micaladder ", env!("CARGO_PKG_VERSION"), "\n"));
    // The platform sets these variables in its environment; they must not disturb the completions.
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

/// Covers the explicit command `run` and the default command, each with the platform's environment variables.
#[rstest]
#[case::run("run")]
#[case::default_command("")]
fn a_flag_overrides_its_variable_and_both_override_the_file(#[case] command: &str) {
    let discovery_server = start_discovery(endpoint_list(1, &[]));
    let flags = [command, "--name", "by-flag"]
        .into_iter()
        .filter(|argument| !argument.is_empty())
        .map(str::to_string)
        .collect();
    let env = vec![("RELAY_NAME".to_string(), "by-variable".to_string())];
    let daemon = Setup { flags, env, ..setup(&discovery_server, endpoint_list(1, &[])) }.start();
    daemon.wait_log("ready: by-flag listens on");
}

/// After a reload, a variable that only repeated the old value of its key no longer applies, but a flag does.
#[test]
fn a_flag_still_overrides_its_key_after_a_reload() {
    let (old_server, new_server) = (start_discovery(endpoint_list(1, &[])), Server::always("500 Oops"));
    let flags = vec!["--discovery".to_string(), old_server.addr.to_string()];
    let daemon = Setup { flags, ..setup(&old_server, endpoint_list(1, &[])) }.start();
    daemon.wait_log("upstream group: version 1");
    daemon.reload(&old_server.addr.to_string(), &new_server.addr.to_string());
    daemon.wait_log(&format!("configuration reloaded: discovery at {}", old_server.addr));
    assert!(new_server.received().is_empty());
}

#[test]
fn json_log_lines_contain_their_fields() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let flags = vec!["--log-format=json".to_string(), "--log-filter=warn,core=debug".to_string()];
    let env = vec![("MICALADDER_LOG".to_string(), "error".to_string())];
    let folder;
    let log = {
        let daemon = Setup { flags, env, ..setup(&discovery_server, known) }.start_without_ready_log();
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
            "only lines of core pass the filter: {line}"
        );
    }
    let lines: Vec<serde_json::Value> =
        log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let accepted =
        lines.iter().find(|line| line["text"] == "message accepted").expect("a line on the message");
    assert_eq!((&accepted["fields"]["dest"], &accepted["fields"]["message"]), (&7.into(), &"j1".into()));
    assert_eq!(accepted["level"], "DEBUG");
}

/// After its burst, a call site logs at most one line per second, which states the number of suppressed lines, so that a flood of
/// messages does not flood the log.
#[test]
fn the_log_lines_of_a_call_site_are_rate_limited() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let env = vec![("MICALADDER_LOG_BURST".to_string(), "3".to_string())];
    let mut daemon = Setup { env, ..setup(&discovery_server, known) }.start();
    let started = std::time::Instant::now();
    for n in 0..200 {
        assert_eq!(daemon.submit("stats", &format!("f{n}")), 202);
    }
    endpoint.wait_request("f199");
    let log = daemon.log();
    let lines = log.lines().filter(|line| line.contains("message accepted")).count();
    assert!(
        lines <= 4 + started.elapsed().as_secs() as usize,
        "{lines} lines in {:?}:\n{log}",
        started.elapsed()
    );
    assert!(daemon.is_running());
}
