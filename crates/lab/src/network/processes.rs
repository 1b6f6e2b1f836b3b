//! The members' processes: starts, stops, suspensions, and the state that they leave on disk.
use super::{address, member_at, name, Event, Network};
use micaladder::fleet::member::{Member, MAX_MEMBERS};
use micaladder::fleet::node::{Node, NodeConfig};
use micaladder::fleet::view::FleetView;
use micaladder::fleet::wire::Attributes;
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which a member connects to unauthenticated members.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of connections per interval. The maximum rate is that of the daemon: 80 connections per second.
const MAX_CONNECTIONS: usize = 20;
/// Time from the start of a connection until both sides have presented their certificates.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);
/// Number of times that the leave messages are sent, as in the daemon.
const LEAVE_ROUNDS: u32 = 4;
/// Interval at which the leave messages are sent, as in the daemon.
const LEAVE_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of datagrams in the socket buffer of a suspended process. Further datagrams are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 512;
/// Minimum delay of a wakeup. Without it, virtual time would not advance while a node requests wakeups in the past.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(1);

/// A running or suspended process of a member.
pub(super) struct Process {
    pub(super) node: Node,
    /// The incarnation with which the process started.
    pub(super) first_incarnation: u64,
    /// The datagrams in the socket buffer while the process is suspended; `None` while it runs.
    suspended_socket: Option<Vec<Vec<u8>>>,
    pub(super) wakeup_at: Duration,
    /// Unique for each start; later starts have higher numbers.
    pub(super) generation: u64,
    /// Addresses of known members that the process found on disk at its start.
    remembered: Vec<SocketAddr>,
    /// Names of the members of the fleet last agreed on, as the process found them on disk at its start.
    agreed_fleet: BTreeSet<String>,
}

impl Process {
    pub(super) fn is_suspended(&self) -> bool {
        self.suspended_socket.is_some()
    }

    /// Stores a datagram that arrives while the process is suspended in the socket buffer.
    pub(super) fn buffer_datagram(&mut self, bytes: Vec<u8>) {
        if let Some(buffered) = &mut self.suspended_socket {
            if buffered.len() < SOCKET_BUFFER_DATAGRAMS {
                buffered.push(bytes);
            }
        }
    }

    /// Returns the state that the process leaves on disk when it stops.
    fn persisted(&self) -> PersistedState {
        let present: Vec<SocketAddr> = self.node.available_members().iter().map(|m| m.address).collect();
        let absent = self.remembered.iter().filter(|address| !present.contains(address));
        let mut remembered: Vec<SocketAddr> = present.iter().chain(absent).copied().collect();
        remembered.truncate(MAX_MEMBERS);
        let agreed_fleet = match self.node.agreed_fleet().is_empty() {
            true => self.agreed_fleet.clone(),
            false => self.node.agreed_fleet().clone(),
        };
        PersistedState { incarnation: self.node.local_member().incarnation, remembered, agreed_fleet }
    }

    /// Returns how many times this process was wrongly declared dead. Each time it raises its incarnation by one.
    fn false_deaths(&self) -> u64 {
        self.node.local_member().incarnation - self.first_incarnation
    }
}

/// The state of a member on disk.
#[derive(Clone, Default)]
pub(super) struct PersistedState {
    /// The last incarnation; 0 if the member never ran.
    incarnation: u64,
    /// Addresses of the members that it knew.
    remembered: Vec<SocketAddr>,
    /// Names of the members of the fleet last agreed on; empty after the member has left.
    agreed_fleet: BTreeSet<String>,
}

impl Network {
    /// Starts a member with the state that its earlier process left on disk, if any.
    pub fn start(&mut self, member: usize) {
        let mut state = self.persisted.get(&member).cloned().unwrap_or_default();
        state.incarnation = match state.incarnation {
            // The first incarnation is the clock time, as in the daemon.
            0 => 1 + self.now.as_millis() as u64,
            last => last + 1,
        };
        self.start_process(member, &name(member), state);
    }

    /// Starts a member with an empty disk, and with the given name and incarnation.
    pub fn start_as(&mut self, member: usize, name: &str, incarnation: u64) {
        self.start_process(member, name, PersistedState { incarnation, ..PersistedState::default() });
    }

    fn start_process(&mut self, member: usize, name: &str, state: PersistedState) {
        let PersistedState { incarnation, remembered, agreed_fleet } = state;
        self.record(format!("{name} starts at {} as incarnation {incarnation}", address(member)));
        self.last_id += 1;
        let generation = self.last_id;
        let attributes = Attributes {
            version: "lab".into(),
            settings_epoch: 1,
            started: self.now.as_secs(),
            ..Attributes::default()
        };
        let config = NodeConfig {
            local: Member { address: address(member), name: name.into(), incarnation },
            group: self.group.clone(),
            expected_members: self.expected_members as u32,
            random_seed: self.random.random(),
            seed_addresses: self.seed_addresses.clone(),
            remembered_addresses: remembered.clone(),
            agreed_fleet: agreed_fleet.clone(),
            attributes,
        };
        self.processes[member] = Some(Process {
            node: Node::new(config, self.now),
            first_incarnation: incarnation,
            suspended_socket: None,
            wakeup_at: Duration::MAX,
            generation,
            remembered,
            agreed_fleet,
        });
        let first_connections = CONNECT_INTERVAL.mul_f64(self.random.random_range(0.0..1.0));
        self.schedule(first_connections, member, generation, Event::Authenticate);
        self.flush(member);
    }

    /// Removes a member's process and stores the state that it leaves on disk.
    fn stop(&mut self, member: usize) -> Option<Process> {
        let process = self.processes[member].take()?;
        self.past_false_deaths += process.false_deaths();
        self.persisted.insert(member, process.persisted());
        Some(process)
    }

    /// Kills a member's process (SIGKILL).
    pub fn kill(&mut self, member: usize) {
        self.record(format!("{} is killed", name(member)));
        self.stop(member);
    }

    /// Terminates a member that has no messages in flight (SIGTERM). The member sends leave messages.
    pub fn terminate(&mut self, member: usize) {
        self.record(format!("{} is terminated", name(member)));
        let Some(mut process) = self.stop(member) else { return };
        let leave_messages = process.node.leave(self.now);
        for round in 0..LEAVE_ROUNDS {
            for message in &leave_messages {
                self.send(member, message.to, message.bytes.clone(), LEAVE_INTERVAL * round);
            }
        }
        // A member that has left forgets the agreed fleet, so it counts no other member when it starts again.
        if let Some(state) = self.persisted.get_mut(&member) {
            state.agreed_fleet.clear();
        }
    }

    /// Suspends a member's process (SIGSTOP).
    pub fn suspend(&mut self, member: usize) {
        self.record(format!("{} is suspended", name(member)));
        if let Some(process) = self.processes[member].as_mut() {
            process.suspended_socket = Some(Vec::new());
        }
    }

    /// Resumes a member's process (SIGCONT), which then processes the datagrams in its socket buffer.
    pub fn resume(&mut self, member: usize) {
        self.record(format!("{} is resumed", name(member)));
        let Some(process) = self.processes[member].as_mut() else { return };
        // Whether a resumed process handles its wakeup or its datagrams first is random.
        let wakes_first = self.random.random_bool(0.5);
        if wakes_first {
            process.node.handle_wakeup(self.now);
        }
        for bytes in process.suspended_socket.take().unwrap_or_default() {
            process.node.handle_datagram(self.now, &bytes);
        }
        process.node.handle_wakeup(self.now);
        let generation = process.generation;
        self.flush(member);
        self.schedule(CONNECT_INTERVAL, member, generation, Event::Authenticate);
    }

    /// Returns the members that run or are suspended.
    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|member| self.processes[*member].is_some()).collect()
    }

    /// Returns the node of a running member.
    ///
    /// # Panics
    ///
    /// If the member does not run.
    pub fn node(&self, member: usize) -> &Node {
        &self.processes[member].as_ref().expect("the member runs").node
    }

    /// Returns the view of a running member.
    ///
    /// # Panics
    ///
    /// If the member does not run.
    pub fn view(&self, member: usize) -> FleetView {
        self.node(member).view(self.now)
    }

    /// Publishes new attributes of a member. Does nothing if the member does not run.
    pub fn publish_attributes(&mut self, member: usize, attributes: Attributes) {
        if let Some(process) = self.processes[member].as_mut() {
            process.node.publish_attributes(self.now, attributes);
        }
        self.flush(member);
    }

    /// Returns how many times live members were declared dead and had to rejoin.
    pub fn false_deaths(&self) -> u64 {
        let running = self.processes.iter().flatten();
        self.past_false_deaths + running.map(Process::false_deaths).sum::<u64>()
    }

    /// Returns how many suspicions the running members have raised.
    pub fn suspicion_count(&self) -> u64 {
        self.processes.iter().flatten().map(|process| process.node.suspicion_count()).sum()
    }

    /// Returns the generation of a member's process, or 0 if it does not run.
    pub(super) fn generation(&self, member: usize) -> u64 {
        self.processes[member].as_ref().map_or(0, |process| process.generation)
    }

    /// Sends the datagrams that a member has queued, and schedules its next wakeup.
    pub(super) fn flush(&mut self, member: usize) {
        let Some(process) = self.processes[member].as_mut() else { return };
        let outgoing = process.node.take_outgoing();
        let generation = process.generation;
        let next_wakeup = process.node.next_wakeup();
        let is_rescheduled = next_wakeup != process.wakeup_at;
        let wakeup_at = next_wakeup.max(self.now + MIN_WAKEUP_DELAY);
        process.wakeup_at = if is_rescheduled { wakeup_at } else { next_wakeup };
        for datagram in outgoing {
            self.send(member, datagram.to, datagram.bytes, Duration::ZERO);
        }
        if is_rescheduled {
            self.schedule(wakeup_at - self.now, member, generation, Event::Wakeup);
        }
    }

    /// Connects a member to some of the unauthenticated members that it can reach, and schedules the next connections.
    pub(super) fn connect_to_unauthenticated(&mut self, member: usize, generation: u64) {
        let Some(process) = self.processes[member].as_ref() else { return };
        let local = process.node.local_member().clone();
        let unauthenticated = process.node.unauthenticated_members();
        for peer in unauthenticated.into_iter().take(MAX_CONNECTIONS) {
            if let Some(peer) = self.reachable_member(member, peer.address) {
                let event = Event::Authenticated(local.clone(), peer);
                self.schedule(HANDSHAKE_TIME, member, generation, event);
            }
        }
        self.schedule(CONNECT_INTERVAL, member, generation, Event::Authenticate);
    }

    /// Returns the current identity of the member at an address, if a connection from `from` can be established.
    fn reachable_member(&self, from: usize, address: SocketAddr) -> Option<Member> {
        let to = member_at(address)?;
        if self.blocked.contains(&(from, to)) || self.blocked.contains(&(to, from)) {
            return None;
        }
        let process = self.processes.get(to)?.as_ref()?;
        if process.is_suspended() {
            return None;
        }
        Some(process.node.local_member().clone())
    }

    /// Marks two members as authenticated to each other, after both have presented their certificates.
    pub(super) fn mark_authenticated(&mut self, first: &Member, second: &Member) {
        for (observer, peer) in [(first, second), (second, first)] {
            let Some(member) = member_at(observer.address) else { continue };
            let Some(process) = self.processes[member].as_mut() else { continue };
            if process.is_suspended() {
                continue;
            }
            process.node.mark_authenticated(self.now, peer);
            self.flush(member);
        }
    }
}
