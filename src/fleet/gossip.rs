//! A node on its socket: datagrams in and out, its clock, what is remembered, and what others want of it.
use super::members::Member;
use super::memory::Memory;
use super::node::{Node, Sent};
use super::view::View;
use super::wire::{Facts, DATAGRAM};
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
/// Wishes that wait; who has more waits itself.
const WISHES: usize = 64;

enum Wish {
    View(oneshot::Sender<View>),
    /// A member that has shown its certificate on a connection.
    Shown(Member),
    Facts(Facts),
    Drain,
    Leave(oneshot::Sender<()>),
}

/// What the node knows, for those who work with it.
#[derive(Clone, Default)]
pub struct Known {
    /// This one; none before it has begun, and after it has left.
    pub me: Option<Member>,
    /// Those that are there and stay.
    pub there: Vec<Member>,
    /// Of all that are there, those that have not shown a certificate in this life.
    pub unshown: Vec<Member>,
}

/// The way to a node that runs.
#[derive(Clone)]
pub struct Fleet {
    wishes: mpsc::Sender<Wish>,
    /// What it knows, a quarter of a second old at the most.
    pub known: watch::Receiver<Arc<Known>>,
}

/// The node's end of it.
pub struct Wishes {
    wishes: mpsc::Receiver<Wish>,
    known: watch::Sender<Arc<Known>>,
}

impl Fleet {
    /// Both ends.
    pub fn new() -> (Fleet, Wishes) {
        let (wish, wishes) = mpsc::channel(WISHES);
        let (tell, known) = watch::channel(Arc::default());
        (Fleet { wishes: wish, known }, Wishes { wishes, known: tell })
    }

    /// The view of this moment; none once the node has left.
    pub async fn view(&self) -> Option<View> {
        let (ask, answer) = oneshot::channel();
        self.wishes.send(Wish::View(ask)).await.ok()?;
        answer.await.ok()
    }

    /// A member has shown its certificate on a connection, in the life named.
    pub async fn shown(&self, who: Member) {
        let _ = self.wishes.send(Wish::Shown(who)).await;
    }

    /// What this forwarder says of itself.
    pub async fn write(&self, facts: Facts) {
        let _ = self.wishes.send(Wish::Facts(facts)).await;
    }

    /// Tells the fleet that this one takes nothing new.
    pub async fn drain(&self) {
        let _ = self.wishes.send(Wish::Drain).await;
    }

    /// Says goodbye, and gives back when that is said.
    pub async fn leave(&self) {
        let (done, said) = oneshot::channel();
        if self.wishes.send(Wish::Leave(done)).await.is_ok() {
            let _ = timeout(GOODBYE_FOR, said).await;
        }
    }
}

/// Keeps the view for as long as the process runs, or until it leaves. `began` is the moment from which the node counts.
pub async fn run(socket: UdpSocket, mut node: Node, began: Instant, mut memory: Memory, wishes: Wishes) {
    let Wishes { mut wishes, known } = wishes;
    let (mut write, mut written): (Option<Instant>, Instant) = (None, Instant::now());
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = vec![0; 64 * 1024];
    // What was published and remembered last.
    let mut digest = None;
    let mut done = None;
    while !node.withdrawn() {
        // Before anybody hears of it.
        memory.live(node.me().incarnation);
        send(&socket, node.out()).await;
        if digest != Some(node.digest()) {
            digest = Some(node.digest());
            publish(&known, &node);
            write = write.or(Some(written + WRITE));
        }
        tokio::select! {
            read = socket.recv_from(&mut bytes) => match read {
                Ok((size, _)) if size <= DATAGRAM => node.datagram(began.elapsed(), &bytes[..size]),
                // On loopback an earlier datagram that nobody took comes back as an error.
                Ok(_) | Err(_) => {}
            },
            () = sleep_until(began + node.next()) => node.wake(began.elapsed()),
            () = sleep_until(write.unwrap_or_else(Instant::now)), if write.is_some() => {
                (write, written) = (None, Instant::now());
                memory.note(&node.there(), node.agreed(), clock::now().0 / 1_000_000_000);
            }
            _ = looks.tick() => {
                publish(&known, &node);
                if node.agreed() != memory.agreed() {
                    write = write.or(Some(written + WRITE));
                }
            }
            wish = wishes.recv() => match wish {
                Some(Wish::View(answer)) => drop(answer.send(node.view(began.elapsed()))),
                Some(Wish::Shown(who)) => node.shown(began.elapsed(), &who),
                Some(Wish::Facts(facts)) => node.write(began.elapsed(), facts),
                Some(Wish::Drain) => node.drain(began.elapsed()),
                Some(Wish::Leave(said)) => {
                    done = Some(said);
                    break;
                }
                // Nobody works with it any more: the process ends.
                None => break,
            },
        }
    }
    log::info!("neighbours: goodbye");
    let there = node.there();
    known.send_replace(Arc::default());
    let goodbye = node.leave(began.elapsed());
    for _ in 0..GOODBYES {
        send(&socket, goodbye.clone()).await;
        sleep(GOODBYE_GAP).await;
    }
    // Who has said that it goes counts nobody: it comes back as one that joins.
    memory.note(&there, &Default::default(), clock::now().0 / 1_000_000_000);
    if let Some(said) = done {
        let _ = said.send(());
    }
}

fn publish(known: &watch::Sender<Arc<Known>>, node: &Node) {
    let now = Known { me: Some(node.me().clone()), there: node.there(), unshown: node.unshown() };
    known.send_if_modified(|held| {
        let changed = held.me != now.me || held.there != now.there || held.unshown != now.unshown;
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
