//! The endpoint list with which a process starts: what this forwarder heard from discovery last, also while discovery is silent.
mod stand;
use rstest::rstest;
use stand::*;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;

/// Attempts that the test deployment has in flight at once.
const SLOTS: usize = 6;

/// How a second process comes to own the folder.
#[derive(Clone, Copy)]
enum Start {
    AfterKill,
    BesideTheFirst,
}

/// What discovery does with the watches of the second process.
#[derive(Clone, Copy)]
enum LaterWatches {
    Silent,
    Closed,
}

/// Starts an endpoint that answers a request whose id begins with `slow` only once the returned sender is dropped.
fn start_endpoint() -> (Server, Sender<()>) {
    let (gate, closed): (Sender<()>, Receiver<()>) = channel();
    let closed = Mutex::new(closed);
    let endpoint = Server::start(move |request, _| {
        if request.request_id().starts_with("slow") {
            let _ = closed.lock().expect("lock").recv_timeout(EVENT_TIMEOUT);
        }
        respond("200 OK", "", "")
    });
    (endpoint, gate)
}

/// Starts a discovery server that sends `list` to the first watch only, and acknowledges callbacks.
fn start_discovery_once(list: String, later: LaterWatches) -> Server {
    let is_first = Mutex::new(true);
    Server::start(move |request, _| {
        if request.start_line.starts_with("POST") {
            return respond("204 No Content", "", "");
        }
        if std::mem::take(&mut *is_first.lock().expect("lock")) {
            return watch_response(&list);
        }
        match later {
            LaterWatches::Silent => Reply::RespondAndHold(String::new()),
            LaterWatches::Closed => Reply::Close,
        }
    })
}

/// Guards against messages to another destination's endpoint (issue 57): a second process sent by the list of its configuration,
/// in which an address still belonged to the endpoint that had it before.
#[rstest]
fn a_second_process_sends_by_the_list_that_the_first_one_received(
    #[values(Start::AfterKill, Start::BesideTheFirst)] start: Start,
    #[values(LaterWatches::Silent, LaterWatches::Closed)] later: LaterWatches,
) {
    let moved = Server::always("200 OK");
    let (endpoint, gate) = start_endpoint();
    let known = endpoint_list(1, &[(7, moved.addr)]);
    // The endpoint of destination 7 was replaced at another address, and an endpoint of destination 8 came at its old one.
    let told = endpoint_list(2, &[(8, moved.addr), (7, endpoint.addr)]);
    let discovery = start_discovery_once(told.replace("s-1", "s-2").replace("s-0", "s-1"), later);
    let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
    let mut first = Setup { env, ..setup(&discovery, known) }.start();
    first.wait_log("upstream group: version 2");
    // Each of these holds a slot or waits for one, so the last message is not attempted by the first process.
    for n in 0..SLOTS {
        assert_eq!(first.submit("payout", &format!("slow-{n}")), 202);
    }
    assert_eq!(first.submit("payout", "untried"), 202);
    endpoint.wait_request("slow-0");
    let second = match start {
        Start::AfterKill => {
            first.kill();
            first.restart();
            None
        }
        Start::BesideTheFirst => {
            let second = first.start_second_process("RELAY_MGMT", &free_address().to_string());
            second.wait_log("ready:");
            Some(second)
        }
    };
    drop(gate);
    assert_eq!(second.as_ref().unwrap_or(&first).submit("payout", "new"), 202);
    endpoint.wait_request("untried");
    endpoint.wait_request("new");
    assert_eq!(moved.received().len(), 0, "calls at an endpoint of destination 8: {:?}", moved.received());
}
