//! Tests of `membership`.
use super::*;
use crate::fleet::member::tests::{address, member};
use std::collections::{BTreeMap, BinaryHeap};

/// A simulated network of forwarders in virtual time, which a test can partition and heal.
struct Network {
    nodes: BTreeMap<SocketAddr, Membership>,
    queue: BinaryHeap<std::cmp::Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, (SocketAddr, Event)>,
    now: Duration,
    last_event_id: u64,
    /// If set, datagrams between a port below this one and a port from this one on are lost.
    partition_port: Option<u16>,
}

enum Event {
    Datagram(SocketAddr, Vec<u8>),
    Timer(Timer<Member>),
}

impl Network {
    fn new() -> Network {
        Network {
            nodes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            now: Duration::ZERO,
            last_event_id: 0,
            partition_port: None,
        }
    }
    fn push(&mut self, after: Duration, target: SocketAddr, event: Event) {
        self.last_event_id += 1;
        self.queue.push(std::cmp::Reverse((self.now + after, self.last_event_id)));
        self.events.insert(self.last_event_id, (target, event));
    }
    fn apply(&mut self, source: SocketAddr, effects: Effects) {
        for SwimMessage { to, bytes } in effects.messages {
            self.push(Duration::from_millis(1), to, Event::Datagram(source, bytes));
        }
        for SwimTimer { after, timer } in effects.timers {
            self.push(after, source, Event::Timer(timer));
        }
    }
    fn start(&mut self, n: u16, incarnation: u64, seed: u16) {
        self.events.retain(|_, (target, event)| *target != address(n) || !matches!(event, Event::Timer(_)));
        let mut membership = Membership::new(member(n, incarnation), 10, u64::from(n));
        let effects = membership.announce(address(seed));
        self.nodes.insert(address(n), membership);
        self.apply(address(n), effects);
    }
    fn run(&mut self, secs: u64) {
        let until = self.now + Duration::from_secs(secs);
        while let Some(std::cmp::Reverse((at, id))) = self.queue.peek().copied().filter(|e| e.0 .0 <= until) {
            self.queue.pop();
            self.now = at;
            let Some((to, event)) = self.events.remove(&id) else { continue };
            let Some(node) = self.nodes.get_mut(&to) else { continue };
            let effects = match event {
                Event::Datagram(from, _)
                    if self.partition_port.is_some_and(|port| (from.port() < port) != (to.port() < port)) =>
                {
                    continue
                }
                Event::Datagram(_, bytes) => node.handle_datagram(&bytes),
                Event::Timer(timer) => node.handle_timer(timer),
            };
            self.apply(to, effects);
        }
        self.now = until;
    }
    fn seen_by(&self, n: u16) -> Vec<Member> {
        let mut seen = self.nodes[&address(n)].active_members();
        seen.sort();
        seen
    }
}

#[test]
fn members_discover_each_other_and_detect_a_crash() {
    let mut network = Network::new();
    (0..5).for_each(|n| network.start(n, 1, 0));
    network.run(20);
    for n in 0..5 {
        assert_eq!(network.seen_by(n).len(), 4, "seen by {n}: {:?}", network.seen_by(n));
    }
    network.nodes.remove(&address(3));
    network.run(20);
    assert!(network.seen_by(0).iter().all(|m| m.name != "n3"));
    // A restart under the same name and address is present at once, although the old incarnation was declared dead.
    network.start(3, 2, 0);
    network.run(5);
    for n in [0, 1, 2, 4] {
        assert!(network.seen_by(n).contains(&member(3, 2)), "seen by {n}: {:?}", network.seen_by(n));
    }
}

#[test]
fn both_sides_merge_after_a_partition_heals() {
    let mut network = Network::new();
    (0..6).for_each(|n| network.start(n, 1, 0));
    network.run(20);
    network.partition_port = Some(1003);
    network.run(30);
    assert!(network.seen_by(0).iter().all(|m| m.address.port() < 1003), "{:?}", network.seen_by(0));
    network.partition_port = None;
    // The daemon also announces itself periodically to members that it knew before.
    let effects = network.nodes.get_mut(&address(5)).expect("the node runs").announce(address(0));
    network.apply(address(5), effects);
    network.run(40);
    for n in 0..6 {
        assert_eq!(network.seen_by(n).len(), 5, "seen by {n}: {:?}", network.seen_by(n));
    }
}

#[test]
fn a_rolling_restart_by_thirds_keeps_all_members() {
    let mut network = Network::new();
    (0..9).for_each(|n| network.start(n, 1, 0));
    network.run(20);
    for third in 0..3 {
        for n in (0..9).filter(|n| n % 3 == third) {
            let effects = network.nodes.get_mut(&address(n)).expect("the node runs").leave();
            network.apply(address(n), effects);
        }
        network.run(1);
        for n in (0..9).filter(|n| n % 3 == third) {
            network.start(n, 2, (n + 1) % 9);
        }
        network.run(15);
    }
    for n in 0..9 {
        let seen = network.seen_by(n);
        assert_eq!(seen.len(), 8, "seen by {n}: {seen:?}");
        assert!(seen.iter().all(|m| m.incarnation >= 2), "{seen:?}");
    }
}

/// Returns a gossip message about `count` members that do not exist, numbered from `from` on.
fn forged_gossip(forger: u16, to: &Member, from: u16, count: u16) -> Vec<u8> {
    let src = member(forger, 1);
    let header = foca::Header { src, src_incarnation: 0, dst: to.clone(), message: Message::Gossip };
    let alive = |n| foca::Member::new(member(n, 1), 0, foca::State::Alive);
    encode(&header, &(from..from + count).map(alive).collect::<Vec<_>>()).expect("the message fits")
}

/// Gossip about forged members fills the table of one member. Real members must still be seen to join and leave, and the
/// table must stay bounded.
#[test]
fn a_table_full_of_forged_members_still_tracks_real_members() {
    let mut network = Network::new();
    (0..3).for_each(|n| network.start(n, 1, 0));
    network.run(10);
    let receiver = member(0, 1);
    for batch in 0..80 {
        let bytes = forged_gossip(9000, &receiver, 10_000 + batch * 20, 20);
        assert!(bytes.len() <= MAX_PACKET_BYTES);
        // The effects are dropped: replies would go to members that do not exist.
        network.nodes.get_mut(&address(0)).expect("the node runs").handle_datagram(&bytes);
    }
    let member_count = network.seen_by(0).len();
    assert!((MAX_MEMBERS..MAX_MEMBERS + 20).contains(&member_count), "{member_count}");
    network.start(3, 1, 0);
    network.run(1);
    assert!(network.seen_by(0).contains(&member(3, 1)), "a joining member is admitted");
    assert!(network.seen_by(0).contains(&member(1, 1)) && network.seen_by(0).contains(&member(2, 1)));
    let leave_message = network.nodes.get_mut(&address(1)).expect("the node runs").leave();
    network.apply(address(1), leave_message);
    network.run(1);
    assert!(!network.seen_by(0).contains(&member(1, 1)), "a leaving member is removed");
    assert!(network.seen_by(0).len() < MAX_MEMBERS + 20);
}

#[test]
fn ignores_malformed_datagrams() {
    let mut membership = Membership::new(member(0, 1), 10, 1);
    for n in 0..200u8 {
        let effects = membership.handle_datagram(&vec![n; usize::from(n)]);
        assert!(effects.messages.len() <= 1);
    }
    assert!(membership.active_members().is_empty());
}
