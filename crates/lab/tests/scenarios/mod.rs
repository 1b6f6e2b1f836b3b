//! Failure scenarios of the fleet in virtual time. Each is reproducible from its seed, and panics if the fleet violates a
//! bound or a promise.
#![allow(dead_code)]
use micaladder::fleet::member::{Member, MAX_MEMBERS};
use micaladder::fleet::node::{crash_detection_bound, dissemination_bound, ANNOUNCE_INTERVAL};
use micaladder::fleet::partition::{PartitionSide, AGREEMENT_DELAY};
use micaladder::fleet::view::MemberState;
use micaladder::fleet::wire::{encode, group_tag, Attributes, Header, Message, Record};
use micaladder_lab::network::{address, name, Delay, LinkConditions, Network};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time limit for a new fleet to settle; longer than any start takes.
const START_TIMEOUT: Duration = Duration::from_secs(60);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Starts a fleet, and waits until its members have settled, are authenticated and have agreed. Returns the network and the
/// numbers of all members.
fn start_fleet(seed: u64, count: usize, loss: f64) -> (Network, Vec<usize>) {
    let mut network = Network::new(seed, count, &[0, 1]);
    network.links = LinkConditions { loss, duplication: 0.02, jitter: Duration::from_millis(3) };
    let all: Vec<usize> = (0..count).collect();
    for member in &all {
        network.start(*member);
        network.run_for(Duration::from_millis(20));
    }
    let settled = network.run_until_settled(&all, START_TIMEOUT);
    assert!(settled.is_some(), "seed {seed}\n{}", network.describe(&all));
    network.run_for(secs(5));
    (network, all)
}

fn assert_settles(network: &mut Network, members: &[usize], within: Duration) {
    let took = network.run_until_settled(members, within);
    assert!(took.is_some(), "not settled within {within:?}\n{}", network.describe(members));
}

/// Returns a datagram of the lab's group, which any host could send.
fn forge(side: PartitionSide, message: &Message) -> Vec<u8> {
    encode(group_tag("lab"), Header { digest: 1, side }, message)
}

/// Returns a datagram with one record, which any host could send.
fn forge_record(from: &Member, record: Record) -> Vec<u8> {
    let message = Message::Records { from: from.clone(), records: vec![record] };
    forge(PartitionSide::Unknown, &message)
}

pub fn each_leave_start_and_crash_is_known_within_its_bound(seed: u64, count: usize) {
    let (mut network, all) = start_fleet(seed, count, 0.0);
    let last = count - 1;
    let others = &all[..last];
    network.terminate(last);
    assert_settles(&mut network, others, dissemination_bound(count));
    network.start(last);
    // A member that starts announces itself to its seeds at once.
    assert_settles(&mut network, &all, dissemination_bound(count) + Duration::from_millis(500));
    network.kill(last);
    assert_settles(&mut network, others, crash_detection_bound(last));
    assert!(network.states_of(last).iter().all(|state| *state == Some(MemberState::Dead)));
}

/// Each side of a partition knows whether it is the majority and how many members are unreachable. After the partition has
/// healed, the sides merge into one fleet.
pub fn each_side_of_a_partition_counts_present_and_unreachable_members(seed: u64) {
    let (mut network, all) = start_fleet(seed, 12, 0.05);
    for member in &all {
        let view = network.view(*member);
        assert!(view.side == PartitionSide::Majority && view.agreed, "{}", view.table());
    }
    let (majority, minority) = all.split_at(8);
    network.partition(majority, minority);
    network.run_for(secs(20));
    for member in majority {
        let view = network.view(*member);
        let status = (view.side, view.out_of_reach, view.counted);
        assert_eq!(status, (PartitionSide::Majority, 4, 8), "{}", view.table());
    }
    for member in minority {
        let view = network.view(*member);
        let status = (view.side, view.out_of_reach, view.counted);
        assert_eq!(status, (PartitionSide::Minority, 8, 4), "{}", view.table());
        let dead = view.members.iter().filter(|m| m.state == MemberState::Dead).count();
        assert_eq!(dead, 8, "members that sent no leave message are dead and not left");
    }
    network.heal();
    assert_settles(&mut network, &all, ANNOUNCE_INTERVAL * 3);
    network.run_for(AGREEMENT_DELAY + secs(3));
    for member in &all {
        let view = network.view(*member);
        assert!(view.side == PartitionSide::Majority && view.out_of_reach == 0, "{}", view.table());
    }
}

/// How a member stops before it restarts.
#[derive(Clone, Copy)]
pub enum Stop {
    Killed,
    Terminated,
}

/// A member that restarts within a minority does not make it a majority, whether it was killed or terminated.
pub fn a_restart_within_a_minority_forms_no_majority(stop: Stop) {
    let (mut network, all) = start_fleet(7, 9, 0.0);
    let (majority, minority) = all.split_at(6);
    network.partition(majority, minority);
    network.run_for(secs(15));
    match stop {
        Stop::Killed => network.kill(8),
        Stop::Terminated => network.terminate(8),
    }
    network.run_for(secs(2));
    network.start(8);
    network.run_for(secs(15));
    for member in minority {
        let view = network.view(*member);
        assert_ne!(view.side, PartitionSide::Majority, "{}", view.table());
    }
    assert!(majority.iter().all(|member| network.view(*member).side == PartitionSide::Majority));
    network.heal();
    assert_settles(&mut network, &all, ANNOUNCE_INTERVAL * 3);
}

/// The link between two members is blocked, and all others reach both: both stay present for all.
pub fn a_member_that_one_peer_cannot_reach_is_not_declared_dead() {
    let (mut network, all) = start_fleet(8, 8, 0.0);
    network.partition(&[2], &[5]);
    network.run_for(secs(120));
    assert_eq!(network.false_deaths(), 0, "{}", network.describe(&all));
    assert!(network.has_settled(&all), "{}", network.describe(&all));
}

/// A slow member and members behind lossy links are not declared dead; a member that crashed is.
pub fn a_crash_is_detected_and_a_bad_link_causes_no_false_death(loss: f64, delay_millis: u64) {
    let (mut network, all) = start_fleet(9, 12, loss);
    let delay = Duration::from_millis(delay_millis);
    network.delays.insert(3, Delay { base: delay, jitter: delay });
    network.run_for(secs(300));
    assert_eq!(network.false_deaths(), 0, "{}", network.describe(&all));
    network.kill(3);
    // News of the crash may reach a member only indirectly, through members that receive each other's datagrams.
    let others: Vec<usize> = all.iter().copied().filter(|member| *member != 3).collect();
    assert_settles(&mut network, &others, secs(8));
}

/// Resumed processes neither suspect members for silence during the suspension nor declare members dead that ran all the
/// time. The fleet settles within seconds.
pub fn resumed_members_do_not_declare_running_members_dead(seed: u64) {
    let (mut network, all) = start_fleet(seed, 24, 0.0);
    let (suspended, others) = all.split_at(12);
    for member in suspended {
        network.suspend(*member);
    }
    network.run_for(secs(8));
    let false_deaths_before = network.false_deaths();
    let suspicions =
        |network: &Network| suspended.iter().map(|n| network.node(*n).suspicion_count()).sum::<u64>();
    let suspicions_before = suspicions(&network);
    for member in suspended {
        network.resume(*member);
    }
    network.run_for(Duration::from_millis(5));
    assert_eq!(
        suspicions(&network),
        suspicions_before,
        "resumed members suspect no member for silence during the suspension"
    );
    assert_settles(&mut network, &all, secs(4));
    // A member that was declared dead rejoins with a higher incarnation, so unchanged incarnations show that the resumed
    // members declared no running member dead.
    let incarnations = |network: &Network| -> Vec<u64> {
        others.iter().map(|n| network.node(*n).local_member().incarnation).collect()
    };
    let incarnations_before = incarnations(&network);
    network.run_for(secs(10));
    assert_eq!(incarnations(&network), incarnations_before);
    let false_deaths = network.false_deaths() - false_deaths_before;
    assert!(false_deaths <= 12, "at most 12 false deaths, those of the suspended members: {false_deaths}");
}

/// A third of the members restarts at a time, in five rounds. The fleet settles after each round.
pub fn the_fleet_settles_after_rolling_restarts_under_loss(seed: u64) {
    let (mut network, all) = start_fleet(seed, 12, 0.15);
    for round in 0..5 {
        let third: Vec<usize> = all.iter().copied().filter(|member| member % 3 == round % 3).collect();
        for member in &third {
            network.terminate(*member);
        }
        network.run_for(Duration::from_millis(500));
        for member in &third {
            network.start(*member);
        }
        assert_settles(&mut network, &all, secs(5));
    }
}

/// All members are killed, and all except the seeds start again within a second. They find each other from their snapshots.
pub fn the_fleet_settles_after_a_full_restart_without_its_seeds() {
    let (mut network, all) = start_fleet(13, 12, 0.05);
    for member in &all {
        network.kill(*member);
    }
    for member in &all[2..] {
        network.start(*member);
        network.run_for(Duration::from_millis(80));
    }
    assert_settles(&mut network, &all[2..], ANNOUNCE_INTERVAL * 4);
}

/// The seeds run but are unreachable. A restarted member finds the others from its snapshot, and the seeds once they are
/// reachable again.
pub fn a_restarted_member_rejoins_while_the_seeds_are_unreachable() {
    let (mut network, all) = start_fleet(14, 9, 0.0);
    network.partition(&all[..2], &all[2..]);
    network.kill(5);
    network.start(5);
    assert_settles(&mut network, &all[2..], secs(12));
    network.heal();
    assert_settles(&mut network, &all, ANNOUNCE_INTERVAL * 3);
}

/// A member whose folder was lost and whose clock was set back starts with a lower incarnation than the others know.
pub fn a_member_that_restarts_with_a_lower_incarnation_rejoins_with_a_higher_one() {
    let (mut network, all) = start_fleet(15, 6, 0.0);
    let before = network.node(4).local_member().incarnation;
    network.kill(4);
    network.start_as(4, &name(4), 1);
    assert_settles(&mut network, &all, secs(5));
    assert!(network.node(4).local_member().incarnation > before);
}

/// A member with another name starts at the address of a dead member, with a lower incarnation than the dead one had.
pub fn a_member_with_another_name_replaces_a_dead_member_at_its_address() {
    let (mut network, all) = start_fleet(16, 6, 0.0);
    network.kill(4);
    network.start_as(4, "other", 1);
    assert_settles(&mut network, &all, secs(5));
    let view = network.view(0);
    assert!(view.members.iter().any(|m| m.name == "other" && m.state == MemberState::Alive));
    assert!(view.members.iter().all(|m| m.name != "n4"));
}

/// If two members have the same name, the one with the higher incarnation keeps it and the other withdraws.
pub fn of_two_members_with_one_name_the_lower_incarnation_withdraws() {
    let (mut network, all) = start_fleet(17, 6, 0.0);
    network.start_as(6, "n2", 1_000_000);
    network.run_for(secs(10));
    assert!(!network.running().contains(&2), "the member with the lower incarnation withdraws");
    let rest: Vec<usize> = all.iter().copied().filter(|member| *member != 2).chain([6]).collect();
    assert_settles(&mut network, &rest, secs(5));
}

/// A member refutes forged and replayed records about itself, so that it is soon present again with its attributes.
pub fn a_member_refutes_forged_departures_and_earlier_incarnations() {
    let (mut network, all) = start_fleet(18, 6, 0.0);
    let forger = network.node(5).local_member().clone();
    let victim = network.node(3).local_member().clone();
    let earlier = Member { incarnation: 0, ..victim.clone() };
    for (member, departed) in [(victim, true), (earlier.clone(), true), (earlier, false)] {
        let attributes = Some(Attributes::default());
        let record = Record { member, revision: u32::MAX, age_millis: 0, departed, attributes };
        let datagram = forge_record(&forger, record);
        for receiver in &all {
            network.inject(*receiver, datagram.clone());
        }
    }
    network.run_for(secs(5));
    assert_settles(&mut network, &all, secs(1));
    let incarnation = network.node(3).local_member().incarnation;
    for observer in &all {
        let view = network.view(*observer);
        let victim = view.members.iter().find(|m| m.name == "n3").expect("n3 is in the view");
        assert_eq!((victim.state, victim.incarnation), (MemberState::Alive, incarnation));
        assert_eq!(victim.version, "lab", "its published attributes are restored");
    }
}

/// Forged records fill the member table up to its limit. No real member is displaced, and no forged member counts.
pub fn forged_members_stay_within_the_table_limit_and_do_not_count() {
    let (mut network, all) = start_fleet(19, 4, 0.0);
    let from = Member { address: ([10, 9, 9, 9], 1).into(), name: "x".into(), incarnation: 1 };
    for n in 0..3000u16 {
        let member = Member {
            address: ([10, 77, (n >> 8) as u8, n as u8], 1).into(),
            name: format!("x{n}"),
            incarnation: 9,
        };
        let record = Record { member, revision: 1, age_millis: 0, departed: false, attributes: None };
        let message = Message::Records { from: from.clone(), records: vec![record] };
        network.inject(0, forge(PartitionSide::Majority, &message));
    }
    network.run_for(Duration::from_millis(50));
    let view = network.view(0);
    assert!(view.members.len() <= 2 * MAX_MEMBERS + 20, "{}", view.members.len());
    assert_eq!(view.counted, 4);
    // Real members stay present, and a departure is still detected.
    network.terminate(3);
    network.run_for(secs(1));
    let view = network.view(0);
    let has_left = view.members.iter().any(|m| m.name == "n3" && m.state == MemberState::Left);
    assert!(has_left, "the departure is detected");
    assert_eq!(view.counted, 3, "forged members do not count");
    let available: BTreeSet<_> = network.node(0).available_members().iter().map(|m| m.address).collect();
    assert!(all[1..3].iter().all(|member| available.contains(&address(*member))));
}

/// Random datagrams, with and without a valid header, do not change the view.
pub fn random_datagrams_do_not_change_the_view() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let (mut network, all) = start_fleet(20, 4, 0.0);
    let digest = network.node(0).digest();
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..5000 {
        let mut bytes: Vec<u8> = (0..random.random_range(0..1600)).map(|_| random.random()).collect();
        if random.random_bool(0.5) && bytes.len() > 20 {
            bytes[0] = 2;
            bytes[1..5].copy_from_slice(&group_tag("lab").to_be_bytes());
            bytes[13] = 1;
            bytes[14] = random.random_range(0..6);
        }
        network.inject(0, bytes);
    }
    network.run_for(secs(1));
    assert_eq!(network.node(0).digest(), digest);
    assert!(network.has_settled(&all));
}

/// Members of two groups have the same seeds by mistake and do not join each other.
pub fn two_groups_that_reach_each_other_stay_separate() {
    let mut network = Network::new(21, 8, &[0, 1]);
    for member in 0..8 {
        network.group = if member % 2 == 0 { "lab" } else { "other" }.into();
        network.start(member);
    }
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..8).partition(|member| member % 2 == 0);
    assert_settles(&mut network, &even, secs(10));
    assert_settles(&mut network, &odd, secs(10));
    network.run_for(secs(30));
    assert!(network.has_settled(&even) && network.has_settled(&odd), "{}", network.describe(&even));
}

/// Returns n7's list version and program version in the view of `observer`, or `None` if the view does not contain n7.
fn attributes_of_n7(network: &Network, observer: usize) -> Option<(u64, String)> {
    let view = network.view(observer);
    let n7 = view.members.iter().find(|m| m.name == "n7")?;
    Some((n7.list_version, n7.version.clone()))
}

/// Attributes reach all members within their bound, and forged attributes are soon replaced by those that the member
/// published.
pub fn attributes_reach_all_members_and_forged_ones_are_replaced() {
    let (mut network, all) = start_fleet(22, 12, 0.05);
    for list_version in 1..=5 {
        let attributes = Attributes { version: "lab".into(), list_version, ..Attributes::default() };
        network.publish_attributes(7, attributes);
        assert_settles(&mut network, &all, dissemination_bound(12) + secs(1));
        let expected = Some((list_version, "lab".to_string()));
        assert!(all.iter().all(|observer| attributes_of_n7(&network, *observer) == expected));
        let view = network.view(0);
        let n7 = view.members.iter().find(|m| m.name == "n7").expect("n7 is in the view");
        assert!(n7.attributes_age_secs.is_some_and(|age| age < 3.0), "{:?}", n7.attributes_age_secs);
    }
    let publisher = network.node(7).local_member().clone();
    let current = Some((5, "lab".to_string()));
    let record = |revision: u32, attributes: &Attributes| Record {
        member: publisher.clone(),
        revision,
        age_millis: 0,
        departed: false,
        attributes: Some(attributes.clone()),
    };
    // A replayed earlier record is never accepted, not even temporarily.
    let earlier = Attributes { version: "lab".into(), list_version: 3, ..Attributes::default() };
    let forger = network.node(3).local_member().clone();
    network.inject(2, forge_record(&forger, record(4, &earlier)));
    network.run_for(Duration::from_millis(1));
    assert_eq!(attributes_of_n7(&network, 2), current);
    let forged = Attributes { version: "forged".into(), ..Attributes::default() };
    // A revision that the publisher has used, one far above it and one far below it.
    for revision in [6, 5_000, 1] {
        let forger = network.node(3).local_member().clone();
        network.inject(2, forge_record(&forger, record(revision, &forged)));
        network.run_for(secs(3));
        assert_settles(&mut network, &all, secs(1));
        let is_current = |observer: &usize| attributes_of_n7(&network, *observer) == current;
        assert!(all.iter().all(is_current), "revision {revision}");
    }
}

/// A member that sends leave messages is shown as left, and a member that was killed as dead and unreachable.
pub fn a_member_that_left_is_distinguished_from_a_silent_one() {
    let (mut network, all) = start_fleet(23, 9, 0.05);
    let others = &all[..7];
    network.terminate(8);
    network.kill(7);
    assert_settles(&mut network, others, secs(10));
    network.run_for(secs(2));
    for observer in others {
        let view = network.view(*observer);
        let state = |name: &str| view.members.iter().find(|m| m.name == name).map(|m| m.state);
        let states = (state("n8"), state("n7"));
        assert_eq!(states, (Some(MemberState::Left), Some(MemberState::Dead)), "{}", view.table());
        assert_eq!((view.out_of_reach, view.side), (1, PartitionSide::Majority), "{}", view.table());
    }
}
