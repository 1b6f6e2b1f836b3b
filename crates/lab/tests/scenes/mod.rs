//! The fleet's hard cases in virtual time: each from a seed, each with a bound. A scene panics where it does not hold.
#![allow(dead_code)]
use micaladder::fleet::member::{Member, MAX_MEMBERS};
use micaladder::fleet::node::{crash_detection_bound, dissemination_bound, GREETING_INTERVAL};
use micaladder::fleet::partition::{PartitionSide, AGREEMENT_DELAY};
use micaladder::fleet::view::MemberState;
use micaladder_lab::net::{address, name, Net, Weather};
use std::collections::BTreeSet;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(60);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn fleet(seed: u64, count: usize, lost: f64) -> (Net, Vec<usize>) {
    let mut net = Net::new(seed, count, &[0, 1]);
    net.weather = Weather { lost, doubled: 0.02, jitter: Duration::from_millis(3) };
    let all: Vec<usize> = (0..count).collect();
    for n in &all {
        net.start(*n, false);
        net.run_for(Duration::from_millis(20));
    }
    assert!(net.until_settled(&all, LONG).is_some(), "seed {seed}\n{}", net.story(&all));
    // Met and agreed.
    net.run_for(secs(5));
    (net, all)
}

fn settles(net: &mut Net, among: &[usize], within: Duration) -> Duration {
    let took = net.until_settled(among, within);
    assert!(took.is_some(), "not within {within:?}\n{}", net.story(among));
    took.unwrap_or_default()
}

pub fn each_fault_is_known_within_its_bound(seed: u64, count: usize) {
    let (mut net, all) = fleet(seed, count, 0.0);
    let (others, last) = (&all[..count - 1], count - 1);
    net.terminate(last);
    settles(&mut net, others, dissemination_bound(count));
    net.start(last, false);
    // Seeds are greeted at once.
    settles(&mut net, &all, dissemination_bound(count) + Duration::from_millis(500));
    net.kill(last);
    settles(&mut net, others, crash_detection_bound(count - 1));
    assert!(net.states(last).iter().all(|s| *s == Some(MemberState::Dead)));
}

/// Each side knows that it is one, how many are out of reach, and whether it is the majority; heal makes one of both.
pub fn the_sides_of_a_cut_know_what_they_are(seed: u64) {
    let (mut net, all) = fleet(seed, 12, 0.05);
    assert!(all.iter().all(|n| net.view(*n).side == PartitionSide::Majority && net.view(*n).agreed));
    let (many, few) = (&all[..8], &all[8..]);
    net.cut_apart(many, few);
    net.run_for(secs(20));
    for n in many {
        let view = net.view(*n);
        assert_eq!(
            (view.side, view.out_of_reach, view.counted),
            (PartitionSide::Majority, 4, 8),
            "{}",
            view.table()
        );
    }
    for n in few {
        let view = net.view(*n);
        assert_eq!(
            (view.side, view.out_of_reach, view.counted),
            (PartitionSide::Minority, 8, 4),
            "{}",
            view.table()
        );
        let dead = view.members.iter().filter(|m| m.state == MemberState::Dead).count();
        assert_eq!(dead, 8, "silent, and no more is known");
    }
    net.heal();
    settles(&mut net, &all, GREETING_INTERVAL * 3);
    net.run_for(AGREEMENT_DELAY + secs(3));
    assert!(all
        .iter()
        .all(|n| net.view(*n).side == PartitionSide::Majority && net.view(*n).out_of_reach == 0));
}

/// One that restarts on the smaller side is on the smaller side, whether it was killed or said goodbye.
pub fn a_restart_within_the_smaller_side_founds_no_fleet(goodbye: bool) {
    let (mut net, all) = fleet(7, 9, 0.0);
    let (many, few) = (&all[..6], &all[6..]);
    net.cut_apart(many, few);
    net.run_for(secs(15));
    if goodbye {
        net.terminate(8);
    } else {
        net.kill(8);
    }
    net.run_for(secs(2));
    net.start(8, false);
    net.run_for(secs(15));
    for n in few {
        assert_ne!(net.view(*n).side, PartitionSide::Majority, "{}", net.view(*n).table());
    }
    assert!(many.iter().all(|n| net.view(*n).side == PartitionSide::Majority));
    net.heal();
    settles(&mut net, &all, GREETING_INTERVAL * 3);
}

/// Some cannot reach one, which all others reach: it is there for all.
pub fn a_member_that_reaches_all_but_one_is_not_taken_for_dead() {
    let (mut net, all) = fleet(8, 8, 0.0);
    net.cut_apart(&[2], &[5]);
    net.run_for(secs(120));
    assert_eq!(net.false_deaths(), 0, "{}", net.story(&all));
    assert!(net.settled(&all), "{}", net.story(&all));
}

/// Whoever is slow or loses much is there; one that is dead is not.
pub fn a_bad_line_is_no_death_and_a_death_is_one(lost: f64, delay: u64) {
    let (mut net, all) = fleet(9, 12, lost);
    let way = Duration::from_millis(delay);
    net.slow.insert(3, (way, way));
    net.run_for(secs(300));
    assert_eq!(net.false_deaths(), 0, "{}", net.story(&all));
    net.kill(3);
    // Word of it may come from those who hear each other alone.
    let rest: Vec<usize> = all.iter().copied().filter(|n| *n != 3).collect();
    settles(&mut net, &rest, secs(8));
}

/// A process that stood still takes nobody for dead, and all know it again at once.
pub fn whoever_stood_still_blames_nobody(seed: u64) {
    let (mut net, all) = fleet(seed, 24, 0.0);
    let (still, rest) = (&all[..12], &all[12..]);
    still.iter().for_each(|n| net.stop(*n));
    net.run_for(secs(8));
    let before = net.false_deaths();
    let suspicions = |net: &Net| still.iter().map(|n| net.node(*n).suspicion_count()).sum::<u64>();
    let suspected = suspicions(&net);
    still.iter().for_each(|n| net.go_on(*n));
    net.run_for(Duration::from_millis(5));
    assert_eq!(suspicions(&net), suspected, "nobody is blamed for what was not heard");
    settles(&mut net, &all, secs(4));
    // Those that ran were never taken for dead by those that had not.
    let lives: Vec<u64> = rest.iter().map(|n| net.node(*n).local_member().incarnation).collect();
    net.run_for(secs(10));
    assert_eq!(lives, rest.iter().map(|n| net.node(*n).local_member().incarnation).collect::<Vec<_>>());
    assert!(net.false_deaths() - before <= 12, "only those that stood still came back");
}

pub fn a_third_at_a_time_for_five_rounds_under_loss(seed: u64) {
    let (mut net, all) = fleet(seed, 12, 0.15);
    for round in 0..5 {
        let third: Vec<usize> = all.iter().copied().filter(|n| n % 3 == round % 3).collect();
        third.iter().for_each(|n| net.terminate(*n));
        net.run_for(Duration::from_millis(500));
        third.iter().for_each(|n| net.start(*n, false));
        settles(&mut net, &all, secs(5));
    }
}

pub fn all_restart_within_a_second_with_the_seeds_dead() {
    let (mut net, all) = fleet(13, 12, 0.05);
    all.iter().for_each(|n| net.kill(*n));
    for n in &all[2..] {
        net.start(*n, false);
        net.run_for(Duration::from_millis(80));
    }
    settles(&mut net, &all[2..], GREETING_INTERVAL * 4);
}

/// The seeds live but nobody hears them: who comes finds the others by what it remembers, and the seeds when they are back.
pub fn a_seed_that_is_cut_off_keeps_nobody_apart() {
    let (mut net, all) = fleet(14, 9, 0.0);
    net.cut_apart(&all[..2], &all[2..]);
    net.kill(5);
    net.start(5, false);
    settles(&mut net, &all[2..], secs(12));
    net.heal();
    settles(&mut net, &all, GREETING_INTERVAL * 3);
}

/// A lost folder and a clock that was set back: its life begins below the one that the others know.
pub fn a_member_with_an_earlier_life_is_there_again_at_once() {
    let (mut net, all) = fleet(15, 6, 0.0);
    let before = net.node(4).local_member().incarnation;
    net.kill(4);
    net.start_as(4, &name(4), 1, Vec::new(), BTreeSet::new());
    settles(&mut net, &all, secs(5));
    assert!(net.node(4).local_member().incarnation > before);
}

/// Another name at an address that was left, with a life below the one known there.
pub fn an_address_that_another_name_takes_over_is_its_own() {
    let (mut net, all) = fleet(16, 6, 0.0);
    net.kill(4);
    net.start_as(4, "other", 1, Vec::new(), BTreeSet::new());
    settles(&mut net, &all, secs(5));
    assert!(net.view(0).members.iter().any(|m| m.name == "other" && m.state == MemberState::Alive));
    assert!(net.view(0).members.iter().all(|m| m.name != "n4"));
}

/// Two bear one name: the later life keeps it, the other goes.
pub fn a_name_that_is_claimed_twice_is_the_later_ones() {
    let (mut net, all) = fleet(17, 6, 0.0);
    net.start_as(6, "n2", 1_000_000, Vec::new(), BTreeSet::new());
    net.run_for(secs(10));
    assert!(!net.running().contains(&2), "the earlier one has withdrawn");
    let rest: Vec<usize> = all.iter().copied().filter(|n| *n != 2).chain([6]).collect();
    settles(&mut net, &rest, secs(5));
}

/// What somebody recorded and sends again, and what somebody forges, changes nothing for long.
pub fn a_forged_end_and_an_earlier_life_change_nothing() {
    use micaladder::fleet::wire::{encode, tag, Head, Record, Say};
    let (mut net, all) = fleet(18, 6, 0.0);
    let head = Head { digest: 1, side: PartitionSide::Unknown };
    let (forger, victim) = (net.node(5).local_member().clone(), net.node(3).local_member().clone());
    let earlier = Member { incarnation: 0, ..victim.clone() };
    for (of, gone) in [(victim.clone(), true), (earlier.clone(), true), (earlier, false)] {
        let record = Record { of, count: u32::MAX, age: 0, gone, facts: Some(Default::default()) };
        let say = Say::Records { from: forger.clone(), records: vec![record] };
        let bytes = encode(tag("lab"), head, &say);
        all.iter().for_each(|n| net.inject(*n, bytes.clone()));
    }
    net.run_for(secs(5));
    settles(&mut net, &all, secs(1));
    let now = net.node(3).local_member().clone();
    for n in &all {
        let view = net.view(*n);
        let line = view.members.iter().find(|m| m.name == "n3").expect("a line");
        assert_eq!((line.state, line.incarnation), (MemberState::Alive, now.incarnation));
        assert_eq!(line.version, "lab", "what it says of itself stands");
    }
}

/// A stranger's records fill the table up to its bound, and nobody is lost or counted by that.
pub fn forged_names_fill_a_bounded_table_and_count_for_nothing() {
    use micaladder::fleet::wire::{encode, tag, Head, Record, Say};
    let (mut net, all) = fleet(19, 4, 0.0);
    let head = Head { digest: 1, side: PartitionSide::Majority };
    let from = Member { address: ([10, 9, 9, 9], 1).into(), name: "x".into(), incarnation: 1 };
    for n in 0..3000u16 {
        let of = Member {
            address: ([10, 77, (n >> 8) as u8, n as u8], 1).into(),
            name: format!("x{n}"),
            incarnation: 9,
        };
        let record = Record { of, count: 1, age: 0, gone: false, facts: None };
        let say = Say::Records { from: from.clone(), records: vec![record] };
        net.inject(0, encode(tag("lab"), head, &say));
    }
    net.run_for(Duration::from_millis(50));
    let view = net.view(0);
    assert!(view.members.len() <= 2 * MAX_MEMBERS + 20, "{}", view.members.len());
    assert_eq!(view.counted, 4);
    // Its own are there whatever came, and one that goes is missed.
    net.terminate(3);
    net.run_for(secs(1));
    let view = net.view(0);
    assert!(
        view.members.iter().any(|m| m.name == "n3" && m.state == MemberState::Left),
        "one that goes is missed"
    );
    assert_eq!(view.counted, 3, "strangers count for nothing");
    let all = &all[..3];
    let there: BTreeSet<_> = net.node(0).available_members().iter().map(|m| m.address).collect();
    assert!(all[1..].iter().all(|n| there.contains(&address(*n))));
}

/// Noise, other versions and other groups: nothing comes of them.
pub fn noise_changes_nothing() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let (mut net, all) = fleet(20, 4, 0.0);
    let digest = net.node(0).digest();
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..5000 {
        let mut bytes: Vec<u8> = (0..random.random_range(0..1600)).map(|_| random.random()).collect();
        if random.random_bool(0.5) && bytes.len() > 20 {
            bytes[0] = 2;
            bytes[1..5].copy_from_slice(&micaladder::fleet::wire::tag("lab").to_be_bytes());
            bytes[13] = 1;
            bytes[14] = random.random_range(0..6);
        }
        net.inject(0, bytes);
    }
    net.run_for(secs(1));
    assert_eq!(net.node(0).digest(), digest);
    assert!(net.settled(&all));
}

/// Seeds that name each other by mistake.
pub fn two_fleets_that_meet_stay_two() {
    let mut net = Net::new(21, 8, &[0, 1]);
    for n in 0..8 {
        net.group = if n % 2 == 0 { "lab" } else { "other" }.into();
        net.start(n, false);
    }
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..8).partition(|n| n % 2 == 0);
    settles(&mut net, &even, secs(10));
    settles(&mut net, &odd, secs(10));
    net.run_for(secs(30));
    assert!(net.settled(&even) && net.settled(&odd), "{}", net.story(&even));
}

/// What one writes is with all within its bound, and somebody else's word on it does not stand.
pub fn facts_are_with_all_and_only_their_owner_writes_them() {
    use micaladder::fleet::wire::{encode, tag, Attributes, Head, Record, Say};
    let (mut net, all) = fleet(22, 12, 0.05);
    let listed = |net: &Net, n: usize| {
        let view = net.view(n);
        view.members.iter().find(|m| m.name == "n7").map(|m| (m.list_version, m.version.clone()))
    };
    for list in 1..=5 {
        net.write(7, Attributes { version: "lab".into(), list_version: list, ..Attributes::default() });
        settles(&mut net, &all, dissemination_bound(12) + secs(1));
        assert!(all.iter().all(|n| listed(&net, *n) == Some((list, "lab".into()))));
        let oldest = net.view(0).members.iter().find(|m| m.name == "n7").and_then(|m| m.attributes_age_secs);
        assert!(oldest.is_some_and(|age| age < 3.0), "{oldest:?}");
    }
    let of = net.node(7).local_member().clone();
    // What it wrote before, sent again: taken by nobody, not even for a moment.
    let before = Attributes { version: "lab".into(), list_version: 3, ..Attributes::default() };
    let record = Record { of: of.clone(), count: 4, age: 0, gone: false, facts: Some(before) };
    let say = Say::Records { from: net.node(3).local_member().clone(), records: vec![record] };
    net.inject(2, encode(tag("lab"), Head { digest: 1, side: PartitionSide::Unknown }, &say));
    net.run_for(Duration::from_millis(1));
    assert_eq!(listed(&net, 2), Some((5, "lab".into())));
    let forged = Attributes { version: "forged".into(), ..Attributes::default() };
    // One with the count that the owner has used, one far above, one far below.
    for count in [6, 5_000, 1] {
        let record = Record { of: of.clone(), count, age: 0, gone: false, facts: Some(forged.clone()) };
        let say = Say::Records { from: net.node(3).local_member().clone(), records: vec![record] };
        net.inject(2, encode(tag("lab"), Head { digest: 1, side: PartitionSide::Unknown }, &say));
        net.run_for(secs(3));
        settles(&mut net, &all, secs(1));
        assert!(all.iter().all(|n| listed(&net, *n) == Some((5, "lab".into()))), "count {count}");
    }
}

/// Whoever said that it goes has left; of whom nothing is heard no more is known than that.
pub fn a_goodbye_is_told_apart_from_silence() {
    let (mut net, all) = fleet(23, 9, 0.05);
    net.terminate(8);
    net.kill(7);
    settles(&mut net, &all[..7], secs(10));
    net.run_for(secs(2));
    for n in &all[..7] {
        let view = net.view(*n);
        let state = |name: &str| view.members.iter().find(|m| m.name == name).map(|m| m.state);
        assert_eq!(
            (state("n8"), state("n7")),
            (Some(MemberState::Left), Some(MemberState::Dead)),
            "{}",
            view.table()
        );
        assert_eq!((view.out_of_reach, view.side), (1, PartitionSide::Majority), "{}", view.table());
    }
}
