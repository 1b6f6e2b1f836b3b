//! A new version starts beside the old one after endpoints were replaced: does each message go to an endpoint of its destination?
#[path = "../stand/mod.rs"]
mod stand;
use stand::*;
use std::thread;
use std::time::Duration;

/// Time that a payout takes at these partners; the brief says 130 to 230 ms.
const SERVICE: Duration = Duration::from_millis(200);
/// Messages of a clump. The brief has clumps of as many as a partner takes in 1.3 to 2.9 s; this one takes 40 a second.
const CLUMP: usize = 60;
/// Clients that hand the clump in.
const CLIENTS: usize = 6;
/// Time after which a change that was told binds: 250 ms, and 50 ms by which each limit grows.
const DRAIN_GRACE: Duration = Duration::from_millis(300);

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let case = case_folder();
    let record = Record::create(case.join("record.txt").to_str().expect("a path"));
    let reply = |_: &HttpMessage, _: usize| Reply::After(SERVICE, "200 OK", String::new());
    // Three servers. At the address of the first, partner 1 has an endpoint at the start and partner 2 later.
    let first = Endpoint::start(&record, "server X", reply);
    let second = Endpoint::start(&record, "server Y", reply);
    let third = Endpoint::start(&record, "server Z", reply);
    let old = Listed::new("s-1", first.address, 1, "Ready");
    let other = Listed::new("s-2", third.address, 2, "Ready");
    let discovery = Discovery::start(&record, &[old.clone(), other.clone()]);
    let configuration = Configuration {
        listen: free_address(),
        discovery: discovery.address,
        known: list_json(1, true, [&old, &other]),
        settings: settings(&[EPISODE_SYNC, STATS_PUSH, CREATOR_PAYOUT]),
    };
    let folder = Folder::create();
    configuration.write(&folder);
    let variables = |address: std::net::SocketAddr| [("RELAY_MGMT", address.to_string())];
    let mut old_process = Process::start(&record, "old", &folder, &configuration, &variables(free_address()));
    old_process.wait_ready();
    // The usual course of a day: an endpoint is drained and replaced by another one, and later a new endpoint comes at its address.
    discovery.change(&[
        Listed { state: "Terminating", ..old.clone() },
        Listed::new("s-3", second.address, 1, "Ready"),
    ]);
    discovery.wait_told("s-3", "Ready");
    thread::sleep(Duration::from_secs(1));
    discovery.change(&[Listed { state: "Gone", ..old.clone() }]);
    discovery.wait_told("s-1", "Gone");
    thread::sleep(Duration::from_secs(1));
    discovery.change(&[Listed::new("s-4", first.address, 2, "Ready")]);
    let moved_at = discovery.wait_told("s-4", "Ready");
    let bound_from = moved_at + DRAIN_GRACE;
    thread::sleep(Duration::from_secs(1));
    for n in 0..4 {
        let message = Message::new("stats-push", &format!("b{n:015x}"), 1 + n % 2, 16_000);
        hand_in(&record, configuration.listen, &message);
        thread::sleep(Duration::from_millis(50));
    }
    // A clump of payouts for partner 1, and meanwhile the new version.
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, forwarder) = (record.clone(), configuration.listen);
            thread::spawn(move || {
                for n in (client..CLUMP).step_by(CLIENTS) {
                    hand_in(
                        &record,
                        forwarder,
                        &Message::new("creator-payout", &format!("c{n:015x}"), 1, 20_000),
                    );
                }
            })
        })
        .collect();
    let new_mgmt = free_address();
    let mut new_process =
        trouble().then(|| Process::start(&record, "new", &folder, &configuration, &variables(new_mgmt)));
    for client in clients {
        client.join().unwrap_or_else(|_| cannot_run("a client failed"));
    }
    if let Some(new_process) = &mut new_process {
        new_process.wait_yes(new_mgmt, "/v1/readyz");
        old_process.signal("TERM");
        old_process.wait_end(Duration::from_secs(4));
    }
    thread::sleep(Duration::from_secs(6));
    // From here on, only the visible is judged: which messages came to server X, where partner 2 has been since it was told so.
    let is_for_partner_1 = |call: &Call| call.request.text().starts_with("body of c");
    let wrong = first.calls().into_iter().filter(|call| call.at > bound_from && is_for_partner_1(call));
    let broken: Vec<String> = wrong
        .map(|call| {
            let late = call.at.duration_since(moved_at).as_millis();
            let answer = call.answered.map_or("none", |(_, status)| status);
            let id = call.request.id();
            format!("{id}: a payout for dest 1 came to server X, {late} ms after the forwarder was told that s-4 of dest 2 is there; answer: {answer}")
        })
        .collect();
    verdict(&record, &broken)
}
