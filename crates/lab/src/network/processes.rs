//! The members' processes: start, end, suspension, and what is left on disk.
use super::{address, member_at, name, Event, Network};
use micaladder::fleet::member::{Member, MAX_MEMBERS};
use micaladder::fleet::node::{Node, NodeConfig};
use micaladder::fleet::view::FleetView;
use micaladder::fleet::wire::Attributes;
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How often a member connects to others that are not authenticated, and to how many at a time: as the daemon's peers do.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
const MAX_CONNECTIONS: usize = 20;
/// Time until both sides of a connection have presented their certificates.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);
/// A goodbye is sent this often, as in the daemon.
const GOODBYE_ROUNDS: u32 = 4;
const GOODBYE_INTERVAL: Duration = Duration::from_millis(30);
/// Datagrams that the socket of a suspended process holds.
const SOCKET_BUFFER_DATAGRAMS: usize = 512;
/// A node that asks for a wakeup in the past gets it after this time, so that virtual time does not stand still.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(1);

pub(super) struct Process {
    pub(super) node: Node,
    /// The incarnation that it started with.
    pub(super) first_incarnation: u64,
    /// What its socket holds, while it is suspended.
    suspended_socket: Option<Vec<Vec<u8>>>,
    pub(super) wakeup_at: Duration,
    /// Rises with each start.
    pub(super) generation: u64,
    /// What it found on disk at its start, besides the incarnation.
    remembered: Vec<SocketAddr>,
    agreed_fleet: BTreeSet<String>,
}

impl Process {
    pub(super) fn is_suspended(&self) -> bool {
        self.suspended_socket.is_some()
    }

    /// A datagram arrives while the process is suspended.
    pub(super) fn buffer_datagram(&mut self, bytes: Vec<u8>) {
        if let Some(buffered) = &mut self.suspended_socket {
            if buffered.len() < SOCKET_BUFFER_DATAGRAMS {
                buffered.push(bytes);
            }
        }
    }

    /// What is on disk when it ends.
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

    fn false_deaths(&self) -> u64 {
        self.node.local_member().incarnation - self.first_incarnation
    }
}

/// What a member has on disk.
#[derive(Clone, Default)]
pub(super) struct PersistedState {
    /// Its last incarnation, 0 for none.
    incarnation: u64,
    /// Addresses of members that it knew.
    remembered: Vec<SocketAddr>,
    agreed_fleet: BTreeSet<String>,
}

impl Network {
    /// Starts a member, for the first time or again with what it has on disk.
    pub fn start(&mut self, member: usize) {
        let mut state = self.persisted.get(&member).cloned().unwrap_or_default();
        state.incarnation = match state.incarnation {
            // A first incarnation is taken from the clock, as in the daemon.
            0 => 1 + self.now.as_millis() as u64,
            last => last + 1,
        };
        self.start_process(member, &name(member), state);
    }

    /// Starts a member with an empty disk, under another name or with an incarnation of the scenario's choice.
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

    fn end(&mut self, member: usize) -> Option<Process> {
        let process = self.processes[member].take()?;
        self.past_false_deaths += process.false_deaths();
        self.persisted.insert(member, process.persisted());
        Some(process)
    }

    /// Ends a member at once (SIGKILL).
    pub fn kill(&mut self, member: usize) {
        self.record(format!("{} is killed", name(member)));
        self.end(member);
    }

    /// Ends a member that has nothing in flight (SIGTERM): it says goodbye.
    pub fn terminate(&mut self, member: usize) {
        self.record(format!("{} is terminated", name(member)));
        let Some(mut process) = self.end(member) else { return };
        let goodbyes = process.node.leave(self.now);
        for round in 0..GOODBYE_ROUNDS {
            for goodbye in &goodbyes {
                self.send(member, goodbye.to, goodbye.bytes.clone(), GOODBYE_INTERVAL * round);
            }
        }
        // A member that left counts nobody.
        if let Some(state) = self.persisted.get_mut(&member) {
            state.agreed_fleet.clear();
        }
    }

    /// Suspends a process (SIGSTOP).
    pub fn suspend(&mut self, member: usize) {
        self.record(format!("{} is suspended", name(member)));
        if let Some(process) = self.processes[member].as_mut() {
            process.suspended_socket = Some(Vec::new());
        }
    }

    /// Resumes a process (SIGCONT): datagrams that came meanwhile wait in its socket.
    pub fn resume(&mut self, member: usize) {
        self.record(format!("{} is resumed", name(member)));
        let Some(process) = self.processes[member].as_mut() else { return };
        // Which of its clock and its socket a resumed process looks at first is random.
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

    /// Members whose processes run or are suspended.
    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|member| self.processes[*member].is_some()).collect()
    }

    /// The node of a running member.
    ///
    /// # Panics
    ///
    /// Where the member does not run.
    pub fn node(&self, member: usize) -> &Node {
        &self.processes[member].as_ref().expect("scenarios look at running members only").node
    }

    /// The view of a running member.
    ///
    /// # Panics
    ///
    /// Where the member does not run.
    pub fn view(&self, member: usize) -> FleetView {
        self.node(member).view(self.now)
    }

    /// A member publishes new attributes.
    pub fn publish_attributes(&mut self, member: usize, attributes: Attributes) {
        if let Some(process) = self.processes[member].as_mut() {
            process.node.publish_attributes(self.now, attributes);
        }
        self.flush(member);
    }

    /// How often live members were declared dead and had to rejoin, up to now.
    pub fn false_deaths(&self) -> u64 {
        let running = self.processes.iter().flatten();
        self.past_false_deaths + running.map(Process::false_deaths).sum::<u64>()
    }

    /// How often running members have suspected anybody.
    pub fn suspicion_count(&self) -> u64 {
        self.processes.iter().flatten().map(|process| process.node.suspicion_count()).sum()
    }

    /// The generation of a running process, 0 for none.
    pub(super) fn generation(&self, member: usize) -> u64 {
        self.processes[member].as_ref().map_or(0, |process| process.generation)
    }

    /// Sends what a member has queued, and schedules its next wakeup.
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

    /// A member connects to some of those that are not authenticated and can be reached.
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

    /// The member at an address as it is now, if a connection to it can be made.
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

    /// Two members have presented their certificates to each other.
    pub(super) fn mark_authenticated(&mut self, one: &Member, other: &Member) {
        for (observer, peer) in [(one, other), (other, one)] {
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
