//! Tests of `link`.
use super::*;
use crate::core::EndpointObservation;
use crate::interface::Finding;
use rstest::rstest;
use std::sync::Arc;
use tokio::io::{duplex, DuplexStream};

fn me() -> LocalIdentity {
    LocalIdentity { name: "n0".into(), group: "g".into(), fleet: None }
}

fn item(uid: &str, finding: Finding) -> EndpointObservation {
    EndpointObservation { uid: uid.into(), finding, age: Nanos(0) }
}

fn out(uid: &str) -> EndpointObservation {
    item(uid, Finding::Outage { since: Nanos::from_secs(5.0), risky: true })
}

fn own(items: Vec<EndpointObservation>) -> LocalObservations {
    LocalObservations { items: Arc::new(items), at: clock::now() }
}

fn told(items: Vec<EndpointObservation>) -> Vec<u8> {
    frame::encode(&Message::Told(Told { items, whole: true, ..Told::default() }))
}

fn hello(group: &str) -> Vec<u8> {
    frame::encode(&Message::Hello { name: "n1".into(), group: group.into(), member: None })
}

/// A scripted teacher: says its bytes and then closes, or holds the connection open. Gives what was learned.
async fn script(bytes: Vec<u8>, closes: bool) -> (SessionEnd, Vec<EndpointObservation>) {
    let (near, far) = duplex(1 << 16);
    let teacher = async move {
        let (mut read, mut write) = tokio::io::split(far);
        let drain = async { while matches!(read.read(&mut [0; 512]).await, Ok(n) if n > 0) {} };
        let say = async {
            let _ = write.write_all(&bytes).await;
            match closes {
                true => drop(write.shutdown().await),
                false => std::future::pending().await,
            }
        };
        tokio::join!(drain, say)
    };
    let mut heard = Vec::new();
    let me = me();
    let end = tokio::select! {
        end = learn(near, &me, |_, told| heard.extend(told.items)) => end,
        _ = teacher => unreachable!("the learner ends first"),
    };
    (end, heard)
}

#[tokio::test(start_paused = true)]
async fn a_teacher_that_dies_in_the_midst_of_a_snapshot_has_taught_what_was_whole() {
    let mut bytes = [hello("g"), told(vec![out("s-1")])].concat();
    let second = told(vec![out("s-2")]);
    bytes.extend(&second[..second.len() / 2]);
    let (end, heard) = script(bytes, true).await;
    assert!(matches!(end, SessionEnd::Closed(_)), "{end:?}");
    assert_eq!(heard, [out("s-1")]);
}

#[rstest]
#[case::garbles([hello("g"), told(vec![out("s-1")]), vec![0, 0, 0, 9, 1, 1, 1, 1, 1, 9, 9, 9, 9]].concat(), "checksum")]
#[case::gigabytes([hello("g"), vec![0x7f, 0xff, 0xff, 0xff]].concat(), "a frame of 2147483647 bytes")]
#[case::another_group([hello("other"), told(vec![out("s-1")])].concat(), "another group")]
#[case::no_hello(told(vec![out("s-1")]), "no hello")]
#[case::out_of_turn([hello("g"), hello("g")].concat(), "out of turn")]
#[case::http(b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), "a frame of")]
#[tokio::test(start_paused = true)]
async fn a_teacher_that_makes_no_sense_is_left_alone(#[case] bytes: Vec<u8>, #[case] wanted: &str) {
    let (end, _) = script(bytes, false).await;
    assert!(matches!(&end, SessionEnd::Rejected(why) if why.contains(wanted)), "{end:?}");
}

#[tokio::test(start_paused = true)]
async fn a_teacher_that_floods_is_left_alone() {
    let frame = told((0..700).map(|n| out(&format!("s-{n:0>40}"))).collect());
    let flood: Vec<u8> =
        hello("g").into_iter().chain(frame.iter().copied().cycle().take(4_000_000)).collect();
    let (end, _) = script(flood, false).await;
    assert_eq!(end, SessionEnd::Rejected("a flood".into()));
}

#[rstest]
#[case::before_its_hello(Vec::new())]
#[case::half_open_after_it(hello("g"))]
#[tokio::test(start_paused = true)]
async fn a_silent_teacher_is_given_up(#[case] bytes: Vec<u8>) {
    let begun = Instant::now();
    let (end, _) = script(bytes, false).await;
    assert!(matches!(end, SessionEnd::Closed(_)), "{end:?}");
    assert!(begun.elapsed() <= HELLO_BY + SILENCE + PING);
}

fn pair() -> (DuplexStream, DuplexStream) {
    duplex(1 << 16)
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_comes_first_and_then_what_changes() {
    let (near, far) = pair();
    let (say, own_now) =
        watch::channel(own(vec![out("s-1"), item("s-2", Finding::ConnectionCapacity { calls: 2.0 })]));
    let teacher = tokio::spawn(async move { teach(far, &me(), own_now).await });
    let (tell, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let learner = tokio::spawn(async move { learn(near, &me(), |_, told| drop(tell.send(told))).await });
    let first = heard.recv().await.expect("a snapshot");
    assert!(first.whole);
    assert_eq!(first.items.len(), 2);
    say.send_replace(own(vec![
        item("s-1", Finding::Recovering { since: Nanos(0) }),
        item("s-2", Finding::ConnectionCapacity { calls: 2.0 }),
    ]));
    let change = loop {
        let told = heard.recv().await.expect("it goes on");
        if !told.items.is_empty() {
            break told;
        }
    };
    assert!(!change.whole && change.items.len() == 1 && change.items[0].uid == "s-1", "{change:?}");
    // A forwarder that ends says so by closing; the learner sees it at once.
    drop(say);
    assert!(matches!(teacher.await, Ok(SessionEnd::Closed(_))));
    assert!(matches!(learner.await, Ok(SessionEnd::Closed(_))));
}

/// The way of a frame is never taken for shorter than it was.
#[tokio::test(start_paused = true)]
async fn the_way_is_bounded_by_the_ping_that_the_frame_answers() {
    let (near, far) = pair();
    let (tell, mut heard) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move { learn(near, &me(), |way, told| drop(tell.send((way, told)))).await });
    let (mut read, mut write) = tokio::io::split(far);
    let mut hearing = Hearing::new(&mut read);
    assert_eq!(hearing.hello(&me()).await, Ok(Peer { name: "n0".into(), member: None }));
    write.write_all(&hello("g")).await.expect("written");
    let ping = loop {
        if let Ok(Message::Ping(n)) = hearing.next().await {
            break n;
        }
    };
    // It had the ping for a tenth of a second; the frame then lies on its way for seven tenths.
    let held = Nanos::from_secs(0.1);
    let frame = frame::encode(&Message::Told(Told { ping, held, whole: true, items: vec![out("s-1")] }));
    tokio::time::sleep(Duration::from_millis(800)).await;
    write.write_all(&frame).await.expect("written");
    let (way, _) = heard.recv().await.expect("told");
    assert!((0.7..0.75).contains(&way.secs()), "{way:?}");
}
