//! `.ci/test` and KNOWN-RED.txt, with a stand-in for cargo that lists three tests of which `b` fails.
use rstest::rstest;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

const CARGO: &str = r#"#!/usr/bin/env bash
echo "cargo $*" >> calls
case "$*" in
  *--list) printf 'a: test\nb: test\nc::d: test\ntwice: test\ntwice: test\n';;
  *"--exact b") exit 101;;
esac
"#;

/// Runs the script in a folder with this file; gives its output and the calls of cargo.
fn run(known_red: Option<&str>) -> (Output, Vec<String>) {
    let folder = tempfile::tempdir().expect("a folder");
    let bin = folder.path().join("bin");
    std::fs::create_dir(&bin).expect("a folder");
    std::fs::write(bin.join("cargo"), CARGO).expect("a program");
    std::fs::set_permissions(bin.join("cargo"), PermissionsExt::from_mode(0o755)).expect("a program");
    if let Some(text) = known_red {
        std::fs::write(folder.path().join("KNOWN-RED.txt"), text).expect("a file");
    }
    let path = format!("{}:{}", bin.display(), std::env::var("PATH").expect("a path"));
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test");
    let output = Command::new(script).current_dir(folder.path()).env("PATH", path).output().expect("it runs");
    let calls = std::fs::read_to_string(folder.path().join("calls")).unwrap_or_default();
    (output, calls.lines().map(String::from).collect())
}

#[rstest]
#[case::absent(None)]
#[case::empty(Some(""))]
#[case::remarks(Some("# none\n\n  \n"))]
fn without_known_red_tests_all_are_run(#[case] file: Option<&str>) {
    let (output, calls) = run(file);
    assert!(output.status.success());
    assert_eq!(calls, ["cargo test --locked"]);
}

/// The others run without just these; then these run, and what comes of them is printed and changes nothing.
#[test]
fn known_red_tests_are_passed_over_run_and_printed() {
    let (output, calls) = run(Some("b | a race | 40\nc::d| slow |41\n"));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    let tests = "cargo test --locked -- --exact";
    let expected = [
        "cargo test --locked -- --list".to_string(),
        format!("{tests} --skip b --skip c::d"),
        format!("{tests} b"),
        format!("{tests} c::d"),
    ];
    assert_eq!(calls, expected);
    assert!(text.contains("known red: b | a race | 40 | now: failed (101)"), "{text}");
    assert!(text.contains("known red: c::d | slow |41 | now: passed"), "{text}");
}

#[rstest]
#[case::four("a | x | 1\nb | x | 1\nc::d | x | 1\na | y | 1\n", "3 at most")]
#[case::no_test("e | x | 1\n", "0 tests are called e")]
#[case::part_of_a_name("d | x | 1\n", "0 tests are called d")]
#[case::two_of_a_name("twice | x | 1\n", "2 tests are called twice")]
#[case::no_cause("a\n", "not \"test | cause | issue\"")]
fn a_file_that_is_wrong_fails(#[case] file: &str, #[case] why: &str) {
    let (output, calls) = run(Some(file));
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains(why), "{output:?}");
    assert!(!calls.iter().any(|c| c.contains("--skip")), "no test is run: {calls:?}");
}
