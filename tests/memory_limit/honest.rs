//! Clients that send whole requests and measure how long the response takes, on new connections and on one that stays open.
use crate::stand::{message_request, unique_number};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time that a client waits for its response (protocol, "Clients to forwarders").
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a client gives up, so that a late response is told from a missing one.
const GIVE_UP_AFTER: Duration = Duration::from_secs(3);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(40);

/// What an honest client saw of one request.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Status of the response, or 0 without one.
    pub status: u16,
    pub took: Duration,
}

/// Running honest clients.
pub struct HonestClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Response>>>,
}

impl HonestClients {
    /// Starts a client that opens a connection for each request and one that keeps its connection.
    pub fn start(addr: SocketAddr) -> HonestClients {
        HonestClients::start_with_pause(addr, PAUSE)
    }

    /// Starts clients that send each request right after the last response.
    pub fn start_without_pause(addr: SocketAddr) -> HonestClients {
        HonestClients::start_with_pause(addr, Duration::ZERO)
    }

    fn start_with_pause(addr: SocketAddr, pause: Duration) -> HonestClients {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = [false, true].map(|keeps_connection| {
            let stop = stop.clone();
            thread::spawn(move || run_client(addr, keeps_connection, pause, &stop))
        });
        HonestClients { stop, threads: threads.into() }
    }

    /// Ends the clients and returns what they saw.
    pub fn stop(self) -> Vec<Response> {
        self.stop.store(true, Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client panicked")).collect()
    }
}

fn run_client(addr: SocketAddr, keeps_connection: bool, pause: Duration, stop: &AtomicBool) -> Vec<Response> {
    let mut responses = Vec::new();
    let mut connection: Option<TcpStream> = None;
    while !stop.load(Relaxed) {
        let request = message_request("stats", &format!("honest-{}", unique_number()), "9000m", "");
        let started = Instant::now();
        let (mut status, mut stays_open) = match &mut connection {
            Some(socket) => exchange(socket, &request),
            None => (0, false),
        };
        if status == 0 {
            // A connection that was closed between two requests: the protocol has the client send the request once more.
            connection = TcpStream::connect_timeout(&addr, GIVE_UP_AFTER).ok();
            if let Some(socket) = &mut connection {
                (status, stays_open) = exchange(socket, &request);
            }
        }
        responses.push(Response { status, took: started.elapsed() });
        if !keeps_connection || !stays_open {
            connection = None;
        }
        thread::sleep(pause);
    }
    responses
}

/// Sends a request and reads the response. Returns its status, or 0 without one, and whether the connection stays open.
fn exchange(socket: &mut TcpStream, request: &[u8]) -> (u16, bool) {
    socket.set_read_timeout(Some(GIVE_UP_AFTER)).expect("a socket");
    if socket.write_all(request).is_err() {
        return (0, false);
    }
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    while !text.windows(4).any(|window| window == b"\r\n\r\n") {
        match socket.read(&mut buffer) {
            Ok(0) | Err(_) => return (0, false),
            Ok(read) => text.extend_from_slice(&buffer[..read]),
        }
    }
    let text = String::from_utf8_lossy(&text).to_lowercase();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    (status, !text.contains("connection: close"))
}
