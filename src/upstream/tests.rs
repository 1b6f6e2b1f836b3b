//! Connections to an endpoint, in an order that the tests force: the runtime has one thread, so what a test does between
//! two awaits happens before the connection's task, or the runtime itself, can learn of it.
use super::connection::UpstreamError;
use super::platform::head_failed;
use super::pool::{Call, Pool};
use crate::settings::DeploymentSettings;
use crate::{Nanos, Outcome, Settings};
use http_body_util::Full;
use hyper::{Request, Uri};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn site() -> DeploymentSettings {
    let module = Settings { connection_idle_timeout: Nanos::from_secs(15.0), ..Settings::default() };
    let connect_timeout = Nanos::from_secs(1.0);
    let names = Vec::new;
    DeploymentSettings {
        module,
        classes: names(),
        tenants: names(),
        zones: names(),
        kinds: names(),
        connect_timeout,
    }
}

async fn call(pool: &Arc<Pool>) -> Result<Call, UpstreamError> {
    let to: Uri = format!("http://{}/v1/messages", pool.address).parse().expect("an address");
    let request = Request::post(to.clone()).body(Full::new("body".into())).expect("a request");
    pool.clone().call(to, || Some(request), Box::new(|_, _| {})).await
}

/// Accepts a connection and answers the first call on it.
fn serve_one(listener: TcpListener) -> TcpStream {
    let (mut socket, _) = listener.accept().expect("a connection");
    socket.set_read_timeout(Some(Duration::from_secs(15))).expect("a time-out");
    let mut received = Vec::new();
    while !received.ends_with(b"body") {
        let mut byte = [0];
        socket.read_exact(&mut byte).expect("a call");
        received.push(byte[0]);
    }
    socket.write_all(ANSWER).expect("written");
    socket
}

/// Bytes come on an idle connection, or its end, in the instant in which it is picked for a call: nothing of the call is
/// written, it has surely not run, and nothing that came is taken for its answer.
#[rstest]
#[case::half_a_line(b"HTTP/1.1 20", false)]
#[case::a_line(b"HTTP/1.1 200 OK\r\n", false)]
#[case::an_answer(ANSWER, false)]
#[case::end_of_stream(b"", true)]
#[case::an_answer_and_end_of_stream(ANSWER, true)]
#[tokio::test]
async fn a_call_is_not_written_to_a_connection_that_was_not_quiet(
    #[case] unsolicited: &'static [u8], #[case] ends: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let pool = Arc::new(Pool::new(&site(), listener.local_addr().expect("its address").to_string()));
    let endpoint = spawn_blocking(move || serve_one(listener));
    let mut first = call(&pool).await.expect("a connection");
    let (answer, connection) = first.head().await.expect("an answer");
    drop(answer);
    connection.release_when_ready().await;
    let mut endpoint = endpoint.await.expect("the endpoint");
    endpoint.write_all(unsolicited).expect("written");
    if ends {
        endpoint.shutdown(Shutdown::Write).expect("shut");
    }
    let mut second = call(&pool).await.expect("the idle connection");
    let monitor = second.monitor.clone();
    let head = timeout(Duration::from_secs(5), second.head()).await.expect("it does not wait for an answer");
    let error = head.err().expect("no answer");
    assert!(!monitor.has_status_ok() && !monitor.has_answer_bytes());
    assert_eq!(head_failed(&monitor, "the endpoint", &error).outcome, Outcome::Skipped);
    drop(second);
    drop(pool);
    let read = spawn_blocking(move || {
        let mut rest = Vec::new();
        let _ = endpoint.read_to_end(&mut rest);
        rest
    });
    assert_eq!(read.await.expect("read"), Vec::<u8>::new(), "nothing of the call");
}
