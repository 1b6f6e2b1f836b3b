//! A simulated network: `processes` starts, stops, suspends and resumes members, `links` loses, delays, duplicates and blocks
//! datagrams, and `inspection` compares the members' views.
mod inspection;
mod links;
mod processes;

use micaladder::fleet::member::Member;
use processes::{PersistedState, Process};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

pub use links::{Delay, LinkConditions};

/// Number of member slots beyond the expected members, for members that join later.
const SPARE_MEMBERS: usize = 64;
/// Maximum number of events per second and expected member. More events are a datagram storm, and the run panics. A healthy
/// fleet has a few hundred per member in its worst second.
const MAX_EVENTS_PER_SEC: u64 = 5000;

/// A simulated event of one process.
enum Event {
    Datagram(Vec<u8>),
    Wakeup,
    /// The member connects to unauthenticated members.
    Authenticate,
    /// Two members have presented their certificates to each other.
    Authenticated(Member, Member),
}

/// The time and receiver of an event. Ordered by time, then by the order in which the events were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Duration,
    id: u64,
    member: usize,
    /// Generation of the receiving process. An event for an earlier process of the member is dropped.
    generation: u64,
}

/// A step of a scenario, printed when a run fails.
pub struct HistoryEntry {
    /// Time of the step.
    pub at: Duration,
    /// Description of the step.
    pub action: String,
}

/// Counts the events of the current second.
#[derive(Default)]
struct EventRate {
    second: u64,
    count: u64,
}

/// Members, numbered from 0, and the links between them.
pub struct Network {
    /// The virtual time since the start of the run.
    pub now: Duration,
    /// Conditions of all links that are not blocked.
    pub links: LinkConditions,
    /// The group of the members that are started from now on.
    pub group: String,
    /// Extra delay of all datagrams to and from a member.
    pub delays: HashMap<usize, Delay>,
    /// Blocked links, by sender and receiver.
    pub blocked: HashSet<(usize, usize)>,
    /// Number of datagram bytes that each member has sent.
    pub sent_bytes: Vec<u64>,
    /// The steps of the scenario so far.
    pub history: Vec<HistoryEntry>,
    processes: Vec<Option<Process>>,
    /// State on disk of each member that has stopped.
    persisted: HashMap<usize, PersistedState>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    events: HashMap<u64, Event>,
    /// Last id; incremented for each event and each start of a process.
    last_id: u64,
    event_rate: EventRate,
    seed_addresses: Vec<SocketAddr>,
    expected_members: usize,
    random: StdRng,
    /// Number of times that processes which have stopped were wrongly declared dead.
    past_false_deaths: u64,
}

/// Returns the address of a member.
pub fn address(member: usize) -> SocketAddr {
    ([10, 0, (member >> 8) as u8, member as u8], 7000).into()
}

/// Returns the number of the member with an address of the simulated network. The member need not exist.
fn member_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [network, _, high, low] = address.ip().octets();
    (network == 10).then_some(usize::from(high) << 8 | usize::from(low))
}

/// Returns the name of a member.
pub fn name(member: usize) -> String {
    format!("n{member}")
}

impl Network {
    /// Creates a network without running members. About `expected_members` are expected to start, with the addresses of
    /// `seeds` as their seed addresses.
    pub fn new(random_seed: u64, expected_members: usize, seeds: &[usize]) -> Network {
        let capacity = expected_members + SPARE_MEMBERS;
        Network {
            now: Duration::ZERO,
            links: LinkConditions::default(),
            group: "lab".into(),
            delays: HashMap::new(),
            blocked: HashSet::new(),
            sent_bytes: vec![0; capacity],
            history: Vec::new(),
            processes: (0..capacity).map(|_| None).collect(),
            persisted: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_id: 0,
            event_rate: EventRate::default(),
            seed_addresses: seeds.iter().map(|member| address(*member)).collect(),
            expected_members,
            random: StdRng::seed_from_u64(random_seed),
            past_false_deaths: 0,
        }
    }

    fn record(&mut self, action: String) {
        self.history.push(HistoryEntry { at: self.now, action });
    }

    fn schedule(&mut self, after: Duration, member: usize, generation: u64, event: Event) {
        self.last_id += 1;
        self.events.insert(self.last_id, event);
        let scheduled = ScheduledEvent { at: self.now + after, id: self.last_id, member, generation };
        self.queue.push(Reverse(scheduled));
    }

    /// Delivers a datagram from outside the fleet: random bytes, a replay or a forgery.
    pub fn inject(&mut self, receiver: usize, bytes: Vec<u8>) {
        let generation = self.generation(receiver);
        self.schedule(Duration::ZERO, receiver, generation, Event::Datagram(bytes));
    }

    /// Advances the time to `until` and delivers the events that become due.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(scheduled)) = self.queue.peek().copied() {
            if scheduled.at > until {
                break;
            }
            self.queue.pop();
            self.now = scheduled.at;
            self.count_event();
            if let Some(event) = self.events.remove(&scheduled.id) {
                self.deliver(scheduled, event);
            }
        }
        self.now = until;
    }

    /// Advances the time by `time` and delivers the events that become due.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn count_event(&mut self) {
        let second = self.now.as_secs();
        if second != self.event_rate.second {
            self.event_rate = EventRate { second, count: 0 };
        }
        self.event_rate.count += 1;
        let limit = MAX_EVENTS_PER_SEC * self.expected_members as u64;
        assert!(
            self.event_rate.count < limit,
            "datagram storm at {:?}: more than {MAX_EVENTS_PER_SEC} events per second and member",
            self.now
        );
    }

    fn deliver(&mut self, scheduled: ScheduledEvent, event: Event) {
        let now = self.now;
        let ScheduledEvent { at, member, generation, .. } = scheduled;
        let Some(process) = self.processes[member].as_mut() else { return };
        if process.generation != generation {
            return;
        }
        if process.is_suspended() {
            if let Event::Datagram(bytes) = event {
                process.buffer_datagram(bytes);
            }
            return;
        }
        match event {
            Event::Datagram(bytes) => process.node.handle_datagram(now, &bytes),
            Event::Wakeup => {
                // The wakeup was rescheduled after this event was queued.
                if process.wakeup_at != at {
                    return;
                }
                process.wakeup_at = Duration::MAX;
                process.node.handle_wakeup(now);
            }
            Event::Authenticate => {
                self.connect_to_unauthenticated(member, generation);
                return;
            }
            Event::Authenticated(first, second) => {
                self.mark_authenticated(&first, &second);
                return;
            }
        }
        if process.node.has_withdrawn() {
            self.terminate(member);
            return;
        }
        self.flush(member);
    }
}
