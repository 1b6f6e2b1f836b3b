//! Tests client connections over loopback sockets in a fixed order of events: the runtime has one thread, so the
//! connection's task does not run between two awaits of a test.
use super::connection::{self, Limits};
use super::limiter::{ConnectionLimiter, ConnectionShare, ConnectionState, Phase};
use super::peer;
use crate::exchange::ClientConnections;
use axum::routing::post;
use axum::Router;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, yield_now, JoinHandle};
use tokio::time::timeout;

const LIMITS: Limits = Limits {
    head_timeout: Duration::from_millis(2200),
    body_timeout: Duration::from_secs(5),
    body_limit: 1024,
    share: SHARE,
};
const SHARE: ConnectionShare = ConnectionShare { connection_bytes: 1024, limit_divisor: 1 };
const REQUEST: &[u8] = b"POST /echo HTTP/1.1\r\nhost: t\r\ncontent-length: 4\r\n\r\nbody";

/// A served connection and its client.
struct Fixture {
    client: TcpStream,
    connections: watch::Sender<ClientConnections>,
    state: Arc<ConnectionState>,
    /// Number of requests that reached the routes.
    routed: Arc<AtomicUsize>,
    connection_task: JoinHandle<()>,
}

async fn fixture(connections: ClientConnections) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let client =
        TcpStream::connect(listener.local_addr().expect("listener has an address")).expect("connect");
    client.set_read_timeout(Some(Duration::from_secs(15))).expect("set the read timeout");
    let (socket, _) = listener.accept().await.expect("accept the client");
    let routed = Arc::new(AtomicUsize::new(0));
    let count = routed.clone();
    let echo = move |body: String| async move {
        count.fetch_add(1, Ordering::Relaxed);
        body
    };
    let routes = Router::new().route("/echo", post(echo));
    let permit = ConnectionLimiter::new(10, 10 * SHARE.connection_bytes).acquire(SHARE).await;
    let state = permit.state().clone();
    let (connections, receiver) = watch::channel(connections);
    let (socket, peer) = peer::share(socket);
    let connection_task = tokio::spawn(connection::serve(socket, peer, routes, LIMITS, permit, receiver));
    Fixture { client, connections, state, routed, connection_task }
}

impl Fixture {
    fn write(&self, bytes: &[u8]) {
        (&self.client).write_all(bytes).expect("write to the connection");
    }

    /// Reads one response whose body is the text `body`.
    async fn read_response(&self) {
        let mut client = self.client.try_clone().expect("clone the socket");
        let read = move || {
            let mut text = Vec::new();
            while !text.ends_with(b"body") {
                let mut byte = [0];
                client.read_exact(&mut byte).expect("read a response");
                text.push(byte[0]);
            }
        };
        spawn_blocking(read).await.expect("reader task");
    }

    /// Returns all bytes that arrive until the end of the stream, or the error that ended the connection.
    async fn read_to_end(&self) -> Result<String, ErrorKind> {
        let mut client = self.client.try_clone().expect("clone the socket");
        let read = move || {
            let mut text = String::new();
            client.read_to_string(&mut text).map(|_| text).map_err(|e| e.kind())
        };
        spawn_blocking(read).await.expect("reader task")
    }

    /// Checks that the client reads the end of the stream without a reset, that the server waits for the client's close, and
    /// that only one request was routed.
    async fn expect_graceful_close(self) {
        assert_eq!(self.read_to_end().await, Ok(String::new()));
        assert!(!self.connection_task.is_finished(), "closed with unread input, which resets the connection");
        self.client.shutdown(Shutdown::Both).expect("shut the client's socket down");
        timeout(Duration::from_secs(5), self.connection_task)
            .await
            .expect("closed in time")
            .expect("connection task");
        assert_eq!(
            self.routed.load(Ordering::Relaxed),
            1,
            "a request that arrives after the close must not be routed"
        );
    }

    async fn wait_for(&self, phase: Phase) {
        for _ in 0..1_000_000 {
            if self.state.phase() == phase {
                return;
            }
            yield_now().await;
        }
        panic!("{phase:?} was not reached: {:?}", self.state.phase());
    }

    fn routed(&self) -> usize {
        self.routed.load(Ordering::Relaxed)
    }
}

/// Regression test: an idle connection was closed with unread bytes, which reset it.
#[tokio::test]
async fn closes_an_idle_connection_without_a_reset_while_a_request_arrives() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(REQUEST);
    fixture.read_response().await;
    fixture.wait_for(Phase::Idle).await;
    fixture.connections.send_replace(ClientConnections::Closing);
    fixture.write(REQUEST);
    fixture.expect_graceful_close().await;
}

#[tokio::test]
async fn evicts_an_idle_connection_without_a_reset_while_a_request_arrives() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(REQUEST);
    fixture.read_response().await;
    fixture.wait_for(Phase::Idle).await;
    fixture.state.evict();
    fixture.write(REQUEST);
    fixture.expect_graceful_close().await;
}

/// A client that never closes its side must not delay the close.
#[tokio::test]
async fn closes_in_time_although_the_client_keeps_its_side_open() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.state.evict();
    timeout(Duration::from_secs(2), fixture.connection_task)
        .await
        .expect("closed in time")
        .expect("connection task");
}

/// Regression test: hyper closed a connection that it treated as idle although part of the next head had arrived.
#[tokio::test]
async fn answers_a_request_whose_head_is_partly_received_when_closing_begins() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(REQUEST);
    fixture.read_response().await;
    fixture.wait_for(Phase::Idle).await;
    fixture.write(&REQUEST[..12]);
    fixture.wait_for(Phase::ReadingHead).await;
    fixture.connections.send_replace(ClientConnections::Closing);
    yield_now().await;
    yield_now().await;
    fixture.write(&REQUEST[12..]);
    let response = fixture.read_to_end().await.expect("end of stream");
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("body"), "{response}");
    assert_eq!(fixture.routed(), 2);
}

/// Regression test: a connection that was accepted while connections were closing was closed before its request arrived.
#[tokio::test]
async fn answers_the_request_of_a_new_connection_while_closing() {
    let fixture = fixture(ClientConnections::Closing).await;
    yield_now().await;
    yield_now().await;
    fixture.write(REQUEST);
    let response = fixture.read_to_end().await.expect("end of stream");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

/// The 503 proves to the client that the request was not accepted. Regression test: the connection waited for the body
/// until the process exited.
#[tokio::test]
async fn rejects_a_request_with_an_incomplete_body_in_time_while_closing() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(&REQUEST[..REQUEST.len() - 2]);
    fixture.wait_for(Phase::InRequest).await;
    fixture.connections.send_replace(ClientConnections::Closing);
    let closed = timeout(super::FINAL_RESPONSE_TIMEOUT, fixture.read_to_end()).await;
    let response = closed.expect("closed before the process exits").expect("end of stream");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(fixture.routed(), 0);
}

/// A client waits 400 ms for its response. Regression test: a slow client that wrote its head in pieces could be evicted
/// after 100 ms.
#[tokio::test(start_paused = true)]
async fn evicts_a_connection_with_a_partial_head_only_after_the_client_timeout() {
    let limiter = ConnectionLimiter::new(1, SHARE.connection_bytes);
    let permit = limiter.acquire(SHARE).await;
    let state = permit.state().clone();
    state.bytes_read(b"POST /st");
    let limiter_of_next = limiter.clone();
    let next_permit = tokio::spawn(async move { limiter_of_next.acquire(SHARE).await });
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(state.phase(), Phase::ReadingHead, "the client still waits for its response");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(state.phase(), Phase::Closing);
    drop(permit);
    next_permit.await.expect("a permit");
}

/// At the limit, idle connections are evicted first, then connections that have sent no byte.
#[tokio::test(start_paused = true)]
async fn evicts_idle_connections_before_silent_ones_and_never_during_a_request() {
    let limiter = ConnectionLimiter::new(3, 3 * SHARE.connection_bytes);
    let (idle, silent, in_request) =
        (limiter.acquire(SHARE).await, limiter.acquire(SHARE).await, limiter.acquire(SHARE).await);
    idle.state().enter(Phase::Idle);
    in_request.state().enter(Phase::InRequest);
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let limiter_of_next = limiter.clone();
    let next_permit = tokio::spawn(async move { limiter_of_next.acquire(SHARE).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    let phases = [&idle, &silent, &in_request].map(|c| c.state().phase());
    assert_eq!(phases, [Phase::Closing, Phase::Connected, Phase::InRequest]);
    drop(idle);
    next_permit.await.expect("a permit");
}
