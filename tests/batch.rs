//! Batches: calls with several messages for one endpoint, where the endpoint's kind supports them. Checks the outcome of
//! each message, and what a response must contain.
mod stand;
use rstest::rstest;
use stand::*;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One message of a batch.
struct BatchedMessage {
    id: String,
    key: String,
    body: Vec<u8>,
}

/// Parses the messages of a batch as the platform's protocol page specifies.
fn parse_batch(call: &HttpMessage) -> Vec<BatchedMessage> {
    let (mut messages, mut rest) = (Vec::new(), &call.body[..]);
    while !rest.is_empty() {
        let end = rest.windows(2).position(|w| w == b"\r\n").expect("a complete line");
        let line = String::from_utf8(rest[..end].to_vec()).expect("UTF-8");
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, key, size] = fields[..] else { panic!("not a line of three fields: {line:?}") };
        let size: usize = size.parse().expect("a body length");
        let body = rest[end + 2..end + 2 + size].to_vec();
        assert_eq!(&rest[end + 2 + size..end + 4 + size], b"\r\n", "a body ends with a line break");
        messages.push(BatchedMessage { id: id.to_string(), key: key.to_string(), body });
        rest = &rest[end + 4 + size..];
    }
    messages
}

fn is_batch(call: &HttpMessage) -> bool {
    call.start_line.starts_with("POST /v1/messages:batch ")
}

fn batches(server: &Server) -> Vec<Vec<BatchedMessage>> {
    server.received().iter().filter(|call| is_batch(call)).map(parse_batch).collect()
}

/// A daemon with one slot and batches of up to ten messages, and an endpoint that does not respond to its first call before
/// `release`.
struct Fixture {
    endpoint: Server,
    discovery: Server,
    daemon: Daemon,
    release: Sender<()>,
}

/// Starts the daemon. `respond_to_batch` gets the messages of a batch and the batch's index, from 0.
fn fixture(respond_to_batch: impl Fn(&[BatchedMessage], usize) -> Reply + Send + Sync + 'static) -> Fixture {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let batch_count = Mutex::new(0);
    let endpoint = Server::start(move |call, n| {
        if n == 0 {
            let _ = released.lock().expect("lock").recv_timeout(EVENT_TIMEOUT);
        }
        if !is_batch(call) {
            return respond("200 OK", "", "");
        }
        let mut batch_count = batch_count.lock().expect("lock");
        *batch_count += 1;
        respond_to_batch(&parse_batch(call), *batch_count - 1)
    });
    let endpoints = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(endpoints.clone());
    let settings_replacements =
        vec![(r#""perCall":[1]"#, r#""perCall":[10]"#), (r#""workers":6"#, r#""workers":1"#)];
    let daemon = Setup { settings_replacements, ..setup(&discovery, endpoints) }.start();
    Fixture { endpoint, discovery, daemon, release }
}

impl Fixture {
    /// Submits messages while the only slot is in use, so that they are sent in one batch once it is free.
    fn submit_together(&self, messages: &[(&str, &str)]) {
        assert_eq!(self.daemon.submit("stats", "first"), 202);
        self.endpoint.wait_request("first");
        messages.iter().for_each(|(class, id)| assert_eq!(self.daemon.submit(class, id), 202));
        self.release.send(()).expect("the endpoint waits for the release");
        self.endpoint.wait_until("a batch", |calls| calls.iter().any(is_batch));
    }
}

/// Returns the body of a response with a result for each message.
fn results_for(messages: &[BatchedMessage], result: impl Fn(&str) -> &'static str) -> String {
    messages.iter().map(|m| format!("{} {}\r\n", m.id, result(&m.id))).collect()
}

#[test]
fn each_message_gets_the_outcome_in_the_response() {
    let fixture = fixture(|messages, n| {
        let result = |id: &str| match (n, id) {
            (0, "f") => "failed",
            (0, "b") => "busy",
            (0, "v") => "void",
            _ => "done",
        };
        respond("200 OK", "", &results_for(messages, result))
    });
    fixture.submit_together(&[
        ("payout", "d"),
        ("payout", "f"),
        ("payout", "b"),
        ("payout", "v"),
        ("stats", "x"),
    ]);
    fixture.discovery.wait_text(r#"{"id":"f","status":"undeliverable"}"#);
    // Only the message with the result `busy` is sent again.
    let times_sent = |calls: &[HttpMessage], id: &str| {
        let alone = calls.iter().filter(|c| c.request_id() == id).count();
        alone + calls.iter().filter(|c| is_batch(c)).flat_map(parse_batch).filter(|m| m.id == id).count()
    };
    let calls = fixture.endpoint.wait_until("b again", |calls| times_sent(calls, "b") == 2);
    assert_eq!(["d", "f", "v", "x"].map(|id| times_sent(&calls, id)), [1; 4]);
    let first_batch = &batches(&fixture.endpoint)[0];
    assert!((2..=10).contains(&first_batch.len()), "{}", first_batch.len());
    let d = first_batch.iter().find(|m| m.id == "d").expect("message d was sent");
    assert_eq!((d.key.as_str(), d.body.as_slice()), ("key-d", &b"body of d"[..]));
    let callbacks = |id: &str| fixture.discovery.count_distinct_bodies(id);
    assert_eq!(callbacks(r#""id":"d""#) + callbacks(r#""id":"v""#), 0);
}

#[test]
fn a_batch_has_at_most_the_number_of_messages_that_its_kind_allows() {
    let fixture = fixture(|messages, _| respond("200 OK", "", &results_for(messages, |_| "done")));
    let ids: Vec<String> = (0..25).map(|n| format!("m{n}")).collect();
    let messages: Vec<(&str, &str)> = ids.iter().map(|id| ("stats", id.as_str())).collect();
    fixture.submit_together(&messages);
    let batched = |calls: &[HttpMessage]| calls.iter().filter(|c| is_batch(c)).flat_map(parse_batch).count();
    let calls = fixture.endpoint.wait_until("all messages", |calls| {
        batched(calls) + calls.iter().filter(|c| !is_batch(c)).count() >= 26
    });
    let sizes: Vec<usize> = calls.iter().filter(|c| is_batch(c)).map(|c| parse_batch(c).len()).collect();
    assert!(sizes.iter().all(|n| (2..=10).contains(n)) && sizes.contains(&10), "{sizes:?}");
}

/// These statuses state that no message of the batch was run, so even a payout, which must not run twice, is sent again.
#[rstest]
#[case::too_large("413 Too Many")]
#[case::bad_request("400 Bad")]
#[case::unavailable("503 Full")]
fn resends_all_messages_if_the_response_states_that_none_was_run(#[case] status: &'static str) {
    let fixture = fixture(move |messages, n| match n {
        0 => respond(status, "", ""),
        _ => respond("200 OK", "", &results_for(messages, |_| "done")),
    });
    fixture.submit_together(&[("payout", "p"), ("stats", "q")]);
    let times_sent = |calls: &[HttpMessage], id: &str| {
        let carries = |c: &HttpMessage| {
            c.request_id() == id || (is_batch(c) && parse_batch(c).iter().any(|m| m.id == id))
        };
        calls.iter().filter(|c| carries(c)).count()
    };
    let both_again = |calls: &[HttpMessage]| times_sent(calls, "p") == 2 && times_sent(calls, "q") == 2;
    fixture.endpoint.wait_until("both messages again", both_again);
}

/// Returns a response whose body is shorter than it says, on a connection that stays open.
fn incomplete(status: &str) -> Reply {
    Reply::RespondAndHold(format!("HTTP/1.1 {status}\r\ncontent-length: 40\r\n\r\nshort"))
}

#[rstest]
#[case::connection_closed(|_: &[BatchedMessage]| Reply::Close)]
#[case::incomplete_body(|m: &[BatchedMessage]| {
    Reply::Respond(format!("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{} done\r\n", m[0].id))
})]
#[case::missing_results(|_: &[BatchedMessage]| respond("200 OK", "", "somebody done\r\n"))]
#[case::contradictory_results(|_: &[BatchedMessage]| respond("200 OK", "", "p done\r\nr failed\r\np busy\r\nr busy\r\n"))]
#[case::error_status(|_: &[BatchedMessage]| respond("500 Error", "", ""))]
#[case::gateway_timeout(|_: &[BatchedMessage]| respond("504 Gateway Timeout", "", ""))]
#[case::gone(|_: &[BatchedMessage]| respond("410 Gone", "", ""))]
#[case::incomplete_503(|_: &[BatchedMessage]| incomplete("503 Full"))]
#[case::incomplete_429(|_: &[BatchedMessage]| incomplete("429 Later\r\nretry-after: 0.2"))]
#[case::incomplete_400(|_: &[BatchedMessage]| incomplete("400 Bad"))]
#[case::incomplete_413(|_: &[BatchedMessage]| incomplete("413 Too Many"))]
fn never_resends_a_payout_of_a_batch_that_may_have_run(#[case] reply: fn(&[BatchedMessage]) -> Reply) {
    let fixture = fixture(move |messages, n| match n {
        0 => reply(messages),
        _ => respond("200 OK", "", &results_for(messages, |_| "done")),
    });
    fixture.submit_together(&[("payout", "p"), ("payout", "r"), ("stats", "q")]);
    fixture.discovery.wait_text(r#"{"id":"p","status":"undeliverable"}"#);
    fixture.discovery.wait_text(r#"{"id":"r","status":"undeliverable"}"#);
    let times_sent = |id: &str| batches(&fixture.endpoint).iter().flatten().filter(|m| m.id == id).count();
    assert_eq!((times_sent("p"), times_sent("r")), (1, 1));
}

#[test]
fn respects_a_retry_after_in_the_response_to_a_batch() {
    let fixture = fixture(|messages, n| match n {
        0 => respond("200 OK", "Retry-After: 1.2\r\n", &results_for(messages, |_| "busy")),
        _ => respond("200 OK", "", &results_for(messages, |_| "done")),
    });
    fixture.submit_together(&[("payout", "p"), ("payout", "q")]);
    fixture.daemon.wait_log("Retry-After received");
    let (received_at, calls_before) = (Instant::now(), fixture.endpoint.received().len());
    fixture.endpoint.wait_until("another call", |calls| calls.len() > calls_before);
    assert!(received_at.elapsed() >= Duration::from_millis(1100), "sent after {:?}", received_at.elapsed());
}

#[test]
fn a_message_that_times_out_does_not_cancel_a_payout_in_its_batch() {
    let fixture = fixture(|_, _| Reply::RespondAndHold(String::new()));
    fixture.submit_together(&[("payout", "p"), ("stats", "q")]);
    fixture.daemon.wait_log("attempt ended message=q outcome=Timeout");
    let log = fixture.daemon.log();
    assert!(!log.contains("attempt ended message=p"), "a payout's attempt may last until its deadline");
}

/// A batch frees its slot only once all of its messages are cancelled.
#[test]
fn a_batch_without_a_response_frees_its_slot_for_another_destination() {
    let other_endpoint = Server::always("200 OK");
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let silent_endpoint = Server::start(move |call, n| {
        if n == 0 {
            let _ = released.lock().expect("lock").recv_timeout(EVENT_TIMEOUT);
        }
        if is_batch(call) {
            return Reply::RespondAndHold(String::new());
        }
        respond("200 OK", "", "")
    });
    let endpoints = endpoint_list(1, &[(7, silent_endpoint.addr), (8, other_endpoint.addr)]);
    let discovery = start_discovery(endpoints.clone());
    let settings_replacements =
        vec![(r#""perCall":[1]"#, r#""perCall":[10]"#), (r#""workers":6"#, r#""workers":1"#)];
    let daemon = Setup { settings_replacements, ..setup(&discovery, endpoints) }.start();
    let fixture = Fixture { endpoint: silent_endpoint, discovery, daemon, release };
    fixture.submit_together(&[("stats", "a"), ("stats", "b"), ("stats", "c")]);
    let request = String::from_utf8(message_request("payout", "o", "20000m", "")).expect("UTF-8");
    let to_other_destination = request.replace("dest=7", "dest=8");
    assert_eq!(fixture.daemon.send_request(to_other_destination.as_bytes()).map(|r| r.status()), Some(202));
    other_endpoint.wait_request("o");
    let ended = |id: &str, log: &str| log.contains(&format!("attempt ended message={id} outcome="));
    let log = fixture.daemon.log();
    assert!(
        ["a", "b", "c"].iter().all(|id| ended(id, &log)),
        "the slot was freed before the batch had ended"
    );
}
