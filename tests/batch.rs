//! Several messages for one endpoint in one call, where its kind takes them: how each ends, and what is required of the
//! complete answer.
mod stand;
use rstest::rstest;
use stand::*;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One message of a call.
struct Part {
    id: String,
    key: String,
    body: Vec<u8>,
}

/// The messages of a call, parsed as the platform's protocol page specifies.
fn parts(call: &HttpMessage) -> Vec<Part> {
    let (mut all, mut rest) = (Vec::new(), &call.body[..]);
    while !rest.is_empty() {
        let end = rest.windows(2).position(|w| w == b"\r\n").expect("a line");
        let line = String::from_utf8(rest[..end].to_vec()).expect("text");
        let words: Vec<&str> = line.split(' ').collect();
        let [id, key, size] = words[..] else { panic!("no line of three words: {line:?}") };
        let size: usize = size.parse().expect("a length");
        let body = rest[end + 2..end + 2 + size].to_vec();
        assert_eq!(&rest[end + 2 + size..end + 4 + size], b"\r\n", "its end");
        all.push(Part { id: id.to_string(), key: key.to_string(), body });
        rest = &rest[end + 4 + size..];
    }
    all
}

fn is_batch(call: &HttpMessage) -> bool {
    call.start_line.starts_with("POST /v1/messages:batch ")
}

fn batches(server: &Server) -> Vec<Vec<Part>> {
    server.received().iter().filter(|c| is_batch(c)).map(parts).collect()
}

/// One slot, kinds that take ten messages in a call, and an endpoint whose first call is held until it is released.
struct Scene {
    endpoint: Server,
    disco: Server,
    daemon: Daemon,
    release: Sender<()>,
}

fn scene(answer: impl Fn(&[Part], usize) -> Reply + Send + Sync + 'static) -> Scene {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let calls = Mutex::new(0);
    let endpoint = Server::start(move |heard, n| {
        if n == 0 {
            let _ = released.lock().expect("lock").recv_timeout(EVENT_TIMEOUT);
        }
        if !is_batch(heard) {
            return respond("200 OK", "", "");
        }
        let mut calls = calls.lock().expect("lock");
        *calls += 1;
        answer(&parts(heard), *calls - 1)
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let settings_replacements =
        vec![(r#""perCall":[1]"#, r#""perCall":[10]"#), (r#""workers":6"#, r#""workers":1"#)];
    let daemon = Setup { settings_replacements, ..setup(&disco, known) }.start();
    Scene { endpoint, disco, daemon, release }
}

impl Scene {
    /// Submits messages that wait for the slot, and then are sent together.
    fn submit_together(&self, all: &[(&str, &str)]) {
        assert_eq!(self.daemon.submit("stats", "first"), 202);
        self.endpoint.wait_request("first");
        all.iter().for_each(|(class, id)| assert_eq!(self.daemon.submit(class, id), 202));
        self.release.send(()).expect("it waits");
        self.endpoint.wait_until("a call with several", |all| all.iter().any(is_batch));
    }
}

fn answer_for_each(parts: &[Part], result: impl Fn(&str) -> &'static str) -> String {
    parts.iter().map(|p| format!("{} {}\r\n", p.id, result(&p.id))).collect()
}

#[test]
fn each_message_ends_as_the_complete_answer_says() {
    let s = scene(|parts, n| {
        let result = |id: &str| match (n, id) {
            (0, "f") => "failed",
            (0, "b") => "busy",
            (0, "v") => "void",
            _ => "done",
        };
        respond("200 OK", "", &answer_for_each(parts, result))
    });
    s.submit_together(&[("payout", "d"), ("payout", "f"), ("payout", "b"), ("payout", "v"), ("stats", "x")]);
    s.disco.wait_text(r#"{"id":"f","status":"undeliverable"}"#);
    // The one that was rejected is sent again, the others are not.
    let times_sent = |all: &[HttpMessage], id: &str| {
        let alone = all.iter().filter(|c| c.request_id() == id).count();
        alone + all.iter().filter(|c| is_batch(c)).flat_map(parts).filter(|p| p.id == id).count()
    };
    let all = s.endpoint.wait_until("b again", |all| times_sent(all, "b") == 2);
    assert_eq!(["d", "f", "v", "x"].map(|id| times_sent(&all, id)), [1; 4]);
    let first = &batches(&s.endpoint)[0];
    assert!((2..=10).contains(&first.len()), "{}", first.len());
    let d = first.iter().find(|p| p.id == "d").expect("it went");
    assert_eq!((d.key.as_str(), d.body.as_slice()), ("key-d", &b"body of d"[..]));
    assert_eq!(
        s.disco.count_distinct_bodies(r#""id":"d""#) + s.disco.count_distinct_bodies(r#""id":"v""#),
        0
    );
}

#[test]
fn a_call_carries_no_more_than_its_kind_takes() {
    let s = scene(|parts, _| respond("200 OK", "", &answer_for_each(parts, |_| "done")));
    let names: Vec<String> = (0..25).map(|n| format!("m{n}")).collect();
    let all: Vec<(&str, &str)> = names.iter().map(|n| ("stats", n.as_str())).collect();
    s.submit_together(&all);
    let sent = |all: &[HttpMessage]| all.iter().filter(|c| is_batch(c)).flat_map(parts).count();
    let all = s
        .endpoint
        .wait_until("all of them", |all| sent(all) + all.iter().filter(|c| !is_batch(c)).count() >= 26);
    let sizes: Vec<usize> = all.iter().filter(|c| is_batch(c)).map(|c| parts(c).len()).collect();
    assert!(sizes.iter().all(|n| (2..=10).contains(n)) && sizes.contains(&10), "{sizes:?}");
}

/// Where none has run, all are sent again; a payout too.
#[rstest]
#[case::too_many("413 Too Many")]
#[case::unread("400 Bad")]
#[case::full("503 Full")]
fn an_answer_that_none_has_run_has_all_sent_again(#[case] status: &'static str) {
    let s = scene(move |parts, n| match n {
        0 => respond(status, "", ""),
        _ => respond("200 OK", "", &answer_for_each(parts, |_| "done")),
    });
    s.submit_together(&[("payout", "p"), ("stats", "q")]);
    let times = |all: &[HttpMessage], id: &str| {
        all.iter()
            .filter(|c| c.request_id() == id || (is_batch(c) && parts(c).iter().any(|p| p.id == id)))
            .count()
    };
    s.endpoint.wait_until("both again", |all| times(all, "p") == 2 && times(all, "q") == 2);
}

#[rstest]
#[case::cut(|_: &[Part]| Reply::Close)]
#[case::half(|p: &[Part]| Reply::Respond(format!("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{} done\r\n", p[0].id)))]
#[case::silent_on_one(|_: &[Part]| respond("200 OK", "", "somebody done\r\n"))]
#[case::error(|_: &[Part]| respond("500 Error", "", ""))]
fn a_payout_in_a_call_that_may_have_run_is_never_sent_again(#[case] reply: fn(&[Part]) -> Reply) {
    let s = scene(move |parts, n| match n {
        0 => reply(parts),
        _ => respond("200 OK", "", &answer_for_each(parts, |_| "done")),
    });
    s.submit_together(&[("payout", "p"), ("payout", "r"), ("stats", "q")]);
    s.disco.wait_text(r#"{"id":"p","status":"undeliverable"}"#);
    s.disco.wait_text(r#"{"id":"r","status":"undeliverable"}"#);
    let times = |id: &str| batches(&s.endpoint).iter().flatten().filter(|p| p.id == id).count();
    assert_eq!((times("p"), times("r")), (1, 1));
}

#[test]
fn a_retry_after_in_the_answer_to_a_batch_is_respected() {
    let s = scene(|parts, n| match n {
        0 => respond("200 OK", "Retry-After: 1.2\r\n", &answer_for_each(parts, |_| "busy")),
        _ => respond("200 OK", "", &answer_for_each(parts, |_| "done")),
    });
    s.submit_together(&[("payout", "p"), ("payout", "q")]);
    s.daemon.wait_log("Retry-After received");
    let (received_at, before) = (Instant::now(), s.endpoint.received().len());
    s.endpoint.wait_until("more", |all| all.len() > before);
    assert!(received_at.elapsed() >= Duration::from_millis(1100), "sent after {:?}", received_at.elapsed());
}

#[test]
fn a_message_that_times_out_does_not_cancel_a_payout_in_its_call() {
    let s = scene(|_, _| Reply::RespondAndHold(String::new()));
    s.submit_together(&[("payout", "p"), ("stats", "q")]);
    s.daemon.wait_log("attempt ended message=q outcome=Timeout");
    assert!(!s.daemon.log().contains("attempt ended message=p"), "a payout may use all of its time");
}

/// A batch gives its slot up once all of its messages are cancelled, and not for one of them.
#[test]
fn a_silent_batch_makes_way_for_another_destination() {
    let other = Server::always("200 OK");
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let silent = Server::start(move |heard, n| {
        if n == 0 {
            let _ = released.lock().expect("lock").recv_timeout(EVENT_TIMEOUT);
        }
        if is_batch(heard) {
            return Reply::RespondAndHold(String::new());
        }
        respond("200 OK", "", "")
    });
    let known = endpoint_list(1, &[(7, silent.addr), (8, other.addr)]);
    let disco = start_discovery(known.clone());
    let settings_replacements =
        vec![(r#""perCall":[1]"#, r#""perCall":[10]"#), (r#""workers":6"#, r#""workers":1"#)];
    let daemon = Setup { settings_replacements, ..setup(&disco, known) }.start();
    let s = Scene { endpoint: silent, disco, daemon, release };
    s.submit_together(&[("stats", "a"), ("stats", "b"), ("stats", "c")]);
    let elsewhere = String::from_utf8(message_request("payout", "o", "20000m", "")).expect("text");
    let elsewhere = elsewhere.replace("dest=7", "dest=8");
    assert_eq!(s.daemon.send_request(elsewhere.as_bytes()).map(|h| h.status()), Some(202));
    other.wait_request("o");
    let ended = |id: &str, log: &str| log.contains(&format!("attempt ended message={id} outcome="));
    let log = s.daemon.log();
    assert!(["a", "b", "c"].iter().all(|id| ended(id, &log)), "its slot was freed before its call had ended");
}
