//! Listeners of the client fronts, also such that a successor can share during a takeover.
use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::os::fd::AsFd;
use tokio::net::TcpListener;

/// Connections that the kernel queues before they are accepted; the standard library's value.
const BACKLOG: i32 = 1024;
/// Of two listeners that share an address, the place of the one that began to listen later.
const LATER_LISTENER: u32 = 1;

/// Listens at an address that no other process shares.
///
/// # Errors
///
/// The address is in use or is not an address of this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    TcpListener::from_std(listen_on(socket, address)?)
}

fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // Connections of an earlier process may still wait for their end (TIME_WAIT).
    socket.set_reuse_address(true)?;
    Ok(socket)
}

fn listen_on(socket: Socket, address: SocketAddr) -> io::Result<StdTcpListener> {
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A listener at an address where one other process of this user may listen as well (`SO_REUSEPORT`): the predecessor or
/// the successor of this one.
pub struct SharedListener {
    listener: StdTcpListener,
    yields_to_later: bool,
}

impl SharedListener {
    /// Begins to listen; needs no runtime. From then on the kernel gives this process the new connections. Another one that
    /// listens there already gets them again once this one has closed its listener or has ended.
    ///
    /// # Errors
    ///
    /// The address is in use by a listener that is not shared, or is not an address of this machine.
    pub fn open(address: SocketAddr) -> io::Result<SharedListener> {
        let socket = new_socket(address)?;
        socket.set_reuse_port(true)?;
        let listener = listen_on(socket, address)?;
        let yields_to_later = match prefer_later_listener(&listener) {
            Ok(()) => true,
            Err(error) => {
                log::debug!("the kernel spreads new connections over both processes of a takeover: {error}");
                false
            }
        };
        Ok(SharedListener { listener, yields_to_later })
    }

    /// A handle to accept connections with. The listener stays open until all handles and this are dropped.
    ///
    /// # Errors
    ///
    /// No descriptor is left.
    pub fn accept_handle(&self) -> io::Result<TcpListener> {
        TcpListener::from_std(self.listener.try_clone()?)
    }

    /// Whether a process that listens there later gets all new connections while it lives. Where the kernel does not
    /// support that, it spreads them, and this listener is to be closed once the successor listens.
    pub fn yields_to_later(&self) -> bool {
        self.yields_to_later
    }
}

/// Has the kernel give new connections to the later one of two listeners at the same address. Its program names a place
/// among them, and where that place is empty the kernel uses the one that there is (`SO_ATTACH_REUSEPORT_CBPF`, socket(7)).
/// Takes effect only on a listener: a socket with a program cannot be bound to an address that is in use.
fn prefer_later_listener(listener: &impl AsFd) -> io::Result<()> {
    let mut return_place = sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: LATER_LISTENER };
    let program = sock_fprog { len: 1, filter: &mut return_place };
    Ok(setsockopt(listener, AttachReusePortCbpf, &program)?)
}
