//! A node on its socket: datagrams in and out, its clock, what is remembered, and what others want of it.
use super::error::FleetError;
use super::member::Member;
use super::node::{Node, Sent};
use super::snapshot::SnapshotStore;
use super::view::FleetView;
use super::wire::{Attributes, DATAGRAM};
use crate::clock;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

/// What is remembered is written no more often than this.
const WRITE: Duration = Duration::from_secs(1);
/// How often those that are to show a certificate are looked up.
const LOOK: Duration = Duration::from_millis(250);
/// A goodbye is said so often: one may be lost.
const GOODBYES: u32 = 4;
const GOODBYE_GAP: Duration = Duration::from_millis(30);
/// A process that ends waits so long for its goodbyes.
const GOODBYE_FOR: Duration = Duration::from_secs(1);
/// DriverChannels that wait; who has more waits itself.
const WISHES: usize = 64;

enum Command {
    View(oneshot::Sender<FleetView>),
    /// A member that has shown its certificate on a connection.
    Shown(Member),
    Attributes(Attributes),
    Drain,
    Leave(oneshot::Sender<()>),
}

/// What the node knows, for those who work with it.
#[derive(Clone, Default)]
pub struct KnownMembers {
    /// This one; none before it has begun, and after it has left.
    pub local: Option<Member>,
    /// Those that are there and stay.
    pub available: Vec<Member>,
    /// Of all that are there, those that have not shown a certificate in this life.
    pub unauthenticated: Vec<Member>,
}

/// The way to a node that runs.
#[derive(Clone)]
pub struct FleetHandle {
    wishes: mpsc::Sender<Command>,
    /// What it knows, a quarter of a second old at the most.
    pub known_members: watch::Receiver<Arc<KnownMembers>>,
}

/// The node's end of it.
pub struct DriverChannels {
    wishes: mpsc::Receiver<Command>,
    known_members: watch::Sender<Arc<KnownMembers>>,
}

impl FleetHandle {
    /// Both ends.
    pub fn new() -> (FleetHandle, DriverChannels) {
        let (wish, wishes) = mpsc::channel(WISHES);
        let (tell, known) = watch::channel(Arc::default());
        (FleetHandle { wishes: wish, known_members: known }, DriverChannels { wishes, known_members: tell })
    }

    /// The view of this moment; none once the node has left.
    pub async fn view(&self) -> Result<FleetView, FleetError> {
        let (ask, answer) = oneshot::channel();
        self.wishes.send(Command::View(ask)).await.map_err(|_| FleetError::Stopped)?;
        answer.await.map_err(|_| FleetError::Stopped)
    }

    /// A member has shown its certificate on a connection, in the life named.
    pub async fn mark_authenticated(&self, who: Member) {
        let _ = self.wishes.send(Command::Shown(who)).await;
    }

    /// What this forwarder says of itself.
    pub async fn publish_attributes(&self, facts: Attributes) {
        let _ = self.wishes.send(Command::Attributes(facts)).await;
    }

    /// Tells the fleet that this one takes nothing new.
    pub async fn drain(&self) {
        let _ = self.wishes.send(Command::Drain).await;
    }

    /// Says goodbye, and gives back when that is said.
    pub async fn leave(&self) {
        let (done, said) = oneshot::channel();
        if self.wishes.send(Command::Leave(done)).await.is_ok() {
            let _ = timeout(GOODBYE_FOR, said).await;
        }
    }
}

/// Keeps the view for as long as the process runs, or until it leaves. `began` is the moment from which the node counts.
pub async fn run(
    socket: UdpSocket, mut node: Node, began: Instant, mut memory: SnapshotStore, wishes: DriverChannels,
) {
    let DriverChannels { mut wishes, known_members: known } = wishes;
    let (mut write, mut written): (Option<Instant>, Instant) = (None, Instant::now());
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = vec![0; 64 * 1024];
    // What was published and remembered last.
    let mut digest = None;
    let mut done = None;
    while !node.has_withdrawn() {
        // Before anybody hears of it.
        memory.raise_incarnation(node.local_member().incarnation);
        send(&socket, node.take_outgoing()).await;
        if digest != Some(node.digest()) {
            digest = Some(node.digest());
            publish(&known, &node);
            write = write.or(Some(written + WRITE));
        }
        tokio::select! {
            read = socket.recv_from(&mut bytes) => match read {
                Ok((size, _)) if size <= DATAGRAM => node.handle_datagram(began.elapsed(), &bytes[..size]),
                // On loopback an earlier datagram that nobody took comes back as an error.
                Ok(_) | Err(_) => {}
            },
            () = sleep_until(began + node.next_wakeup()) => node.handle_wakeup(began.elapsed()),
            () = sleep_until(write.unwrap_or_else(Instant::now)), if write.is_some() => {
                (write, written) = (None, Instant::now());
                memory.record(&node.available_members(), node.agreed_fleet(), clock::now().0 / 1_000_000_000);
            }
            _ = looks.tick() => {
                publish(&known, &node);
                if node.agreed_fleet() != memory.agreed_fleet() {
                    write = write.or(Some(written + WRITE));
                }
            }
            wish = wishes.recv() => match wish {
                Some(Command::View(answer)) => drop(answer.send(node.view(began.elapsed()))),
                Some(Command::Shown(who)) => node.mark_authenticated(began.elapsed(), &who),
                Some(Command::Attributes(facts)) => node.publish_attributes(began.elapsed(), facts),
                Some(Command::Drain) => node.drain(began.elapsed()),
                Some(Command::Leave(said)) => {
                    done = Some(said);
                    break;
                }
                // Nobody works with it any more: the process ends.
                None => break,
            },
        }
    }
    log::info!("neighbours: goodbye");
    let there = node.available_members();
    known.send_replace(Arc::default());
    let goodbye = node.leave(began.elapsed());
    for _ in 0..GOODBYES {
        send(&socket, goodbye.clone()).await;
        sleep(GOODBYE_GAP).await;
    }
    // Who has said that it goes counts nobody: it comes back as one that joins.
    memory.record(&there, &Default::default(), clock::now().0 / 1_000_000_000);
    if let Some(said) = done {
        let _ = said.send(());
    }
}

fn publish(known: &watch::Sender<Arc<KnownMembers>>, node: &Node) {
    let now = KnownMembers {
        local: Some(node.local_member().clone()),
        available: node.available_members(),
        unauthenticated: node.unauthenticated_members(),
    };
    known.send_if_modified(|held| {
        let changed = held.local != now.local
            || held.available != now.available
            || held.unauthenticated != now.unauthenticated;
        if changed {
            *held = Arc::new(now);
        }
        changed
    });
}

/// Lost like any datagram; the others ask again.
async fn send(socket: &UdpSocket, datagrams: Vec<Sent>) {
    for (to, datagram) in datagrams {
        let _ = socket.send_to(&datagram, to).await;
    }
}
