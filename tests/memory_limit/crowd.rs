//! Crowds of clients that send requests at their own pace, open a new connection whenever theirs is closed, and never give up.
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of clients that one thread of a crowd serves.
const CLIENTS_PER_THREAD: usize = 100;

/// What each client of a crowd sends, and how.
#[derive(Clone)]
pub struct Script {
    pub bytes: Arc<Vec<u8>>,
    /// Bytes of the first write.
    pub first_write_bytes: usize,
    /// Bytes of each further write.
    pub write_bytes: usize,
    /// Pause between two writes of a client.
    pub pause: Duration,
    /// Whether the client reads what arrives.
    pub reads: bool,
}

impl Script {
    /// Sends these bytes in writes of this size, a millisecond apart.
    pub fn new(bytes: Vec<u8>, write_bytes: usize) -> Script {
        let pause = Duration::from_millis(1);
        Script { bytes: Arc::new(bytes), first_write_bytes: write_bytes, write_bytes, pause, reads: true }
    }

    /// Sends the head at once, then the body in writes of this size, a millisecond apart.
    pub fn body_in_writes(head: Vec<u8>, body: &[u8], write_bytes: usize) -> Script {
        let first_write_bytes = head.len();
        Script { first_write_bytes, ..Script::new([head, body.to_vec()].concat(), write_bytes) }
    }
}

/// A client of a crowd, with its connection and the number of bytes that it has sent.
#[derive(Default)]
struct Client {
    socket: Option<TcpStream>,
    sent: usize,
}

impl Client {
    /// Sends the next piece. Drops the connection if the server has closed it. After the last byte the client waits.
    fn advance(&mut self, addr: SocketAddr, script: &Script) {
        let Some(socket) = &mut self.socket else {
            return self.connect(addr);
        };
        if script.reads && is_closed(socket) {
            self.socket = None;
            return;
        }
        let write_bytes = if self.sent == 0 { script.first_write_bytes } else { script.write_bytes };
        let end = (self.sent + write_bytes).min(script.bytes.len());
        match socket.write(&script.bytes[self.sent..end]) {
            Ok(written) => self.sent += written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.socket = None,
        }
    }

    fn connect(&mut self, addr: SocketAddr) {
        // A connect on loopback completes at once, or fails while the accept queue is full.
        let Ok(socket) = TcpStream::connect_timeout(&addr, Duration::from_millis(20)) else { return };
        socket.set_nonblocking(true).expect("a socket");
        socket.set_nodelay(true).expect("a socket");
        *self = Client { socket: Some(socket), sent: 0 };
    }
}

/// Reads what has arrived. Returns whether the connection has ended.
fn is_closed(socket: &mut TcpStream) -> bool {
    let mut buffer = [0; 4096];
    loop {
        match socket.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// A running crowd.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub fn start(addr: SocketAddr, clients: usize, script: &Script) -> Crowd {
        let (stop, connected) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let mut threads = Vec::new();
        for first in (0..clients).step_by(CLIENTS_PER_THREAD) {
            let count = CLIENTS_PER_THREAD.min(clients - first);
            let (stop, connected, script) = (stop.clone(), connected.clone(), script.clone());
            threads.push(thread::spawn(move || run_clients(addr, count, &script, &stop, &connected)));
        }
        Crowd { stop, connected, threads }
    }

    /// Returns the largest number of clients that one thread had connected at once, added up over the threads.
    pub fn connected(&self) -> usize {
        self.connected.load(Relaxed)
    }

    pub fn stop(self) {
        self.stop.store(true, Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a thread of the crowd panicked"));
    }
}

fn run_clients(addr: SocketAddr, count: usize, script: &Script, stop: &AtomicBool, connected: &AtomicUsize) {
    let mut clients: Vec<Client> = (0..count).map(|_| Client::default()).collect();
    let mut most = 0;
    while !stop.load(Relaxed) {
        for client in &mut clients {
            client.advance(addr, script);
        }
        let now = clients.iter().filter(|client| client.socket.is_some()).count();
        if now > most {
            connected.fetch_add(now - most, Relaxed);
            most = now;
        }
        thread::sleep(script.pause);
    }
}
