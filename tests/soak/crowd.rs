//! Clients that bring no whole request, beside the callers.
use crate::stand::message_request;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::Duration;

/// What the crowd of a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    None,
    /// Clients that connect, send nothing and stay, up to the connections that a forwarder holds for clients.
    Idle,
    /// Clients that connect and leave.
    Leaving,
    /// A client that sends its requests in pieces.
    InPieces,
}

/// More than a third of the descriptors of a process, which is what it has for clients.
const IDLE_CLIENTS: usize = 140;
const PAUSE: Duration = Duration::from_millis(20);
/// Between two pieces; four of them are sent within the 2.2 s that a request's head may take.
const PIECE_PAUSE: Duration = Duration::from_millis(60);

pub struct Crowd {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Crowd {
    pub fn start(kind: CrowdKind, addr: SocketAddr) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut idle = Vec::new();
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                match kind {
                    CrowdKind::None => {}
                    CrowdKind::Idle => stay(addr, &mut idle),
                    CrowdKind::Leaving => drop(TcpStream::connect(addr)),
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
        self.thread.join().expect("the crowd");
    }
}

fn stay(addr: SocketAddr, idle: &mut Vec<TcpStream>) {
    idle.retain(|socket| {
        socket.set_nonblocking(true).expect("a socket");
        socket.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    });
    if idle.len() < IDLE_CLIENTS {
        idle.extend(TcpStream::connect(addr));
    }
}

/// Its answers are not looked at: while the processes change, its request may cross any close.
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
