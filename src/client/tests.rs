//! Client connections over loopback sockets, in an order that the tests force: the runtime has one thread, so what a test
//! does between two awaits happens before the connection's task runs again.
use super::connection::{self, Limits};
use super::limiter::{ConnectionLimiter, ConnectionState, Phase};
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

/// A connection that is served, and its client.
struct Scene {
    client: TcpStream,
    close: watch::Sender<bool>,
    state: Arc<ConnectionState>,
    routed: Arc<AtomicUsize>,
    served: JoinHandle<()>,
}

async fn scene(closing: bool) -> Scene {
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
    let (close, told) = watch::channel(closing);
    let served = tokio::spawn(connection::serve(socket, routes, LIMITS, permit, told));
    Scene { client, close, state, routed, served }
}

impl Scene {
    fn write(&self, bytes: &[u8]) {
        (&self.client).write_all(bytes).expect("written");
    }

    /// Reads one answer, whose body is `body`.
    async fn read_answer(&self) {
        let mut client = self.client.try_clone().expect("a handle");
        let read = move || {
            let mut text = Vec::new();
            while !text.ends_with(b"body") {
                let mut byte = [0];
                client.read_exact(&mut byte).expect("an answer");
                text.push(byte[0]);
            }
        };
        spawn_blocking(read).await.expect("read");
    }

    /// Everything that still comes, or how the connection broke.
    async fn read_to_end(&self) -> Result<String, ErrorKind> {
        let mut client = self.client.try_clone().expect("a handle");
        let read = move || {
            let mut text = String::new();
            client.read_to_string(&mut text).map(|_| text).map_err(|e| e.kind())
        };
        spawn_blocking(read).await.expect("read")
    }

    /// The connection has ended for the client, and is held until the client has closed its side as well.
    async fn expect_close_in_order(self) {
        assert_eq!(self.read_to_end().await, Ok(String::new()));
        assert!(!self.served.is_finished(), "closed over what the client has sent: that is a reset");
        self.client.shutdown(Shutdown::Both).expect("shut");
        timeout(Duration::from_secs(5), self.served).await.expect("closed in time").expect("it ended");
        assert_eq!(self.routed.load(Ordering::Relaxed), 1, "what is read after the close is never sent on");
    }

    async fn wait_for(&self, phase: Phase) {
        for _ in 0..1_000_000 {
            if self.state.phase() == phase {
                return;
            }
            yield_now().await;
        }
        panic!("waited in vain for {phase:?}: {:?}", self.state.phase());
    }

    fn routed(&self) -> usize {
        self.routed.load(Ordering::Relaxed)
    }
}

/// Seen by reading: an idle connection was closed over bytes that had just come, which resets it.
#[tokio::test]
async fn a_request_that_crosses_the_close_meets_an_end_and_no_reset() {
    let scene = scene(false).await;
    scene.write(REQUEST);
    scene.read_answer().await;
    scene.wait_for(Phase::Idle).await;
    scene.close.send_replace(true);
    scene.write(REQUEST);
    scene.expect_close_in_order().await;
}

#[tokio::test]
async fn a_request_that_crosses_an_eviction_meets_an_end_and_no_reset() {
    let scene = scene(false).await;
    scene.write(REQUEST);
    scene.read_answer().await;
    scene.wait_for(Phase::Idle).await;
    scene.state.evict();
    scene.write(REQUEST);
    scene.expect_close_in_order().await;
}

/// A client that sends on without end does not hold up the close.
#[tokio::test]
async fn input_is_discarded_for_a_short_time_only() {
    let scene = scene(false).await;
    scene.state.evict();
    timeout(Duration::from_secs(2), scene.served).await.expect("closed in time").expect("it ended");
}

/// Seen by reading: hyper closes a connection that is idle for it, though part of the next head has come.
#[tokio::test]
async fn a_request_whose_head_comes_in_pieces_across_the_close_is_answered() {
    let scene = scene(false).await;
    scene.write(REQUEST);
    scene.read_answer().await;
    scene.wait_for(Phase::Idle).await;
    scene.write(&REQUEST[..12]);
    scene.wait_for(Phase::ReadingHead).await;
    scene.close.send_replace(true);
    yield_now().await;
    yield_now().await;
    scene.write(&REQUEST[12..]);
    let answer = scene.read_to_end().await.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("body"), "{answer}");
    assert_eq!(scene.routed(), 2);
}

/// Seen by reading: a connection that was accepted while connections close was closed before its request could come.
#[tokio::test]
async fn a_new_connection_has_its_request_answered_while_connections_close() {
    let scene = scene(true).await;
    yield_now().await;
    yield_now().await;
    scene.write(REQUEST);
    let answer = scene.read_to_end().await.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// A request whose body is half read when connections close is refused, and so provably not taken on; before, it was
/// waited for until the process ended under it.
#[tokio::test]
async fn a_body_that_does_not_come_while_connections_close_is_refused_in_time() {
    let scene = scene(false).await;
    scene.write(&REQUEST[..REQUEST.len() - 2]);
    scene.wait_for(Phase::InRequest).await;
    scene.close.send_replace(true);
    let closed = timeout(super::FINAL_RESPONSES, scene.read_to_end()).await;
    let answer = closed.expect("before the process ends").expect("an end");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(scene.routed(), 0);
}

/// Seen by reading: a slow client that wrote its head in pieces could be evicted after 100 ms.
#[tokio::test(start_paused = true)]
async fn a_connection_in_the_middle_of_a_head_is_evicted_only_once_its_client_has_given_up() {
    let limiter = ConnectionLimiter::new(1);
    let permit = limiter.acquire().await;
    let state = permit.state().clone();
    state.bytes_read(b"POST /st");
    let waiting = limiter.clone();
    let next = tokio::spawn(async move { waiting.acquire().await });
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(state.phase(), Phase::ReadingHead, "its client still waits for an answer");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(state.phase(), Phase::Closing);
    drop(permit);
    next.await.expect("a place");
}

/// Where all places are taken, those go first that have stood idle, then those that never said a word.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_evicted_before_silent_ones_and_never_under_a_request() {
    let limiter = ConnectionLimiter::new(3);
    let (idle, silent, busy) = (limiter.acquire().await, limiter.acquire().await, limiter.acquire().await);
    idle.state().enter(Phase::Idle);
    busy.state().enter(Phase::InRequest);
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let waiting = limiter.clone();
    let next = tokio::spawn(async move { waiting.acquire().await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    let phases = [&idle, &silent, &busy].map(|c| c.state().phase());
    assert_eq!(phases, [Phase::Closing, Phase::Connected, Phase::InRequest]);
    drop(idle);
    next.await.expect("a place");
}
