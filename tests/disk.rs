//! The real program on a folder that cannot be written from a moment on, killed while that lasts, and started again
//! with room: what was paid is not paid again, and each message has its end.
mod stand;
use rstest::rstest;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Lets calls of the program's disk fail from now on; none of them with an empty text.
fn fail(daemon: &Daemon, what: &str) {
    std::fs::write(daemon.folder.join("faults"), what).expect("the faults are set");
}

/// An endpoint that is silent until it is told to answer; then it takes everything, what it holds included.
fn silent_until(open: &Arc<AtomicBool>) -> Server {
    let open = open.clone();
    Server::start(move |_, _| {
        while !open.load(Ordering::Relaxed) {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
        respond("200 OK", "", "")
    })
}

fn start(disco: &Server, known: String, disk_mb: f64) -> Daemon {
    let path =
        std::env::temp_dir().join(format!("micaladder-faults-{}-{}", std::process::id(), unique_number()));
    let env = vec![("MICALADDER_DISK_FAULTS".to_string(), path.to_string_lossy().into_owned())];
    let daemon = Setup { disk_mb, env, ..setup(disco, known) }.start();
    // Its file of faults lies in its folder, which goes with it.
    std::os::unix::fs::symlink(daemon.folder.join("faults"), path).expect("a link");
    daemon
}

/// 60 payouts taken on, some out at a silent partner; the disk fails, the partner answers, the process is killed.
#[rstest]
#[case::append("append")]
#[case::append_and_shortening("append cut")]
#[case::writing_anew_too("append create")]
#[case::nothing_works("append cut create rename remove")]
fn payouts_out_when_the_disk_fails_are_paid_once(#[case] faults: &str) {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = silent_until(&open);
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut daemon = start(&disco, known, 3.0);
    let ids: Vec<String> = (0..60).map(|n| format!("p{n}")).collect();
    ids.iter().for_each(|id| assert_eq!(daemon.submit("payout", id), 202));
    endpoint.wait_until("calls that are out", |all| all.len() >= 3);
    fail(&daemon, faults);
    open.store(true, Ordering::Relaxed);
    daemon.wait_log("journal cannot be written");
    assert_eq!(daemon.submit("payout", "late"), 503);
    daemon.kill();
    fail(&daemon, "");
    daemon.restart();
    let over = |id: &str| {
        let told = disco.received().iter().any(|h| h.text().contains(&format!("\"{id}\"")));
        told || endpoint.received().iter().any(|h| h.request_id() == id)
    };
    let until = std::time::Instant::now() + EVENT_TIMEOUT;
    while let Some(id) = ids.iter().find(|id| !over(id)) {
        assert!(std::time::Instant::now() < until, "{id} has no end");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let calls = endpoint.received();
    for id in &ids {
        let n = calls.iter().filter(|h| h.request_id() == id).count();
        assert!(n <= 1, "{id} was paid {n} times");
    }
    assert!(!calls.iter().any(|h| h.request_id() == "late"));
}

/// One line at ERROR, nothing taken on, and service again without a restart.
#[test]
fn it_comes_back_by_itself_when_there_is_room_again() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let daemon = start(&disco, known, 3.0);
    assert_eq!(daemon.submit("stats", "b1"), 202);
    endpoint.wait_request("b1");
    fail(&daemon, "append");
    // The first to meet the fault is turned away like all that follow.
    let refused = daemon.send_request(&message_request("stats", "b2", "20000m", "")).expect("an answer");
    assert_eq!((refused.status(), refused.header("retry-after").is_some()), (503, true));
    assert_eq!(daemon.submit("payout", "b3"), 503);
    fail(&daemon, "");
    daemon.wait_log("journal can be written again");
    assert_eq!(daemon.submit("payout", "b4"), 202);
    endpoint.wait_request("b4");
    assert_eq!(daemon.log().matches(" ERROR ").count(), 1);
    assert!(endpoint.received().iter().all(|h| h.request_id() != "b2" && h.request_id() != "b3"));
}

/// The log cannot be written anew: the old one goes on until its reserve is used up, and is not tried at each event.
#[rstest]
#[case::no_new_file("create")]
#[case::no_new_name("rename")]
#[case::nor_taken_away("rename remove")]
fn a_log_that_cannot_be_written_anew_goes_on_and_forgets_nothing(#[case] faults: &str) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut daemon = start(&disco, known, 0.06);
    fail(&daemon, faults);
    let mut taken = Vec::new();
    for n in 0..300 {
        let id = format!("w{n}");
        match daemon.submit("payout", &id) {
            202 => taken.push(id),
            status => assert_eq!(status, 503),
        }
    }
    assert!(taken.len() < 300 && taken.len() > 30, "{} of 300 taken on", taken.len());
    assert!(daemon.log().matches("journal not rewritten").count() == 1, "one line, not one a message");
    daemon.kill();
    fail(&daemon, "");
    daemon.restart();
    assert_eq!(daemon.submit("payout", "after"), 202);
    endpoint.wait_request("after");
    taken.iter().for_each(|id| drop(endpoint.wait_request(id)));
    let calls = endpoint.received();
    assert!(taken.iter().all(|id| calls.iter().filter(|h| h.request_id() == id).count() == 1));
}
