//! The daemon with the settings of each site in `deploy/sites`: it starts, accepts and delivers messages of each class, and after
//! a kill and a restart delivers the pending messages.
mod stand;
use rstest::rstest;
use serde_json::Value;
use stand::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A site's settings and the names in them that a request needs.
struct Deployment {
    settings: String,
    /// The name of each class and its deadline in milliseconds.
    classes: Vec<(String, u64)>,
    tenant: Option<String>,
}

fn read_site(name: &str) -> Deployment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/sites").join(name).join("settings.json");
    let settings = std::fs::read_to_string(&path).expect("the site's settings");
    let parsed: Value = serde_json::from_str(&settings).expect("JSON");
    let class = |c: &Value| {
        let name = c["name"].as_str().expect("a name").to_string();
        (name, c["deadlineNs"].as_u64().expect("a deadline") / 1_000_000)
    };
    let classes = parsed["classes"].as_array().expect("classes").iter().map(class).collect();
    let tenant = parsed["tenants"].as_array().expect("tenants").first();
    let tenant = tenant.map(|t| t["name"].as_str().expect("a name").to_string());
    Deployment { settings, classes, tenant }
}

/// Returns the request for a message of this class to destination 7, without a tenant header if the site has no tenants.
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
#[case::one_ordered_class_without_tenants("quayside-alerts")]
#[case::six_classes_with_reported_limits("orchard-freight")]
fn messages_of_each_class_are_accepted_and_delivered_even_after_a_restart(#[case] name: &str) {
    let site = read_site(name);
    let answers_ok = Arc::new(AtomicBool::new(true));
    let responds_ok = answers_ok.clone();
    let endpoint = Server::start(move |_, _| match responds_ok.load(Ordering::Relaxed) {
        true => respond("200 OK", "", ""),
        // A rejected message had no effect and stays pending.
        false => respond("503 Later", "", ""),
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let settings = Some(site.settings.clone());
    let mut daemon = Setup { settings, ..setup(&discovery, known) }.start();
    let submit = |daemon: &Daemon, suffix: &str| -> Vec<String> {
        let submit_class = |(class, deadline): &(String, u64)| {
            let id = format!("{class}-{suffix}");
            let answer = daemon.send_request(&request(&site, class, *deadline, &id)).expect("an answer");
            assert_eq!(answer.status(), 202, "{id}: {}", answer.text());
            id
        };
        site.classes.iter().map(submit_class).collect()
    };
    for id in submit(&daemon, "first") {
        assert_eq!(endpoint.wait_request(&id).text(), format!("body of {id}"));
    }
    answers_ok.store(false, Ordering::Relaxed);
    let pending = submit(&daemon, "pending");
    daemon.kill();
    let calls_before = endpoint.received().len();
    answers_ok.store(true, Ordering::Relaxed);
    daemon.restart();
    for id in &pending {
        let is_delivered = |all: &[HttpMessage]| all[calls_before..].iter().any(|h| h.request_id() == id);
        endpoint.wait_until(id, is_delivered);
    }
    let unknown_class =
        daemon.send_request(&request(&site, "no-such-class", 1000, "unknown")).expect("an answer");
    assert_eq!(unknown_class.status(), 404);
}

/// The time in which the receivers of quayside-alerts drop a repeated message.
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(1000);

/// The request id and the arrival time of each call.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// Returns the arrival times of the calls with this message, counted from the first of them.
fn arrival_times(arrivals: &Arrivals, id: &str) -> Vec<Duration> {
    let all = arrivals.lock().expect("lock");
    let times: Vec<Instant> = all.iter().filter(|c| c.0 == id).map(|c| c.1).collect();
    times.iter().map(|t| *t - times[0]).collect()
}

/// Starts an endpoint that reads each call and then closes the connection, so that the message may have run.
fn closing_endpoint() -> (Server, Arrivals) {
    let arrivals: Arrivals = Arc::default();
    let recorded = arrivals.clone();
    let endpoint = Server::start(move |request, _| {
        recorded.lock().expect("lock").push((request.request_id().to_string(), Instant::now()));
        Reply::Close
    });
    (endpoint, arrivals)
}

/// With a deduplication window of 1 s, a message that may have run is retried only inside the window and completes in time.
#[test]
fn a_message_that_may_have_run_is_retried_inside_the_window_only() {
    let site = read_site("quayside-alerts");
    let (endpoint, arrivals) = closing_endpoint();
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let daemon = Setup { settings: Some(site.settings.clone()), ..setup(&discovery, known) }.start();
    let (class, deadline) = &site.classes[0];
    assert_eq!(daemon.send_request(&request(&site, class, *deadline, "m1")).map(|h| h.status()), Some(202));
    discovery.wait_text(r#""id":"m1""#);
    let times = arrival_times(&arrivals, "m1");
    assert!(times.len() > 1, "the message is retried: {times:?}");
    assert!(times.iter().all(|t| *t < DEDUPLICATION_WINDOW), "{times:?}");
}

/// After a restart the window still counts from the first attempt, which the killed process made.
#[rstest]
#[case::restart_inside_a_long_window("8000000000", Duration::ZERO, true)]
#[case::restart_after_a_short_window("1000000000", DEDUPLICATION_WINDOW, false)]
fn a_restart_does_not_extend_the_window(
    #[case] window_ns: &str, #[case] down_for: Duration, #[case] is_retried: bool,
) {
    let mut site = read_site("quayside-alerts");
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
    let discovery = start_discovery(known.clone());
    let mut daemon = Setup { settings: Some(site.settings.clone()), ..setup(&discovery, known) }.start();
    let (class, deadline) = &site.classes[0];
    assert_eq!(daemon.send_request(&request(&site, class, *deadline, "m1")).map(|h| h.status()), Some(202));
    endpoint.wait_request("m1");
    daemon.kill();
    std::thread::sleep(down_for);
    daemon.restart();
    if is_retried {
        endpoint.wait_until("a retry inside the window", |all| all.len() == 2);
        return;
    }
    discovery.wait_text(r#""id":"m1""#);
    assert_eq!(endpoint.received().len(), 1, "no retry after the window");
}
