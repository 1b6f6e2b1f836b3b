//! Further clients beside the callers, which connect without sending a request or send one in pieces.
use crate::stand::message_request;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::Duration;

/// The behaviour of the crowd of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    None,
    /// Clients that connect, send nothing and stay connected; more than the connections that a forwarder keeps for clients.
    Idle,
    /// Clients that connect and disconnect at once.
    Disconnecting,
    /// A client that sends its requests in pieces.
    InPieces,
}

/// More than a third of the descriptors of a process, the share that it uses for clients.
const IDLE_CLIENTS: usize = 140;
/// Pause between two clients.
const PAUSE: Duration = Duration::from_millis(20);
/// Pause between two pieces of a request; four pieces are sent within the 2.2 s that a request's head may take.
const PIECE_PAUSE: Duration = Duration::from_millis(60);

pub struct Crowd {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Crowd {
    pub fn start(kind: CrowdKind, addr: SocketAddr) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            let mut idle = Vec::new();
            let mut number = 0;
            while !stop_requested.load(Ordering::Relaxed) {
                match kind {
                    CrowdKind::None => {}
                    CrowdKind::Idle => keep_idle_clients(addr, &mut idle),
                    CrowdKind::Disconnecting => drop(TcpStream::connect(addr)),
                    CrowdKind::InPieces => send_in_pieces(addr, number),
                }
                number += 1;
                sleep(PAUSE);
            }
        });
        Crowd { stop, thread }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the crowd panicked");
    }
}

/// Drops the connections that the forwarder has closed, and opens one while there are fewer than `IDLE_CLIENTS`.
fn keep_idle_clients(addr: SocketAddr, idle: &mut Vec<TcpStream>) {
    idle.retain(|socket| {
        socket.set_nonblocking(true).expect("cannot set the socket non-blocking");
        socket.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    });
    if idle.len() < IDLE_CLIENTS {
        idle.extend(TcpStream::connect(addr));
    }
}

/// Sends one request in pieces. The response is not checked, because a change of processes may close the connection at any
/// time.
fn send_in_pieces(addr: SocketAddr, number: usize) {
    let Ok(mut socket) = TcpStream::connect(addr) else { return };
    let request = message_request("stats", &format!("pieces-{number}"), "20000m", "");
    for piece in request.chunks(request.len() / 3) {
        if socket.write_all(piece).is_err() {
            return;
        }
        sleep(PIECE_PAUSE);
    }
    let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = socket.read(&mut [0; 64]);
}
