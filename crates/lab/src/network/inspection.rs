//! Compares the members' views.
use super::{address, name, Network};
use micaladder::fleet::view::MemberState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which a run checks whether the fleet has settled. It is the resolution of the measured times.
const SETTLED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of members in a description.
const MAX_DESCRIBED: usize = 60;
/// Maximum number of missing members that a description names for each member.
const MAX_MISSING_NAMED: usize = 3;

impl Network {
    /// Returns whether all these members have equal views, which contain exactly these members.
    pub fn has_settled(&self, members: &[usize]) -> bool {
        let Some(first) = members.first() else { return true };
        let digest = self.node(*first).digest();
        if !members.iter().all(|member| self.node(*member).digest() == digest) {
            return false;
        }
        self.available_to(*first) == addresses_of(members)
    }

    /// Runs until these members have settled. Returns the time taken, or `None` if it exceeds `within`.
    pub fn run_until_settled(&mut self, members: &[usize], within: Duration) -> Option<Duration> {
        let began = self.now;
        while !self.has_settled(members) {
            if self.now - began > within {
                return None;
            }
            self.run_for(SETTLED_CHECK_INTERVAL);
        }
        Some(self.now - began)
    }

    /// Returns the state of a member in the view of each other running member.
    pub fn states_of(&self, member: usize) -> Vec<Option<MemberState>> {
        let address = address(member).to_string();
        let others = self.running().into_iter().filter(|other| *other != member);
        let state = |observer: usize| {
            let view = self.view(observer);
            view.members.iter().find(|m| m.address == address).map(|m| m.state)
        };
        others.map(state).collect()
    }

    /// Describes the history and the differences between the views of these members, for a run that fails.
    pub fn describe(&self, members: &[usize]) -> String {
        let history =
            self.history.iter().map(|entry| format!("{:9.3} {}", entry.at.as_secs_f64(), entry.action));
        let mut lines: Vec<String> = history.collect();
        let expected = addresses_of(members);
        for member in members.iter().take(MAX_DESCRIBED) {
            let available = self.available_to(*member);
            let missing: Vec<&SocketAddr> = expected.difference(&available).collect();
            lines.push(format!(
                "{:9.3} {} digest {:016x}, {} members missing, {} unexpected, first missing: {:?}",
                self.now.as_secs_f64(),
                name(*member),
                self.node(*member).digest(),
                missing.len(),
                available.difference(&expected).count(),
                &missing[..missing.len().min(MAX_MISSING_NAMED)],
            ));
        }
        lines.join("\n")
    }

    /// Returns the addresses of the members that are available in a member's view, and its own address.
    fn available_to(&self, member: usize) -> BTreeSet<SocketAddr> {
        let node = self.node(member);
        let mut addresses: BTreeSet<SocketAddr> =
            node.available_members().iter().map(|m| m.address).collect();
        addresses.insert(node.local_member().address);
        addresses
    }
}

fn addresses_of(members: &[usize]) -> BTreeSet<SocketAddr> {
    members.iter().map(|member| address(*member)).collect()
}
