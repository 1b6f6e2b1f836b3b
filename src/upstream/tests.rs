//! Tests of connections to an endpoint with a forced order of events. The runtime has one thread, so everything that a test does
//! between two awaits happens before the task of the connection or the runtime can react.
use super::connection::UpstreamError;
use super::platform::result_of_failed_head;
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

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn deployment() -> DeploymentSettings {
    let module = Settings { connection_idle_timeout: Nanos::from_secs(15.0), ..Settings::default() };
    let connect_timeout = Nanos::from_secs(1.0);
    let no_names = Vec::new;
    DeploymentSettings {
        module,
        classes: no_names(),
        tenants: no_names(),
        zones: no_names(),
        kinds: no_names(),
        connect_timeout,
    }
}

async fn call(pool: &Arc<Pool>) -> Result<Call, UpstreamError> {
    let to: Uri = format!("http://{}/v1/messages", pool.address).parse().expect("an address");
    let request = Request::post(to.clone()).body(Full::new("body".into())).expect("a request");
    pool.clone().call(to, || Some(request), Box::new(|_, _| {})).await
}

/// Accepts a connection and responds to the first call on it.
fn serve_one(listener: TcpListener) -> TcpStream {
    let (mut socket, _) = listener.accept().expect("a connection");
    socket.set_read_timeout(Some(Duration::from_secs(15))).expect("a read timeout");
    let mut received = Vec::new();
    while !received.ends_with(b"body") {
        let mut byte = [0];
        socket.read_exact(&mut byte).expect("a call");
        received.push(byte[0]);
    }
    socket.write_all(RESPONSE).expect("written");
    socket
}

/// The endpoint sends bytes on an idle connection or closes it just before a call uses the connection. No byte of the call may
/// be written, so that the call has not run, and the unsolicited bytes must not be interpreted as its response.
#[rstest]
#[case::partial_line(b"HTTP/1.1 20", false)]
#[case::complete_line(b"HTTP/1.1 200 OK\r\n", false)]
#[case::response(RESPONSE, false)]
#[case::end_of_stream(b"", true)]
#[case::response_and_end_of_stream(RESPONSE, true)]
#[tokio::test]
async fn a_call_is_not_written_to_a_connection_with_unsolicited_bytes_or_end_of_stream(
    #[case] unsolicited: &'static [u8], #[case] closes: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let pool = Arc::new(Pool::new(&deployment(), listener.local_addr().expect("its address").to_string()));
    let endpoint = spawn_blocking(move || serve_one(listener));
    let mut first = call(&pool).await.expect("a connection");
    let (response, connection) = first.head().await.expect("a response");
    drop(response);
    connection.release_when_ready().await;
    let mut endpoint = endpoint.await.expect("the endpoint");
    endpoint.write_all(unsolicited).expect("written");
    if closes {
        endpoint.shutdown(Shutdown::Write).expect("shut");
    }
    let mut second = call(&pool).await.expect("the idle connection");
    let monitor = second.monitor.clone();
    let head =
        timeout(Duration::from_secs(5), second.head()).await.expect("fails without waiting for a response");
    let error = head.err().expect("an error");
    assert!(!monitor.has_status_ok() && !monitor.has_response_bytes());
    assert_eq!(result_of_failed_head(&monitor, "the endpoint", &error).outcome, Outcome::Skipped);
    drop(second);
    drop(pool);
    let read = spawn_blocking(move || {
        let mut received = Vec::new();
        let _ = endpoint.read_to_end(&mut received);
        received
    });
    assert_eq!(read.await.expect("read"), Vec::<u8>::new(), "no byte of the call was written");
}
