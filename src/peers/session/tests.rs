//! Tests of `session`.
use super::subscriber::PING_INTERVAL;
use super::*;
use crate::clock;
use crate::core::EndpointObservation;
use crate::interface::{Finding, Nanos};
use crate::peers::frame::ObservationBatch;
use crate::peers::local_observations::LocalObservations;
use rstest::rstest;
use std::sync::Arc;
use tokio::io::{duplex, DuplexStream};
use tokio::sync::{mpsc, watch};

fn local_identity() -> LocalIdentity {
    LocalIdentity { name: "n0".into(), group: "g".into(), fleet: None }
}

fn observation(uid: &str, finding: Finding) -> EndpointObservation {
    EndpointObservation { uid: uid.into(), finding, age: Nanos(0) }
}

fn outage(uid: &str) -> EndpointObservation {
    observation(uid, Finding::Outage { since: Nanos::from_secs(5.0), risky: true })
}

fn local(observations: Vec<EndpointObservation>) -> LocalObservations {
    LocalObservations { observations: Arc::new(observations), collected_at: clock::now() }
}

fn batch(observations: Vec<EndpointObservation>) -> Vec<u8> {
    let batch = ObservationBatch { observations, completes_snapshot: true, ..ObservationBatch::default() };
    frame::encode(&Message::Observations(batch))
}

fn hello(group: &str) -> Vec<u8> {
    frame::encode(&Message::Hello { name: "n1".into(), group: group.into(), member: None })
}

/// Behaviour of a scripted publisher after it has sent its bytes.
#[derive(Clone, Copy, PartialEq)]
enum AfterScript {
    Close,
    StaySilent,
}

/// Subscribes to a publisher that sends these bytes. Returns the end of the session and the received observations.
async fn subscribe_to_script(bytes: Vec<u8>, after: AfterScript) -> (SessionEnd, Vec<EndpointObservation>) {
    let (near, far) = duplex(1 << 16);
    let publisher = async move {
        let (mut read, mut write) = tokio::io::split(far);
        let drain = async { while matches!(read.read(&mut [0; 512]).await, Ok(n) if n > 0) {} };
        let send = async {
            let _ = write.write_all(&bytes).await;
            match after {
                AfterScript::Close => drop(write.shutdown().await),
                AfterScript::StaySilent => std::future::pending().await,
            }
        };
        tokio::join!(drain, send)
    };
    let mut received = Vec::new();
    let identity = local_identity();
    let end = tokio::select! {
        end = subscribe(near, &identity, |_, batch| received.extend(batch.observations)) => end,
        _ = publisher => unreachable!("the subscriber ends first"),
    };
    (end, received)
}

#[tokio::test(start_paused = true)]
async fn keeps_the_complete_frames_of_a_snapshot_that_is_cut_off() {
    let mut bytes = [hello("g"), batch(vec![outage("s-1")])].concat();
    let second = batch(vec![outage("s-2")]);
    bytes.extend(&second[..second.len() / 2]);
    let (end, received) = subscribe_to_script(bytes, AfterScript::Close).await;
    assert!(matches!(end, SessionEnd::Closed(_)), "{end:?}");
    assert_eq!(received, [outage("s-1")]);
}

#[rstest]
#[case::malformed_frame([hello("g"), batch(vec![outage("s-1")]), vec![0, 0, 0, 9, 1, 1, 1, 1, 1, 9, 9, 9, 9]].concat(), "checksum")]
#[case::oversized_frame([hello("g"), vec![0x7f, 0xff, 0xff, 0xff]].concat(), "frame of 2147483647 bytes exceeds the maximum")]
#[case::another_group([hello("other"), batch(vec![outage("s-1")])].concat(), "another group")]
#[case::no_hello(batch(vec![outage("s-1")]), "first message is not a hello")]
#[case::unexpected_message([hello("g"), hello("g")].concat(), "unexpected message")]
#[case::http(b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), "frame of 1213486160 bytes exceeds the maximum")]
#[tokio::test(start_paused = true)]
async fn rejects_a_publisher_that_violates_the_protocol(#[case] bytes: Vec<u8>, #[case] expected: &str) {
    let (end, _) = subscribe_to_script(bytes, AfterScript::StaySilent).await;
    assert!(matches!(&end, SessionEnd::Rejected(reason) if reason.to_string().contains(expected)), "{end:?}");
}

#[tokio::test(start_paused = true)]
async fn rejects_a_publisher_that_exceeds_the_receive_rate() {
    let frame = batch((0..700).map(|n| outage(&format!("s-{n:0>40}"))).collect());
    let bytes: Vec<u8> =
        hello("g").into_iter().chain(frame.iter().copied().cycle().take(4_000_000)).collect();
    let (end, _) = subscribe_to_script(bytes, AfterScript::StaySilent).await;
    assert!(matches!(end, SessionEnd::Rejected(RejectReason::ReceiveRateExceeded)), "{end:?}");
    assert_eq!(end.to_string(), "peer exceeded the receive rate limit");
}

#[rstest]
#[case::before_its_hello(Vec::new())]
#[case::after_its_hello(hello("g"))]
#[tokio::test(start_paused = true)]
async fn closes_a_session_with_a_silent_publisher(#[case] bytes: Vec<u8>) {
    let start = Instant::now();
    let (end, _) = subscribe_to_script(bytes, AfterScript::StaySilent).await;
    assert!(matches!(end, SessionEnd::Closed(_)), "{end:?}");
    assert!(start.elapsed() <= HELLO_TIMEOUT + SILENCE_TIMEOUT + PING_INTERVAL);
}

fn connected_pair() -> (DuplexStream, DuplexStream) {
    duplex(1 << 16)
}

#[tokio::test(start_paused = true)]
async fn publishes_a_snapshot_and_then_the_changed_observations() {
    let (near, far) = connected_pair();
    let capacity = observation("s-2", Finding::ConnectionCapacity { calls: 2.0 });
    let (collected, observations) = watch::channel(local(vec![outage("s-1"), capacity.clone()]));
    let publisher = tokio::spawn(async move { publish(far, &local_identity(), observations).await });
    let (received_tx, mut received) = mpsc::unbounded_channel();
    let subscriber = tokio::spawn(async move {
        subscribe(near, &local_identity(), |_, batch| drop(received_tx.send(batch))).await
    });
    let first = received.recv().await.expect("a snapshot");
    assert!(first.completes_snapshot);
    assert_eq!(first.observations.len(), 2);
    let recovering = observation("s-1", Finding::Recovering { since: Nanos(0) });
    collected.send_replace(local(vec![recovering, capacity]));
    let change = loop {
        let batch = received.recv().await.expect("the session is open");
        if !batch.observations.is_empty() {
            break batch;
        }
    };
    assert!(!change.completes_snapshot, "{change:?}");
    assert!(change.observations.len() == 1 && change.observations[0].uid == "s-1", "{change:?}");
    // The publisher closes its sessions when its forwarder shuts down, and the subscriber receives the close.
    drop(collected);
    assert!(matches!(publisher.await, Ok(SessionEnd::Closed(_))));
    assert!(matches!(subscriber.await, Ok(SessionEnd::Closed(_))));
}

/// The bound must never be below the transit time; otherwise a Retry-After could end later than the partner requested.
#[tokio::test(start_paused = true)]
async fn the_transit_bound_starts_at_the_last_ping_before_the_frame() {
    let (near, far) = connected_pair();
    let (received_tx, mut received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        subscribe(near, &local_identity(), |transit, batch| drop(received_tx.send((transit, batch)))).await
    });
    let (mut read, mut write) = tokio::io::split(far);
    let mut reader = MessageReader::new(&mut read);
    let subscriber = reader.read_hello(&local_identity()).await.expect("the subscriber's hello");
    assert_eq!(subscriber, RemoteIdentity { name: "n0".into(), member: None });
    write.write_all(&hello("g")).await.expect("written");
    let ping = loop {
        if let Ok(Message::Ping(number)) = reader.next().await {
            break number;
        }
    };
    // The frame was built 0.1 s after the ping arrived, and is in transit for the remaining 0.7 s.
    let batch = ObservationBatch {
        ping,
        ping_age: Nanos::from_secs(0.1),
        completes_snapshot: true,
        observations: vec![outage("s-1")],
    };
    tokio::time::sleep(Duration::from_millis(800)).await;
    write.write_all(&frame::encode(&Message::Observations(batch))).await.expect("written");
    let (transit, _) = received.recv().await.expect("a batch");
    assert!((0.7..0.75).contains(&transit.secs()), "{transit:?}");
}
