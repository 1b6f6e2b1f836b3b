//! The real program and a discovery that refuses: the list that is known serves, and discovery is asked with growing
//! pauses.
mod stand;
use rstest::rstest;
use stand::*;
use std::time::{Duration, Instant};

/// How a discovery in trouble answers a watch.
fn trouble(refuse: bool) -> Reply {
    match refuse {
        true => say("503 Service Unavailable", "connection: close\r\n", ""),
        false => Reply::Cut,
    }
}

#[rstest]
#[case::refused(true)]
#[case::cut_off(false)]
fn a_discovery_in_trouble_is_asked_less_and_less_while_the_known_list_serves(#[case] refuse: bool) {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = list(1, &[(7, old.addr)]);
    let fresh = list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let disco = Server::start(move |heard, number| match (heard.first.starts_with("GET"), number) {
        (true, 0..6) => trouble(refuse),
        (true, _) => watch(&fresh),
        (false, _) => say("204 No Content", "", ""),
    });
    let daemon = setup(&disco, known).start();
    disco.wait("a first ask", |all| !all.is_empty());
    assert_eq!(daemon.hand_in("stats", "meanwhile"), 202);
    old.wait_id("meanwhile");
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.hand_in("stats", "after"), 202);
    new.wait_id("after");
    let log = daemon.log();
    let pauses = log.lines().filter_map(|l| l.split_once("pause_ms=")?.1.split(' ').next()?.parse().ok());
    let pauses: Vec<u64> = pauses.collect();
    assert_eq!(pauses.len(), 6, "{log}");
    assert!(pauses.iter().zip(0..).all(|(p, n)| *p <= (200 << n).min(1000)), "within its window: {pauses:?}");
    assert!(pauses.iter().any(|p| *p > 200), "the windows grow: {pauses:?}");
    assert!(pauses.windows(2).any(|p| p[0] != p[1]), "all of a window is as likely: {pauses:?}");
}

#[test]
fn a_whole_list_without_a_line_leaves_the_old_one_standing() {
    let endpoint = Server::always("200 OK");
    let disco = discovery(list(3, &[]));
    let daemon = setup(&disco, list(1, &[(7, endpoint.addr)])).start();
    daemon.wait_log("the old one stands");
    assert_eq!(daemon.hand_in("stats", "still"), 202);
    endpoint.wait_id("still");
}

/// Found on the days of 300 forwarders whose list is pushed to an agent beside each of them: what the agent held counted
/// as told, while each waited up to five seconds for its turn to ask, and sent to endpoints that drained.
#[rstest]
#[case::pushed(r#""registryMode":"pushed""#, false)]
#[case::on_request(r#""registryMode":"on_request""#, true)]
fn one_of_300_waits_for_its_turn_only_where_all_ask_the_same_place(
    #[case] mode: &'static str, #[case] in_turn: bool,
) {
    let endpoint = Server::always("200 OK");
    let at = |rev| list(rev, &[(7, endpoint.addr)]);
    let (disco, moved) = (discovery(at(2)), discovery(at(3)));
    let swaps = vec![(r#""nInstances":1,"#, r#""nInstances":300,"#), (r#""registryMode":"pushed""#, mode)];
    let begun = Instant::now();
    let daemon = Setup { swaps, ..setup(&disco, at(1)) }.start();
    daemon.wait_log("upstream group: version 2");
    daemon.reload(&disco.addr.to_string(), &moved.addr.to_string());
    daemon.wait_log("upstream group: version 3");
    // With the seed of the stand, its two turns are 3.2 s apart from what is done at once.
    let took = begun.elapsed();
    assert_eq!(took > Duration::from_millis(2500), in_turn, "{took:?}");
}
