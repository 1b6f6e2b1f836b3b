//! Listeners of the client fronts, including those that predecessor and successor share during a takeover.
use nix::libc::{sock_filter, sock_fprog, BPF_K, BPF_RET};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::os::fd::AsFd;
use tokio::net::TcpListener;

/// Length of the kernel's queue of connections that wait for `accept`; the standard library's value.
const BACKLOG: i32 = 1024;
/// Index of the later of two listeners that share an address, in the kernel's `SO_REUSEPORT` group.
const LATER_LISTENER_INDEX: u32 = 1;

/// Opens a listener at an address that this process uses alone.
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
    // Allows the address to be bound while connections of an earlier process are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    Ok(socket)
}

fn listen_on(socket: Socket, address: SocketAddr) -> io::Result<StdTcpListener> {
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A listener at an address that the predecessor or the successor, run by the same user, may also listen at
/// (`SO_REUSEPORT`).
pub struct SharedListener {
    listener: StdTcpListener,
    yields_to_later: bool,
}

impl SharedListener {
    /// Starts to listen; needs no runtime. From this call on, the kernel gives new connections to this process. A process
    /// that listened there before receives them again once this listener is closed or this process has exited.
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
                log::debug!("cannot prefer the successor's listener; the kernel spreads connections over both: {error}");
                false
            }
        };
        Ok(SharedListener { listener, yields_to_later })
    }

    /// Returns a handle that accepts connections. The listener stays open until this object and all handles are dropped.
    ///
    /// # Errors
    ///
    /// The process has no file descriptor left.
    pub fn accept_handle(&self) -> io::Result<TcpListener> {
        TcpListener::from_std(self.listener.try_clone()?)
    }

    /// Returns whether the kernel gives all new connections to a process that listens at this address later, until that
    /// process exits. If the kernel does not support that, it spreads connections over both listeners, so this listener
    /// must be closed once the successor listens.
    pub fn yields_to_later(&self) -> bool {
        self.yields_to_later
    }
}

/// Attaches a BPF program that makes the kernel give new connections to the later of two listeners at the same address
/// (`SO_ATTACH_REUSEPORT_CBPF`, socket(7)). The program returns an index into the group of listeners; if the group has no
/// listener at that index, the kernel uses the only one. The program must be attached after `listen`: a socket that has one
/// cannot be bound to an address that is in use.
fn prefer_later_listener(listener: &impl AsFd) -> io::Result<()> {
    let mut return_index =
        sock_filter { code: (BPF_RET | BPF_K) as u16, jt: 0, jf: 0, k: LATER_LISTENER_INDEX };
    let program = sock_fprog { len: 1, filter: &mut return_index };
    Ok(setsockopt(listener, AttachReusePortCbpf, &program)?)
}
