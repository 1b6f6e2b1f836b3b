//! Tests of `members`.
use super::*;
use crate::fleet::member::tests::{address, member};
use std::collections::{BTreeMap, BinaryHeap};

/// Forwarders on a network that this test cuts and mends, in virtual time.
struct Net {
    nodes: BTreeMap<SocketAddr, Membership>,
    queue: BinaryHeap<std::cmp::Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, (SocketAddr, What)>,
    now: Duration,
    next: u64,
    /// Datagrams between the two halves do not arrive.
    cut: Option<u16>,
}

enum What {
    Bytes(SocketAddr, Vec<u8>),
    Timer(Timer<Member>),
}

impl Net {
    fn new() -> Net {
        Net {
            nodes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            now: Duration::ZERO,
            next: 0,
            cut: None,
        }
    }
    fn push(&mut self, after: Duration, at: SocketAddr, what: What) {
        self.next += 1;
        self.queue.push(std::cmp::Reverse((self.now + after, self.next)));
        self.events.insert(self.next, (at, what));
    }
    fn steps(&mut self, of: SocketAddr, steps: Effects) {
        for (to, bytes) in steps.send {
            self.push(Duration::from_millis(1), to, What::Bytes(of, bytes));
        }
        for (after, timer) in steps.timers {
            self.push(after, of, What::Timer(timer));
        }
    }
    fn start(&mut self, n: u16, incarnation: u64, seed: u16) {
        self.events.retain(|_, (at, what)| *at != address(n) || !matches!(what, What::Timer(_)));
        let mut members = Membership::new(member(n, incarnation), 10, u64::from(n));
        let steps = members.announce(address(seed));
        self.nodes.insert(address(n), members);
        self.steps(address(n), steps);
    }
    fn run(&mut self, secs: u64) {
        let until = self.now + Duration::from_secs(secs);
        while let Some(std::cmp::Reverse((at, id))) = self.queue.peek().copied().filter(|e| e.0 .0 <= until) {
            self.queue.pop();
            self.now = at;
            let Some((to, what)) = self.events.remove(&id) else { continue };
            let Some(node) = self.nodes.get_mut(&to) else { continue };
            let steps = match what {
                What::Bytes(from, _) if self.cut.is_some_and(|c| (from.port() < c) != (to.port() < c)) => {
                    continue
                }
                What::Bytes(_, bytes) => node.datagram(&bytes),
                What::Timer(timer) => node.timer(timer),
            };
            self.steps(to, steps);
        }
        self.now = until;
    }
    fn seen_by(&self, n: u16) -> Vec<Member> {
        let mut seen = self.nodes[&address(n)].active();
        seen.sort();
        seen
    }
}

#[test]
fn all_find_each_other_and_a_dead_one_is_missed() {
    let mut net = Net::new();
    (0..5).for_each(|n| net.start(n, 1, 0));
    net.run(20);
    for n in 0..5 {
        assert_eq!(net.seen_by(n).len(), 4, "seen by {n}: {:?}", net.seen_by(n));
    }
    net.nodes.remove(&address(3));
    net.run(20);
    assert!(net.seen_by(0).iter().all(|m| m.name != "n3"));
    // Under the same name and address again: the new incarnation is there at once, whatever was said of the old.
    net.start(3, 2, 0);
    net.run(5);
    for n in [0, 1, 2, 4] {
        assert!(net.seen_by(n).contains(&member(3, 2)), "seen by {n}: {:?}", net.seen_by(n));
    }
}

#[test]
fn two_halves_that_were_cut_apart_find_each_other_again() {
    let mut net = Net::new();
    (0..6).for_each(|n| net.start(n, 1, 0));
    net.run(20);
    net.cut = Some(1003);
    net.run(30);
    assert!(net.seen_by(0).iter().all(|m| m.address.port() < 1003), "{:?}", net.seen_by(0));
    net.cut = None;
    // As the daemon does: who was seen before is asked again, now and then.
    let steps = net.nodes.get_mut(&address(5)).expect("it is there").announce(address(0));
    net.steps(address(5), steps);
    net.run(40);
    for n in 0..6 {
        assert_eq!(net.seen_by(n).len(), 5, "seen by {n}: {:?}", net.seen_by(n));
    }
}

#[test]
fn a_third_of_them_restart_at_a_time_and_none_is_lost() {
    let mut net = Net::new();
    (0..9).for_each(|n| net.start(n, 1, 0));
    net.run(20);
    for third in 0..3 {
        for n in (0..9).filter(|n| n % 3 == third) {
            let steps = net.nodes.get_mut(&address(n)).expect("it is there").leave();
            net.steps(address(n), steps);
        }
        net.run(1);
        for n in (0..9).filter(|n| n % 3 == third) {
            net.start(n, 2, (n + 1) % 9);
        }
        net.run(15);
    }
    for n in 0..9 {
        let seen = net.seen_by(n);
        assert_eq!(seen.len(), 8, "seen by {n}: {seen:?}");
        assert!(seen.iter().all(|m| m.incarnation >= 2), "{seen:?}");
    }
}

/// Gossip of a stranger about so many others, from this number on.
fn forged(stranger: u16, to: &Member, from: u16, count: u16) -> Vec<u8> {
    let src = member(stranger, 1);
    let header = foca::Header { src, src_incarnation: 0, dst: to.clone(), message: Message::Gossip };
    let alive = |n| foca::Member::new(member(n, 1), 0, foca::State::Alive);
    encode(&header, &(from..from + count).map(alive).collect::<Vec<_>>()).expect("it fits")
}

/// Names that nobody bears fill the table of one member: it still hears who is there, who goes and who comes, and its
/// table stays bounded.
#[test]
fn a_table_that_forged_names_have_filled_hears_its_members() {
    let mut net = Net::new();
    (0..3).for_each(|n| net.start(n, 1, 0));
    net.run(10);
    let me = member(0, 1);
    for part in 0..80 {
        let bytes = forged(9000, &me, 10_000 + part * 20, 20);
        assert!(bytes.len() <= PACKET);
        // Its answers go to nobody.
        net.nodes.get_mut(&address(0)).expect("it is there").datagram(&bytes);
    }
    let full = net.seen_by(0).len();
    assert!((MAX_MEMBERS..MAX_MEMBERS + 20).contains(&full), "{full}");
    net.start(3, 1, 0);
    net.run(1);
    assert!(net.seen_by(0).contains(&member(3, 1)), "one that comes is let in");
    assert!(net.seen_by(0).contains(&member(1, 1)) && net.seen_by(0).contains(&member(2, 1)));
    let goodbye = net.nodes.get_mut(&address(1)).expect("it is there").leave();
    net.steps(address(1), goodbye);
    net.run(1);
    assert!(!net.seen_by(0).contains(&member(1, 1)), "one that goes is missed");
    assert!(net.seen_by(0).len() < MAX_MEMBERS + 20);
}

#[test]
fn what_strangers_send_changes_nothing() {
    let mut members = Membership::new(member(0, 1), 10, 1);
    for n in 0..200u8 {
        let steps = members.datagram(&vec![n; usize::from(n)]);
        assert!(steps.send.len() <= 1);
    }
    assert!(members.active().is_empty());
}
