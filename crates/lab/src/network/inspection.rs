//! Compares what the members know.
use super::{address, name, Network};
use micaladder::fleet::view::MemberState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How often a run is checked for whether the fleet has settled: the resolution of the times that are measured.
const SETTLED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Most members in a description.
const MAX_DESCRIBED: usize = 60;
/// Most missing members that are named in a description.
const MAX_MISSING_NAMED: usize = 3;

impl Network {
    /// Whether these members all have one view, which consists of just these.
    pub fn has_settled(&self, members: &[usize]) -> bool {
        let Some(first) = members.first() else { return true };
        let digest = self.node(*first).digest();
        if !members.iter().all(|member| self.node(*member).digest() == digest) {
            return false;
        }
        self.available_to(*first) == addresses_of(members)
    }

    /// Lets time pass until these members have settled. Returns how long that took, none if longer than `within`.
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

    /// The states of a member in the views of all other running members.
    pub fn states_of(&self, member: usize) -> Vec<Option<MemberState>> {
        let address = address(member).to_string();
        let others = self.running().into_iter().filter(|other| *other != member);
        let state = |observer: usize| {
            let view = self.view(observer);
            view.members.iter().find(|m| m.address == address).map(|m| m.state)
        };
        others.map(state).collect()
    }

    /// The history, and how the views of these members differ, for a run that fails.
    pub fn describe(&self, members: &[usize]) -> String {
        let history =
            self.history.iter().map(|entry| format!("{:9.3} {}", entry.at.as_secs_f64(), entry.action));
        let mut lines: Vec<String> = history.collect();
        let expected = addresses_of(members);
        for member in members.iter().take(MAX_DESCRIBED) {
            let available = self.available_to(*member);
            let missing: Vec<&SocketAddr> = expected.difference(&available).collect();
            lines.push(format!(
                "{:9.3} {} digest {:016x} lacks {}, has {} too many, first missing: {:?}",
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

    /// Addresses of available members as one of them sees them, itself included.
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
