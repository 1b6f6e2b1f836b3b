//! Runs a node on its socket: receives and sends datagrams, wakes it, writes its snapshot and carries out the commands of
//! the rest of the program.
use super::error::FleetError;
use super::member::Member;
use super::node::{Node, OutgoingDatagram};
use super::snapshot::SnapshotStore;
use super::view::FleetView;
use super::wire::{Attributes, MAX_DATAGRAM_BYTES};
use crate::clock;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

/// The snapshot is written no more often than this.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// How often the known members are published to the rest of the program, besides each change of the view: who is to be
/// authenticated changes without one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// The goodbye is sent this often, as datagrams may be lost.
const LEAVE_ROUNDS: u32 = 4;
const LEAVE_INTERVAL: Duration = Duration::from_millis(30);
/// A process that ends waits this long for its goodbyes.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Commands that wait for the node; a sender waits while there are more.
const MAX_WAITING_COMMANDS: usize = 64;
/// Size of the receive buffer: the largest UDP datagram, so that a longer one than ours is noticed and not cut off.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

enum Command {
    View(oneshot::Sender<FleetView>),
    MarkAuthenticated(Member),
    PublishAttributes(Attributes),
    Drain,
    Leave(oneshot::Sender<()>),
}

/// What the node knows, for the tasks that connect to members.
#[derive(Clone, Default, PartialEq)]
pub struct KnownMembers {
    /// This member; none before the node has begun, and after it has left.
    pub local: Option<Member>,
    /// Present members, without this one and those that are draining.
    pub available: Vec<Member>,
    /// Present members that have presented no certificate in their incarnation.
    pub unauthenticated: Vec<Member>,
}

/// Commands for a running node.
#[derive(Clone)]
pub struct FleetHandle {
    commands: mpsc::Sender<Command>,
    /// What the node knows, at most `PUBLISH_INTERVAL` old.
    pub known_members: watch::Receiver<Arc<KnownMembers>>,
}

/// The driver's ends of the channels of a `FleetHandle`.
pub struct DriverChannels {
    commands: mpsc::Receiver<Command>,
    known_members: watch::Sender<Arc<KnownMembers>>,
}

impl FleetHandle {
    /// A handle, and what `run` needs to serve it.
    pub fn new() -> (FleetHandle, DriverChannels) {
        let (command_sender, command_receiver) = mpsc::channel(MAX_WAITING_COMMANDS);
        let (members_sender, members_receiver) = watch::channel(Arc::default());
        let handle = FleetHandle { commands: command_sender, known_members: members_receiver };
        (handle, DriverChannels { commands: command_receiver, known_members: members_sender })
    }

    /// The view of this moment.
    ///
    /// # Errors
    ///
    /// `FleetError::Stopped` once the node has left.
    pub async fn view(&self) -> Result<FleetView, FleetError> {
        let (reply, view) = oneshot::channel();
        self.commands.send(Command::View(reply)).await.map_err(|_| FleetError::Stopped)?;
        view.await.map_err(|_| FleetError::Stopped)
    }

    /// A member has presented a valid certificate on a connection, in this incarnation.
    pub async fn mark_authenticated(&self, member: Member) {
        self.send(Command::MarkAuthenticated(member)).await;
    }

    /// Publishes this forwarder's attributes.
    pub async fn publish_attributes(&self, attributes: Attributes) {
        self.send(Command::PublishAttributes(attributes)).await;
    }

    /// Notifies the fleet that this forwarder is shutting down and takes nothing new.
    pub async fn drain(&self) {
        self.send(Command::Drain).await;
    }

    /// Leaves the fleet. Returns once the goodbyes are sent, or after `LEAVE_TIMEOUT`.
    pub async fn leave(&self) {
        let (reply, sent) = oneshot::channel();
        if self.commands.send(Command::Leave(reply)).await.is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, sent).await;
        }
    }

    /// A node that has left needs no further command.
    async fn send(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}

/// Runs a node until its forwarder leaves or withdraws, or all handles are dropped. `epoch` is the moment from which the
/// node's times count.
pub async fn run(
    socket: UdpSocket, node: Node, epoch: Instant, snapshot: SnapshotStore, channels: DriverChannels,
) {
    let DriverChannels { commands, known_members } = channels;
    let driver = Driver {
        socket,
        node,
        epoch,
        known_members,
        last_published_digest: None,
        snapshot: SnapshotWriter::new(snapshot),
    };
    driver.run(commands).await;
}

/// Whether the driver goes on after a command.
enum Flow {
    Continue,
    /// Leaves the fleet; the goodbyes are reported to whoever asked for it.
    Leave(Option<oneshot::Sender<()>>),
}

struct Driver {
    socket: UdpSocket,
    node: Node,
    epoch: Instant,
    known_members: watch::Sender<Arc<KnownMembers>>,
    /// The view's digest when the known members were last published.
    last_published_digest: Option<u64>,
    snapshot: SnapshotWriter,
}

impl Driver {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut publish_ticks = interval(PUBLISH_INTERVAL);
        publish_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut leave_reply = None;
        while !self.node.has_withdrawn() {
            self.flush().await;
            let snapshot_due = self.snapshot.due_at;
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    let size = received.map(|(size, _)| size);
                    self.handle_datagram(size, &buffer);
                }
                () = sleep_until(self.epoch + self.node.next_wakeup()) => {
                    self.node.handle_wakeup(self.epoch.elapsed());
                }
                () = sleep_until(snapshot_due.unwrap_or_else(Instant::now)), if snapshot_due.is_some() => {
                    self.snapshot.write(&self.node);
                }
                _ = publish_ticks.tick() => self.publish_tick(),
                command = commands.recv() => match self.handle_command(command) {
                    Flow::Continue => {}
                    Flow::Leave(reply) => {
                        leave_reply = reply;
                        break;
                    }
                },
            }
        }
        self.leave(leave_reply).await;
    }

    /// Sends what the last event has caused, and publishes a view that has changed.
    async fn flush(&mut self) {
        // A raised incarnation must be on disk before any peer learns of it.
        self.snapshot.store.raise_incarnation(self.node.local_member().incarnation);
        let outgoing = self.node.take_outgoing();
        send_all(&self.socket, &outgoing).await;
        if self.last_published_digest != Some(self.node.digest()) {
            self.last_published_digest = Some(self.node.digest());
            self.publish_members();
            self.snapshot.schedule();
        }
    }

    fn handle_datagram(&mut self, received: io::Result<usize>, buffer: &[u8]) {
        match received {
            Ok(size) if size <= MAX_DATAGRAM_BYTES => {
                self.node.handle_datagram(self.epoch.elapsed(), &buffer[..size]);
            }
            // On loopback an ICMP answer to a datagram that was sent earlier comes back as an error.
            Ok(_) | Err(_) => {}
        }
    }

    fn handle_command(&mut self, command: Option<Command>) -> Flow {
        let now = self.epoch.elapsed();
        match command {
            // Whoever asked may have gone meanwhile.
            Some(Command::View(reply)) => drop(reply.send(self.node.view(now))),
            Some(Command::MarkAuthenticated(member)) => self.node.mark_authenticated(now, &member),
            Some(Command::PublishAttributes(attributes)) => {
                self.node.publish_attributes(now, attributes);
            }
            Some(Command::Drain) => self.node.drain(now),
            Some(Command::Leave(reply)) => return Flow::Leave(Some(reply)),
            // All handles are dropped: the process ends.
            None => return Flow::Leave(None),
        }
        Flow::Continue
    }

    fn publish_tick(&mut self) {
        self.publish_members();
        if self.node.agreed_fleet() != self.snapshot.store.agreed_fleet() {
            self.snapshot.schedule();
        }
    }

    fn publish_members(&self) {
        let current = KnownMembers {
            local: Some(self.node.local_member().clone()),
            available: self.node.available_members(),
            unauthenticated: self.node.unauthenticated_members(),
        };
        self.known_members.send_if_modified(|published| {
            if **published == current {
                return false;
            }
            *published = Arc::new(current);
            true
        });
    }

    async fn leave(mut self, reply: Option<oneshot::Sender<()>>) {
        log::info!("neighbours: goodbye");
        let present = self.node.available_members();
        self.known_members.send_replace(Arc::default());
        let leave_messages = self.node.leave(self.epoch.elapsed());
        for _ in 0..LEAVE_ROUNDS {
            send_all(&self.socket, &leave_messages).await;
            sleep(LEAVE_INTERVAL).await;
        }
        // A member that left counts nobody: it comes back as one that joins.
        self.snapshot.store.record(&present, &BTreeSet::new(), now_secs());
        if let Some(reply) = reply {
            let _ = reply.send(());
        }
    }
}

/// Writes the snapshot, at most once in `SNAPSHOT_INTERVAL`.
struct SnapshotWriter {
    store: SnapshotStore,
    due_at: Option<Instant>,
    written_at: Instant,
}

impl SnapshotWriter {
    fn new(store: SnapshotStore) -> SnapshotWriter {
        SnapshotWriter { store, due_at: None, written_at: Instant::now() }
    }

    fn schedule(&mut self) {
        if self.due_at.is_none() {
            self.due_at = Some(self.written_at + SNAPSHOT_INTERVAL);
        }
    }

    fn write(&mut self, node: &Node) {
        self.due_at = None;
        self.written_at = Instant::now();
        self.store.record(&node.available_members(), node.agreed_fleet(), now_secs());
    }
}

/// Seconds since 1970 by this machine's clock.
fn now_secs() -> u64 {
    clock::now().0 / 1_000_000_000
}

/// Sends datagrams. One that cannot be sent is lost like any other: the members repair that by comparing views.
async fn send_all(socket: &UdpSocket, datagrams: &[OutgoingDatagram]) {
    for datagram in datagrams {
        let _ = socket.send_to(&datagram.bytes, datagram.to).await;
    }
}

#[cfg(test)]
mod tests;
