//! The real program under the settings of each site variant in `deploy/sites`: it starts, takes messages of each class
//! on, delivers them, and after a kill and a restart delivers what was left.
mod stand;
use rstest::rstest;
use serde_json::Value;
use stand::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The names that a request needs from the settings.
struct Deployment {
    settings: String,
    /// Each class, and its deadline in milliseconds.
    classes: Vec<(String, u64)>,
    tenant: Option<String>,
}

fn site(name: &str) -> Deployment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/sites").join(name).join("settings.json");
    let settings = std::fs::read_to_string(&path).expect("its settings");
    let read: Value = serde_json::from_str(&settings).expect("JSON");
    let class = |c: &Value| {
        let name = c["name"].as_str().expect("a name").to_string();
        (name, c["deadlineNs"].as_u64().expect("a deadline") / 1_000_000)
    };
    let classes = read["classes"].as_array().expect("classes").iter().map(class).collect();
    let tenant = read["tenants"].as_array().expect("tenants").first();
    let tenant = tenant.map(|t| t["name"].as_str().expect("a name").to_string());
    Deployment { settings, classes, tenant }
}

/// One message of this class for dest 7, in the form of the protocol page: no tenant is named where there is none.
fn request(site: &Deployment, class: &str, deadline_ms: u64, id: &str) -> Vec<u8> {
    let tenant = site.tenant.as_ref().map(|t| format!("X-Tenant: {t}\r\n")).unwrap_or_default();
    let body = format!("body of {id}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n{tenant}\
         X-Key: 7f3a9c21e0b4d655\r\nX-Deadline: {deadline_ms}m\r\nIdempotency-Key: key-{id}\r\nX-Envelope: dest=7\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[rstest]
#[case::no_tenants_one_class_in_order("quayside-alerts")]
#[case::six_classes_and_reported_limits("orchard-freight")]
fn messages_of_each_class_are_accepted_and_delivered_also_after_a_restart(#[case] name: &str) {
    let site = site(name);
    let open = Arc::new(AtomicBool::new(true));
    let is_open = open.clone();
    let endpoint = Server::start(move |_, _| match is_open.load(Ordering::Relaxed) {
        true => respond("200 OK", "", ""),
        // Rejected, so it had no effect and stays pending.
        false => respond("503 Later", "", ""),
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let settings = Some(site.settings.clone());
    let mut daemon = Setup { settings, ..setup(&disco, known) }.start();
    let submit = |daemon: &Daemon, which: &str| -> Vec<String> {
        let one = |(class, deadline): &(String, u64)| {
            let id = format!("{class}-{which}");
            let answer = daemon.send_request(&request(&site, class, *deadline, &id)).expect("an answer");
            assert_eq!(answer.status(), 202, "{id}: {}", answer.text());
            id
        };
        site.classes.iter().map(one).collect()
    };
    for id in submit(&daemon, "first") {
        assert_eq!(endpoint.wait_request(&id).text(), format!("body of {id}"));
    }
    open.store(false, Ordering::Relaxed);
    let held = submit(&daemon, "held");
    daemon.kill();
    let before = endpoint.received().len();
    open.store(true, Ordering::Relaxed);
    daemon.restart();
    for id in &held {
        let is_over = |all: &[HttpMessage]| all[before..].iter().any(|h| h.request_id() == id);
        endpoint.wait_until(id, is_over);
    }
    let wrong = daemon.send_request(&request(&site, "no-such-class", 1000, "wrong")).expect("an answer");
    assert_eq!(wrong.status(), 404);
}

/// The window in which the receivers of this variant drop a repeat, and a call that comes at its very end.
const WINDOW: Duration = Duration::from_millis(1000);

/// The ids of calls, and when they came.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// When each call with this message came, counted from the first.
fn calls(endpoint: &Arrivals, id: &str) -> Vec<Duration> {
    let all = endpoint.lock().expect("lock");
    let times: Vec<Instant> = all.iter().filter(|c| c.0 == id).map(|c| c.1).collect();
    times.iter().map(|t| *t - times[0]).collect()
}

/// An endpoint that reads each call whole and then breaks the connection, so that it may have run.
fn resetting() -> (Server, Arrivals) {
    let came: Arrivals = Arc::default();
    let mine = came.clone();
    let endpoint = Server::start(move |heard, _| {
        mine.lock().expect("lock").push((heard.request_id().to_string(), Instant::now()));
        Reply::Close
    });
    (endpoint, came)
}

/// With a window of 1 s, an attempt that may have run is retried inside it only, and the message completes in time.
#[test]
fn an_attempt_that_may_have_run_is_retried_inside_the_window_only() {
    let site = site("quayside-alerts");
    let (endpoint, came) = resetting();
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let daemon = Setup { settings: Some(site.settings.clone()), ..setup(&disco, known) }.start();
    let (class, deadline) = &site.classes[0];
    assert_eq!(daemon.send_request(&request(&site, class, *deadline, "m1")).map(|h| h.status()), Some(202));
    disco.wait_text(r#""id":"m1""#);
    let calls = calls(&came, "m1");
    assert!(calls.len() > 1, "it is repeated: {calls:?}");
    assert!(calls.iter().all(|c| *c < WINDOW), "{calls:?}");
}

/// The same after a restart: the window counts from the attempt before it.
#[rstest]
#[case::inside_a_long_one("8000000000", Duration::ZERO, true)]
#[case::after_a_short_one("1000000000", WINDOW, false)]
fn a_restart_does_not_extend_the_window(
    #[case] window_ns: &str, #[case] down_for: Duration, #[case] again: bool,
) {
    let mut site = site("quayside-alerts");
    site.settings =
        site.settings.replace(r#""windowNs": 1000000000"#, &format!(r#""windowNs": {window_ns}"#));
    site.settings = site.settings.replace(r#""deadlineNs": 1800000000"#, r#""deadlineNs": 9000000000"#);
    site.classes[0].1 = 9000;
    assert!(site.settings.contains(window_ns) && site.settings.contains("9000000000"));
    let first = Arc::new(AtomicBool::new(true));
    let is_first = first.clone();
    let endpoint = Server::start(move |_, _| match is_first.swap(false, Ordering::Relaxed) {
        true => Reply::RespondAndHold(String::new()),
        false => respond("200 OK", "", ""),
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut daemon = Setup { settings: Some(site.settings.clone()), ..setup(&disco, known) }.start();
    let (class, deadline) = &site.classes[0];
    assert_eq!(daemon.send_request(&request(&site, class, *deadline, "m1")).map(|h| h.status()), Some(202));
    endpoint.wait_request("m1");
    daemon.kill();
    std::thread::sleep(down_for);
    daemon.restart();
    if again {
        endpoint.wait_until("a repeat inside the window", |all| all.len() == 2);
        return;
    }
    disco.wait_text(r#""id":"m1""#);
    assert_eq!(endpoint.received().len(), 1, "not repeated after the window");
}
