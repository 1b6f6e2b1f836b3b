//! Disk faults of the state folder: the daemon is killed while the folder cannot be written and is restarted when it can. No
//! message that may run at most once is attempted twice, and each message completes.
mod stand;
use rstest::rstest;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Makes these disk operations of the daemon fail from now on; an empty text ends all faults.
fn set_disk_faults(daemon: &Daemon, operations: &str) {
    std::fs::write(daemon.folder.join("faults"), operations).expect("the faults are set");
}

/// Starts an endpoint that answers no call until `open` is set, and then every call, including those it already has.
fn endpoint_silent_until(open: &Arc<AtomicBool>) -> Server {
    let open = open.clone();
    Server::start(move |_, _| {
        while !open.load(Ordering::Relaxed) {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
        respond("200 OK", "", "")
    })
}

/// Starts a daemon whose disk faults a test can set.
fn start(discovery: &Server, known: String, disk_mb: f64) -> Daemon {
    let path =
        std::env::temp_dir().join(format!("micaladder-faults-{}-{}", std::process::id(), unique_number()));
    let env = vec![("MICALADDER_DISK_FAULTS".to_string(), path.to_string_lossy().into_owned())];
    let daemon = Setup { disk_mb, env, ..setup(discovery, known) }.start();
    // The faults file lies in the daemon's folder, which is deleted with the daemon.
    std::os::unix::fs::symlink(daemon.folder.join("faults"), path).expect("a link");
    daemon
}

/// 60 messages that may run at most once are accepted, and some are in flight at a silent endpoint. Then the disk fails, the
/// endpoint answers, and the process is killed.
#[rstest]
#[case::append("append")]
#[case::append_and_truncate("append cut")]
#[case::append_and_create("append create")]
#[case::all_operations("append cut create rename remove")]
fn at_most_once_messages_in_flight_when_the_disk_fails_are_attempted_once(#[case] faults: &str) {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_silent_until(&open);
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = start(&discovery, known, 3.0);
    let ids: Vec<String> = (0..60).map(|n| format!("p{n}")).collect();
    ids.iter().for_each(|id| assert_eq!(daemon.submit("payout", id), 202));
    endpoint.wait_until("calls in flight", |all| all.len() >= 3);
    set_disk_faults(&daemon, faults);
    open.store(true, Ordering::Relaxed);
    daemon.wait_log("journal cannot be written");
    assert_eq!(daemon.submit("payout", "late"), 503);
    daemon.kill();
    set_disk_faults(&daemon, "");
    daemon.restart();
    let is_complete = |id: &str| {
        let has_callback = discovery.received().iter().any(|h| h.text().contains(&format!("\"{id}\"")));
        has_callback || endpoint.received().iter().any(|h| h.request_id() == id)
    };
    let until = std::time::Instant::now() + EVENT_TIMEOUT;
    while let Some(id) = ids.iter().find(|id| !is_complete(id)) {
        assert!(std::time::Instant::now() < until, "{id} does not complete");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let calls = endpoint.received();
    for id in &ids {
        let n = calls.iter().filter(|h| h.request_id() == id).count();
        assert!(n <= 1, "{id} was attempted {n} times");
    }
    assert!(!calls.iter().any(|h| h.request_id() == "late"));
}

/// The daemon logs one line at ERROR, accepts nothing while the journal cannot be written, and recovers without a restart.
#[test]
fn messages_are_accepted_again_once_the_journal_can_be_written() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let daemon = start(&discovery, known, 3.0);
    assert_eq!(daemon.submit("stats", "b1"), 202);
    endpoint.wait_request("b1");
    set_disk_faults(&daemon, "append");
    // The first message after the fault is rejected like all later ones.
    let rejected = daemon.send_request(&message_request("stats", "b2", "20000m", "")).expect("an answer");
    assert_eq!((rejected.status(), rejected.header("retry-after").is_some()), (503, true));
    assert_eq!(daemon.submit("payout", "b3"), 503);
    set_disk_faults(&daemon, "");
    daemon.wait_log("journal can be written again");
    assert_eq!(daemon.submit("payout", "b4"), 202);
    endpoint.wait_request("b4");
    assert_eq!(daemon.log().matches(" ERROR ").count(), 1);
    assert!(endpoint.received().iter().all(|h| h.request_id() != "b2" && h.request_id() != "b3"));
}

/// While compaction fails, the daemon appends to the old journal until its reserve is used up, and does not try compaction again
/// at each event.
#[rstest]
#[case::create_fails("create")]
#[case::rename_fails("rename")]
#[case::rename_and_remove_fail("rename remove")]
fn a_journal_that_cannot_be_compacted_stays_in_use_and_loses_nothing(#[case] faults: &str) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = start(&discovery, known, 0.06);
    set_disk_faults(&daemon, faults);
    let mut accepted = Vec::new();
    for n in 0..300 {
        let id = format!("w{n}");
        match daemon.submit("payout", &id) {
            202 => accepted.push(id),
            status => assert_eq!(status, 503),
        }
    }
    assert!(accepted.len() < 300 && accepted.len() > 30, "{} of 300 accepted", accepted.len());
    assert!(
        daemon.log().matches("journal not rewritten").count() == 1,
        "one line in all, not one for each message"
    );
    daemon.kill();
    set_disk_faults(&daemon, "");
    daemon.restart();
    assert_eq!(daemon.submit("payout", "after"), 202);
    endpoint.wait_request("after");
    accepted.iter().for_each(|id| drop(endpoint.wait_request(id)));
    let calls = endpoint.received();
    assert!(accepted.iter().all(|id| calls.iter().filter(|h| h.request_id() == id).count() == 1));
}

/// Guards against a process that ends by itself because its folder cannot be opened for a moment.
#[test]
fn a_process_starts_once_its_folder_can_be_opened() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = start(&discovery, known, 3.0);
    assert_eq!(daemon.submit("payout", "before"), 202);
    set_disk_faults(&daemon, "open");
    daemon.kill();
    daemon.restart_without_waiting();
    daemon.wait_log("cannot start or continue yet, trying again");
    daemon.wait_log_from(daemon.log().len(), "trying again");
    assert!(daemon.is_running(), "the process has ended");
    set_disk_faults(&daemon, "");
    daemon.wait_log("ready:");
    assert_eq!(daemon.submit("payout", "after"), 202);
    endpoint.wait_request("after");
}

/// A process that cannot open its folder yet still ends on SIGTERM.
#[test]
fn a_process_that_waits_for_its_folder_ends_on_sigterm() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = start(&discovery, known, 3.0);
    set_disk_faults(&daemon, "open");
    daemon.kill();
    daemon.restart_without_waiting();
    daemon.wait_log("cannot start or continue yet, trying again");
    daemon.terminate();
    assert!(daemon.wait_exit(std::time::Duration::from_millis(3700)).success());
}
