//! Tests of the worker thread with a script that hangs in a function that no limit ends, and of the limits of a call.
use super::engine::{RunningCallCell, Scripts};
use super::worker::Worker;
use super::*;
use rstest::rstest;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Instant;

/// A script that hangs in `hang` for the message `stop`, and tags every other message.
const HANGING_SCRIPT: &str = r#"
    fn on_request(r) { if r.name == "stop" { hang(); } #{ tag: "seen" } }
    fn on_outcome(r, outcome) { if r.name == "stop" { hang(); } }
"#;

fn request(name: &str) -> ScriptRequest {
    ScriptRequest {
        name: name.into(),
        class: "payout".into(),
        tenant: "t".into(),
        dest: 7,
        size: 5,
        time_left: Nanos::from_secs(1.0),
        tags: Vec::new(),
    }
}

/// Loads this script.
fn load(text: &str, running: RunningCallCell) -> Scripts {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("script.rhai");
    std::fs::write(&file, text).expect("the script is written");
    Scripts::load(&[file], running)
}

/// Starts a worker with [`HANGING_SCRIPT`]. `hang` ends once the sender is used or dropped; the receiver hears when it begins.
fn hanging_worker() -> (Plugins, Sender<()>, Receiver<()>) {
    let (release, released) = channel::<()>();
    let (begin, began) = channel::<()>();
    let released = Mutex::new(released);
    let begin = Mutex::new(begin);
    let worker = Worker::start_with(move |running| {
        let mut scripts = load(HANGING_SCRIPT, running);
        scripts.engine.register_fn("hang", move || {
            let _ = begin.lock().expect("lock").send(());
            let _ = released.lock().expect("lock").recv();
        });
        scripts
    });
    (Plugins { worker: worker.map(Arc::new) }, release, began)
}

fn seen() -> Verdict {
    Verdict::Pass(vec!["seen".into()])
}

fn not_inspected() -> Verdict {
    Verdict::Pass(Vec::new())
}

/// Guards against a forwarder that did nothing any more (issue 76): a script held the thread of the event loop.
#[tokio::test]
async fn a_hanging_script_delays_one_request_and_the_following_ones_pass_at_once() {
    let (plugins, release, _began) = hanging_worker();
    assert_eq!(plugins.on_request(request("before")).await, seen());
    let started = Instant::now();
    assert_eq!(plugins.on_request(request("stop")).await, not_inspected());
    assert!(started.elapsed() >= HOOK_TIMEOUT);
    let started = Instant::now();
    for n in 0..1000 {
        assert_eq!(plugins.on_request(request(&format!("m{n}"))).await, not_inspected());
        plugins.on_outcome(request("stop"), Outcome::Ok);
    }
    assert!(started.elapsed() < HOOK_TIMEOUT, "{:?}", started.elapsed());
    drop(release);
    let until = Instant::now() + Duration::from_secs(15);
    while plugins.on_request(request("after")).await != seen() {
        assert!(Instant::now() < until, "the scripts are not used again");
    }
}

/// An outcome hook that hangs blocks neither its caller nor, after the timeout, a request.
#[tokio::test]
async fn a_hanging_outcome_hook_does_not_block_its_caller() {
    let (plugins, _release, began) = hanging_worker();
    let started = Instant::now();
    plugins.on_outcome(request("stop"), Outcome::Ok);
    assert!(started.elapsed() < HOOK_TIMEOUT);
    began.recv().expect("the script hangs");
    assert_eq!(plugins.on_request(request("m")).await, not_inspected());
}

/// The queue is bounded: while the thread is busy, further outcomes are dropped, and requests pass at once.
#[tokio::test]
async fn calls_beyond_the_queue_are_skipped() {
    let (plugins, _release, began) = hanging_worker();
    plugins.on_outcome(request("stop"), Outcome::Ok);
    began.recv().expect("the script hangs");
    let started = Instant::now();
    for n in 0..1000 {
        plugins.on_outcome(request(&format!("m{n}")), Outcome::Ok);
    }
    assert_eq!(plugins.on_request(request("m")).await, not_inspected());
    assert!(started.elapsed() < HOOK_TIMEOUT, "{:?}", started.elapsed());
}

/// Each of these took longer, or ended the thread or the process, before the limits.
#[rstest]
#[case::sleeps("sleep(1);")]
#[case::sleeps_for_a_float("sleep(0.5);")]
#[case::sleeps_for_too_long_a_float("sleep(1.0e300);")]
#[case::loops("loop { }")]
#[case::sorts_arrays(r#"let a = []; while a.len() < 127 { a.push("x"); } loop { let b = a; b.sort(); }"#)]
#[case::searches_strings(
    r#"let s = "a"; while s.len() < 2000 { s += s; } let p = s.sub_string(0, 1000) + "b"; loop { s.index_of(p); }"#
)]
#[case::evaluates_itself(r#"let s = "eval(s)"; eval(s);"#)]
#[case::doubles_a_closure(r#"let f = Fn("on_request"); loop { f = f.curry(f); }"#)]
fn a_call_ends_within_its_cpu_time_whatever_the_script_does(#[case] text: &str) {
    const MAX_CALL_TIME: Duration = Duration::from_millis(400);
    let mut scripts = load(&format!("fn on_request(r) {{ {text} }}"), RunningCallCell::default());
    let started = Instant::now();
    assert_eq!(scripts.on_request(&request("m")), not_inspected());
    assert!(started.elapsed() < MAX_CALL_TIME, "{:?}", started.elapsed());
}

/// A script that uses up its CPU time with every call would otherwise take the CPU from the event loop.
#[test]
fn a_script_over_its_cpu_time_is_suspended_and_the_others_are_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let slow = r#"fn on_request(r) { let s = "a"; while s.len() < 2048 { s += s; } let p = s + "b"; s += s.sub_string(0, 2047); loop { s.index_of(p); } }"#;
    let files =
        [("a.rhai", slow), ("b.rhai", r#"fn on_request(r) { #{ tag: "seen" } }"#)].map(|(name, text)| {
            let file = folder.path().join(name);
            std::fs::write(&file, text).expect("the script is written");
            file
        });
    let mut scripts = Scripts::load(&files, RunningCallCell::default());
    assert_eq!(scripts.on_request(&request("m")), seen());
    let started = Instant::now();
    for _ in 0..100 {
        assert_eq!(scripts.on_request(&request("m")), seen());
    }
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
}

/// Closures that capture variables still work, although `curry` is disabled.
#[test]
fn closures_capture_variables() {
    let text = r#"fn on_request(r) { let tag = "seen"; let f = || tag; #{ tag: f.call() } }"#;
    assert_eq!(load(text, RunningCallCell::default()).on_request(&request("m")), seen());
}

#[rstest]
#[case::pipe(true)]
#[case::too_long(false)]
fn a_file_that_cannot_be_a_script_is_skipped(#[case] is_pipe: bool) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("a.rhai");
    if is_pipe {
        let status = std::process::Command::new("mkfifo").arg(&file).status().expect("mkfifo");
        assert!(status.success());
    } else {
        std::fs::write(&file, "/".repeat(100_000)).expect("the script is written");
    }
    assert!(Plugins::load(folder.path()).worker.is_none());
    let errors = check(folder.path());
    let expected = if is_pipe { "not a regular file" } else { "longer than 65536 bytes" };
    assert_eq!(errors.iter().map(|error| error.message.as_str()).collect::<Vec<_>>(), [expected]);
}
