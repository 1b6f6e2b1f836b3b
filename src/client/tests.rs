//! Client connections over loopback sockets, in an order that the tests force: the runtime has one thread, so
//! everything between two awaits of a test happens before the connection's task runs again.
use super::connection::{self, Limits};
use super::limiter::{ConnectionLimiter, ConnectionState, Phase};
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
};
const REQUEST: &[u8] = b"POST /echo HTTP/1.1\r\nhost: t\r\ncontent-length: 4\r\n\r\nbody";

/// A served connection and its client.
struct Fixture {
    client: TcpStream,
    close: watch::Sender<ClientConnections>,
    state: Arc<ConnectionState>,
    routed: Arc<AtomicUsize>,
    served: JoinHandle<()>,
}

async fn fixture(connections: ClientConnections) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("its address")).expect("it listens");
    client.set_read_timeout(Some(Duration::from_secs(15))).expect("a time-out");
    let (socket, _) = listener.accept().await.expect("the client");
    let routed = Arc::new(AtomicUsize::new(0));
    let count = routed.clone();
    let echo = move |body: String| async move {
        count.fetch_add(1, Ordering::Relaxed);
        body
    };
    let routes = Router::new().route("/echo", post(echo));
    let permit = ConnectionLimiter::new(10).acquire().await;
    let state = permit.state().clone();
    let (close, closing) = watch::channel(connections);
    let served = tokio::spawn(connection::serve(socket, routes, LIMITS, permit, closing));
    Fixture { client, close, state, routed, served }
}

impl Fixture {
    fn write(&self, bytes: &[u8]) {
        (&self.client).write_all(bytes).expect("written");
    }

    /// Reads one response, whose body is `body`.
    async fn read_response(&self) {
        let mut client = self.client.try_clone().expect("a handle");
        let read = move || {
            let mut text = Vec::new();
            while !text.ends_with(b"body") {
                let mut byte = [0];
                client.read_exact(&mut byte).expect("a response");
                text.push(byte[0]);
            }
        };
        spawn_blocking(read).await.expect("read");
    }

    /// Everything that still arrives, or the error that ended the connection.
    async fn read_to_end(&self) -> Result<String, ErrorKind> {
        let mut client = self.client.try_clone().expect("a handle");
        let read = move || {
            let mut text = String::new();
            client.read_to_string(&mut text).map(|_| text).map_err(|e| e.kind())
        };
        spawn_blocking(read).await.expect("read")
    }

    /// The client sees the end of the stream without a reset, and the server waits for the client's close.
    async fn expect_graceful_close(self) {
        assert_eq!(self.read_to_end().await, Ok(String::new()));
        assert!(!self.served.is_finished(), "closed with unread input, which resets the connection");
        self.client.shutdown(Shutdown::Both).expect("shut");
        timeout(Duration::from_secs(5), self.served).await.expect("closed in time").expect("it ended");
        assert_eq!(
            self.routed.load(Ordering::Relaxed),
            1,
            "a request that arrives after the close is never routed"
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

/// Regression test: an idle connection was closed with unread bytes, which resets it.
#[tokio::test]
async fn a_request_that_crosses_the_close_gets_an_end_of_stream_and_no_reset() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(REQUEST);
    fixture.read_response().await;
    fixture.wait_for(Phase::Idle).await;
    fixture.close.send_replace(ClientConnections::Closing);
    fixture.write(REQUEST);
    fixture.expect_graceful_close().await;
}

#[tokio::test]
async fn a_request_that_crosses_an_eviction_gets_an_end_of_stream_and_no_reset() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(REQUEST);
    fixture.read_response().await;
    fixture.wait_for(Phase::Idle).await;
    fixture.state.evict();
    fixture.write(REQUEST);
    fixture.expect_graceful_close().await;
}

/// A client that never closes its side does not delay the close.
#[tokio::test]
async fn input_is_discarded_for_a_short_time_only() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.state.evict();
    timeout(Duration::from_secs(2), fixture.served).await.expect("closed in time").expect("it ended");
}

/// Regression test: hyper closes a connection that it takes for idle, although part of the next head has arrived.
#[tokio::test]
async fn a_request_whose_head_arrives_in_pieces_across_the_close_is_answered() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(REQUEST);
    fixture.read_response().await;
    fixture.wait_for(Phase::Idle).await;
    fixture.write(&REQUEST[..12]);
    fixture.wait_for(Phase::ReadingHead).await;
    fixture.close.send_replace(ClientConnections::Closing);
    yield_now().await;
    yield_now().await;
    fixture.write(&REQUEST[12..]);
    let answer = fixture.read_to_end().await.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("body"), "{answer}");
    assert_eq!(fixture.routed(), 2);
}

/// Regression test: a connection that was accepted while connections are closing was closed before its request arrived.
#[tokio::test]
async fn a_new_connection_has_its_request_answered_while_connections_are_closing() {
    let fixture = fixture(ClientConnections::Closing).await;
    yield_now().await;
    yield_now().await;
    fixture.write(REQUEST);
    let answer = fixture.read_to_end().await.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// A request whose body is incomplete when connections close is rejected and so provably not accepted. Regression test:
/// it was waited for until the process ended.
#[tokio::test]
async fn a_request_without_its_body_is_rejected_in_time_while_connections_are_closing() {
    let fixture = fixture(ClientConnections::Open).await;
    fixture.write(&REQUEST[..REQUEST.len() - 2]);
    fixture.wait_for(Phase::InRequest).await;
    fixture.close.send_replace(ClientConnections::Closing);
    let closed = timeout(super::FINAL_RESPONSE_TIMEOUT, fixture.read_to_end()).await;
    let answer = closed.expect("before the process ends").expect("an end");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(fixture.routed(), 0);
}

/// Regression test: a slow client that wrote its head in pieces could be evicted after 100 ms.
#[tokio::test(start_paused = true)]
async fn a_connection_in_the_middle_of_a_head_is_evicted_only_once_its_client_has_given_up() {
    let limiter = ConnectionLimiter::new(1);
    let permit = limiter.acquire().await;
    let state = permit.state().clone();
    state.bytes_read(b"POST /st");
    let waiting = limiter.clone();
    let next = tokio::spawn(async move { waiting.acquire().await });
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(state.phase(), Phase::ReadingHead, "its client still waits for a response");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(state.phase(), Phase::Closing);
    drop(permit);
    next.await.expect("a permit");
}

/// At the limit, idle connections are evicted first, then those that never sent a byte.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_evicted_before_silent_ones_and_never_under_a_request() {
    let limiter = ConnectionLimiter::new(3);
    let (idle, silent, in_request) =
        (limiter.acquire().await, limiter.acquire().await, limiter.acquire().await);
    idle.state().enter(Phase::Idle);
    in_request.state().enter(Phase::InRequest);
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let waiting = limiter.clone();
    let next = tokio::spawn(async move { waiting.acquire().await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    let phases = [&idle, &silent, &in_request].map(|c| c.state().phase());
    assert_eq!(phases, [Phase::Closing, Phase::Connected, Phase::InRequest]);
    drop(idle);
    next.await.expect("a permit");
}
