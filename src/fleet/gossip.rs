//! The driver of a node: receives and sends datagrams on its UDP socket, wakes the node when a timer is due,
//! writes its snapshot and executes commands from the rest of the program.
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

/// Minimum time between two writes of the snapshot.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// How often the known members are published to the rest of the program, in addition to each change of the view. The list
/// of unauthenticated members changes without a change of the view.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// How many times the leave messages are sent, as datagrams may be lost.
const LEAVE_ROUNDS: u32 = 4;
/// Pause after each time that the leave messages are sent.
const LEAVE_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum time that `FleetHandle::leave` waits until the leave messages are sent.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of the command channel. A sender waits while the channel is full.
const COMMAND_CHANNEL_CAPACITY: usize = 64;
/// Size of the receive buffer: the largest UDP datagram, so that an oversized datagram is detected and not truncated.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// A command for the driver.
enum Command {
    View(oneshot::Sender<FleetView>),
    MarkAuthenticated(Member),
    PublishAttributes(Attributes),
    Drain,
    Leave(oneshot::Sender<()>),
}

/// The members that the node knows, for the tasks that connect to them.
#[derive(Clone, Default, PartialEq)]
pub struct KnownMembers {
    /// This member; `None` before the node has started and after it has left.
    pub local: Option<Member>,
    /// Present members, without this member and without draining members.
    pub available: Vec<Member>,
    /// Present members that have sent datagrams and have not presented a certificate in their current incarnation.
    pub unauthenticated: Vec<Member>,
}

/// A handle that sends commands to a running node.
#[derive(Clone)]
pub struct FleetHandle {
    commands: mpsc::Sender<Command>,
    /// The members that the node knows, at most `PUBLISH_INTERVAL` old.
    pub known_members: watch::Receiver<Arc<KnownMembers>>,
}

/// The driver's side of the channels of a `FleetHandle`.
pub struct DriverChannels {
    commands: mpsc::Receiver<Command>,
    known_members: watch::Sender<Arc<KnownMembers>>,
}

impl FleetHandle {
    /// Creates a handle, and the channels by which `run` serves it.
    pub fn new() -> (FleetHandle, DriverChannels) {
        let (command_sender, command_receiver) = mpsc::channel(COMMAND_CHANNEL_CAPACITY);
        let (members_sender, members_receiver) = watch::channel(Arc::default());
        let handle = FleetHandle { commands: command_sender, known_members: members_receiver };
        (handle, DriverChannels { commands: command_receiver, known_members: members_sender })
    }

    /// Returns the current view of the fleet.
    ///
    /// # Errors
    ///
    /// `FleetError::Stopped` if the node has left.
    pub async fn view(&self) -> Result<FleetView, FleetError> {
        let (reply, view) = oneshot::channel();
        self.commands.send(Command::View(reply)).await.map_err(|_| FleetError::Stopped)?;
        view.await.map_err(|_| FleetError::Stopped)
    }

    /// Marks a member as authenticated: it has presented a valid certificate on a connection in this incarnation.
    pub async fn mark_authenticated(&self, member: Member) {
        self.send(Command::MarkAuthenticated(member)).await;
    }

    /// Publishes the attributes of this forwarder.
    pub async fn publish_attributes(&self, attributes: Attributes) {
        self.send(Command::PublishAttributes(attributes)).await;
    }

    /// Notifies the fleet that this forwarder is shutting down and accepts no new messages.
    pub async fn drain(&self) {
        self.send(Command::Drain).await;
    }

    /// Leaves the fleet. Returns once the leave messages are sent, or after `LEAVE_TIMEOUT`.
    pub async fn leave(&self) {
        let (reply, sent) = oneshot::channel();
        if self.commands.send(Command::Leave(reply)).await.is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, sent).await;
        }
    }

    /// Sends a command. A node that has left ignores it.
    async fn send(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}

/// Runs a node until its forwarder leaves or withdraws, or until all handles are dropped. The times passed to the node are
/// relative to `epoch`.
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

/// Whether the driver continues after a command.
enum Flow {
    Continue,
    /// Leaves the fleet, and notifies the sender of the command once the leave messages are sent.
    Leave(Option<oneshot::Sender<()>>),
}

/// The state of the driver task.
struct Driver {
    socket: UdpSocket,
    node: Node,
    epoch: Instant,
    known_members: watch::Sender<Arc<KnownMembers>>,
    /// Digest of the view when the known members were last published.
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

    /// Sends the datagrams that the last event caused. If the view has changed, publishes the members and schedules a
    /// snapshot.
    async fn flush(&mut self) {
        // A raised incarnation must be on disk before any peer receives it.
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
            // On loopback, `recv_from` reports an ICMP error for a datagram that was sent earlier.
            Ok(_) | Err(_) => {}
        }
    }

    fn handle_command(&mut self, command: Option<Command>) -> Flow {
        let now = self.epoch.elapsed();
        match command {
            // The caller may have dropped the receiver.
            Some(Command::View(reply)) => drop(reply.send(self.node.view(now))),
            Some(Command::MarkAuthenticated(member)) => self.node.mark_authenticated(now, &member),
            Some(Command::PublishAttributes(attributes)) => {
                self.node.publish_attributes(now, attributes);
            }
            Some(Command::Drain) => self.node.drain(now),
            Some(Command::Leave(reply)) => return Flow::Leave(Some(reply)),
            // All handles are dropped: the process is exiting.
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
        log::info!("leaving the fleet");
        let present = self.node.available_members();
        self.known_members.send_replace(Arc::default());
        let leave_messages = self.node.leave(self.epoch.elapsed());
        for _ in 0..LEAVE_ROUNDS {
            send_all(&self.socket, &leave_messages).await;
            sleep(LEAVE_INTERVAL).await;
        }
        // A member that leaves stores no agreed fleet, as it later returns as a joining member.
        self.snapshot.store.record(&present, &BTreeSet::new(), now_secs());
        if let Some(reply) = reply {
            let _ = reply.send(());
        }
    }
}

/// Writes the snapshot, at most once per `SNAPSHOT_INTERVAL`.
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

/// Returns the seconds since 1970 by this machine's clock.
fn now_secs() -> u64 {
    clock::now().0 / 1_000_000_000
}

/// Sends datagrams. Errors are ignored: a datagram that is not sent counts as lost, and anti-entropy repairs the loss.
async fn send_all(socket: &UdpSocket, datagrams: &[OutgoingDatagram]) {
    for datagram in datagrams {
        let _ = socket.send_to(&datagram.bytes, datagram.to).await;
    }
}

#[cfg(test)]
mod tests;
