//! One forwarder's part in the fleet, without I/O: membership (`members`), suspicion (`doubts`), what each member wrote
//! of itself (`rows`), the side of a cut (`sides`). Time, luck and datagrams are arguments, so the same code runs on
//! sockets, in virtual time and under a model.
//!
//! The one who drives it calls `datagram` with what came, and `wake` at `next`; after each it sends what `out` gives.
//! A call that comes late shows that this process stood still: time then does not count for probes and suspicions, and
//! what the others said meanwhile, which lies in the socket, is heard before anybody is given up.
use super::fault_injection::broken;
use super::member::Member;
use super::member_table::{Row, Rows};
use super::membership::{Change, Effects, Membership, PROBE_PERIOD};
use super::partition::{PartitionDetector, PartitionSide, PartitionStatus, FORGET};
use super::suspicion::SuspicionTracker;
use super::view::{word, FleetView, MemberState, MemberView};
use super::wire::{self, Attributes, Head, Record, Say, DATAGRAM, HEAD, MAX_RECORD_BYTES};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

type Timer = foca::Timer<Member>;
/// A datagram, and where to.
pub type Sent = (SocketAddr, Vec<u8>);

/// How often those that are not there are greeted, seeds and remembered ones: groups that were cut apart meet again by it.
pub const GREETING_INTERVAL: Duration = Duration::from_secs(2);
/// Of those that are remembered, so many at a time, in turn: a large fleet is not greeted whole by each of its members.
pub const GREETED: usize = 4;
/// Addresses that are remembered while the process runs.
const REMEMBERED_MOST: usize = super::member::MAX_MEMBERS;
/// Who comes or goes is passed on at once and a few times more, but not more often than this.
pub const PASS_ON: Duration = Duration::from_millis(100);
const PASSES: u32 = 3;
/// While more words than these wait in foca, they are passed on without a pause: a heal is a word on each member.
const BACKLOG: usize = 32;
/// Records of one member are passed on so often, each time to `PASSED_TO`: 27 times in all, by the same reckoning as foca's.
const RECORD_PASSES: u32 = 9;
const PASSED_TO: usize = 3;
/// Records that wait to be passed on; what does not fit is found by comparing.
const HOT_MOST: usize = 64;
/// A failed probe is told to so many, who are the same for all that probe the same member.
const DOUBT_TO: usize = 8;
/// A view is compared with one that differs from it, but no more often than this.
pub const COMPARE: Duration = Duration::from_millis(250);
/// Datagrams that answer one comparison, and all of them in a second.
const ANSWER: usize = 8;
const ANSWERS_A_SECOND: f64 = 40.0;
/// Others' views count for so long.
const SAID_FOR: Duration = Duration::from_secs(5);
/// So many others must have the same view, or all there are.
const SAID_BY: usize = 8;
/// How often the side of a cut, names and ages are looked at.
const LOOK: Duration = Duration::from_millis(250);
/// A call that comes later than this shows that the process stood still.
const LATE: Duration = Duration::from_millis(250);

/// What a node begins with.
pub struct NodeConfig {
    pub local: Member,
    pub group: String,
    /// About how many there are.
    pub expected_members: u32,
    pub random_seed: u64,
    pub seed_addresses: Vec<SocketAddr>,
    /// Who was there in an earlier life.
    pub remembered_addresses: Vec<SocketAddr>,
    /// The fleet as an earlier life last agreed on it.
    pub agreed_fleet: BTreeSet<String>,
    pub attributes: Attributes,
}

/// Times are spans since any moment that is the same for all calls.
pub struct Node {
    tag: u32,
    members: Membership,
    rows: Rows,
    doubts: SuspicionTracker,
    sides: PartitionDetector,
    facts: Attributes,
    seeds: Vec<SocketAddr>,
    remembered: Vec<SocketAddr>,
    turn: usize,
    random: StdRng,
    /// The moment of this call, and the same without the time for which the process stood still.
    now: Duration,
    own: Duration,
    lost: Duration,
    expected: Option<Duration>,
    timers: BTreeMap<(Duration, u64), Timer>,
    timer: u64,
    greet_at: Duration,
    look_at: Duration,
    compare_at: Duration,
    pass_at: Option<Duration>,
    passed: Duration,
    passes: u32,
    hot: BTreeMap<SocketAddr, u32>,
    answers: f64,
    answered: Duration,
    /// What others last said of their views, and when.
    said: BTreeMap<SocketAddr, (Head, Duration)>,
    digest: u64,
    /// Since when it stands.
    since: Duration,
    out: Vec<Sent>,
    side: PartitionSide,
    /// The rows' changes up to which they were looked at.
    looked: u64,
    withdrawn: bool,
    suspicions: u64,
}

impl Node {
    /// Alone at first.
    pub fn new(setup: NodeConfig, now: Duration) -> Node {
        let NodeConfig {
            local: me,
            group,
            expected_members: size,
            random_seed: seed,
            seed_addresses: seeds,
            remembered_addresses: remembered,
            agreed_fleet: agreed,
            attributes: facts,
        } = setup;
        let mut rows = Rows::new(me.clone(), now);
        rows.write(now, &me, facts.clone(), 0);
        rows.shown(&me);
        let mut random = StdRng::seed_from_u64(seed);
        // Many that start at once do not greet at once for ever.
        let greet_at = GREETING_INTERVAL.mul_f64(random.random_range(0.0..1.0));
        let mut node = Node {
            tag: wire::tag(&group),
            members: Membership::new(me, size, random.random()),
            digest: rows.digest(),
            rows,
            doubts: SuspicionTracker::default(),
            sides: PartitionDetector::new(agreed),
            facts,
            seeds,
            remembered,
            turn: 0,
            random,
            now,
            own: now,
            lost: Duration::ZERO,
            expected: None,
            timers: BTreeMap::new(),
            timer: 0,
            greet_at: now + greet_at,
            look_at: now + LOOK,
            compare_at: now,
            pass_at: None,
            passed: now,
            passes: 0,
            hot: BTreeMap::new(),
            answers: ANSWERS_A_SECOND,
            answered: now,
            said: BTreeMap::new(),
            since: now,
            out: Vec::new(),
            side: PartitionSide::Unknown,
            looked: 0,
            withdrawn: false,
            suspicions: 0,
        };
        node.greet();
        node.end();
        node
    }

    /// Takes in a datagram, whatever it holds.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.begin(now);
        if let Some((head, say)) = wire::decode(self.tag, bytes) {
            if let Some(from) = self.hear(say) {
                self.rows.heard(self.now, from);
                if self.rows.get(from).is_some_and(|r| !r.gone) {
                    self.said.insert(from, (head, self.now));
                    self.compare(from, head.digest);
                }
            }
        }
        self.end();
    }

    /// Does what is due.
    pub fn handle_wakeup(&mut self, now: Duration) {
        self.begin(now);
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= self.own) {
            let timer = entry.remove();
            let round = matches!(timer, foca::Timer::ProbeRandomMember(_));
            let steps = self.members.timer(timer);
            self.steps(steps);
            if round {
                self.doubts.round();
            }
        }
        for (of, number, timer) in self.doubts.due(self.own, self.members.count()) {
            // One that has answered meanwhile is suspected no more, or under another number.
            if self.members.suspect(&of) == Some(number) {
                let steps = match timer {
                    Some(timer) => self.members.timer(timer),
                    None => self.members.told(&of, false),
                };
                self.steps(steps);
            }
        }
        if self.pass_at.is_some_and(|at| at <= self.own) {
            self.pass_on();
        }
        if self.greet_at <= self.own {
            self.greet_at = self.own + GREETING_INTERVAL;
            self.greet();
        }
        if self.look_at <= self.own {
            self.look_at = self.own + LOOK;
            self.look();
        }
        self.end();
    }

    /// When `wake` is to be called, at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let timers = self.timers.keys().next().map(|k| k.0);
        let due = [timers, self.doubts.next(self.members.count()), self.pass_at];
        let first = due.into_iter().flatten().fold(self.greet_at.min(self.look_at), Duration::min);
        first + self.lost
    }

    /// What is to be sent now.
    pub fn take_outgoing(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.out)
    }

    /// What this forwarder says of itself.
    pub fn publish_attributes(&mut self, now: Duration, facts: Attributes) {
        self.begin(now);
        let draining = self.facts.draining;
        self.facts_are(Attributes { draining, ..facts });
        self.end();
    }

    /// It was told to end: the others hear at once that it takes nothing new.
    pub fn drain(&mut self, now: Duration) {
        self.begin(now);
        self.facts_are(Attributes { draining: true, ..self.facts.clone() });
        self.tell_heard();
        self.end();
    }

    /// The goodbye, which says that this life is over; nothing is to be called after it. Datagrams may be lost: what it
    /// gives is to be sent a few times.
    pub fn leave(&mut self, now: Duration) -> Vec<Sent> {
        if !broken("goodbye without a word") {
            self.drain(now);
        }
        let steps = self.members.leave();
        self.steps(steps);
        self.take_outgoing()
    }

    /// A member has shown its certificate on a connection, in the life named.
    pub fn mark_authenticated(&mut self, now: Duration, who: &Member) {
        self.begin(now);
        self.rows.shown(who);
        self.end();
    }

    /// Those that have not shown a certificate yet.
    pub fn unauthenticated_members(&self) -> Vec<Member> {
        self.rows.there().filter(|r| !r.shown && r.heard.is_some()).map(|r| r.of.clone()).collect()
    }

    /// This one as the others are to know it; its life may have risen.
    pub fn local_member(&self) -> &Member {
        self.members.me()
    }

    /// Its name belongs to a later life elsewhere: it is to go from the fleet.
    pub fn has_withdrawn(&self) -> bool {
        self.withdrawn
    }

    /// Who is there, without this one and those that drain.
    pub fn available_members(&self) -> Vec<Member> {
        let me = self.local_member().address;
        let staying = |r: &&Row| r.of.address != me && !r.facts.as_ref().is_some_and(|f| f.draining);
        self.rows.there().filter(staying).map(|r| r.of.clone()).collect()
    }

    /// How often it has suspected anybody.
    pub fn suspicion_count(&self) -> u64 {
        self.suspicions
    }

    /// The fleet as it was last agreed.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        self.sides.agreed()
    }

    /// One number for the view.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether all views that were heard lately are the same as this one.
    pub fn views_agree(&self) -> bool {
        let others = self.members.count();
        // A view that changed a moment ago is not the same as what others said before.
        let fresh = |at: Duration| at >= self.since && self.now.saturating_sub(at) < SAID_FOR;
        let (mut same, mut other) = (0, 0);
        for (head, at) in self.said.values().filter(|s| fresh(s.1)) {
            if head.digest == self.digest {
                same += 1;
            } else if self.now.saturating_sub(*at) < Duration::from_secs(1) {
                other += 1;
            }
        }
        other == 0 && same >= others.min(SAID_BY) && !self.doubts.any()
    }

    // ---- Time.

    fn begin(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let late = self.expected.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        if late > LATE {
            self.lost += late;
            log::warn!(seconds = late.as_secs_f64(); "stood still: that time counts against nobody");
        }
        self.own = self.now - self.lost;
    }

    fn end(&mut self) {
        let me = self.members.me();
        if *me != self.rows.own().of {
            self.write_own(0);
        }
        let digest = self.rows.digest();
        if digest != self.digest {
            (self.digest, self.since) = (digest, self.now);
        }
        self.expected = Some(self.next_wakeup());
    }

    // ---- What comes.

    /// Gives who sent it, as far as that is said.
    fn hear(&mut self, say: Say) -> Option<SocketAddr> {
        match say {
            Say::Members(bytes) => {
                let steps = self.members.datagram(&bytes);
                let from = steps.from;
                self.steps(steps);
                from
            }
            Say::Parts { from, sums, back } => {
                // Only members are answered: an answer is longer than what it answers.
                self.rows.get(from.address).filter(|r| !r.gone)?;
                if !back && sums != self.rows.parts() {
                    let say = Say::Parts {
                        from: self.local_member().clone(),
                        sums: self.rows.parts().to_vec(),
                        back: true,
                    };
                    self.say(from.address, &say);
                }
                let place = self.random.random_range(0..wire::PARTS);
                let records = self.rows.differing(self.now, &sums, place);
                self.answer(from.address, records);
                Some(from.address)
            }
            Say::Records { from, records } => {
                records.iter().for_each(|r| self.take(r));
                Some(from.address)
            }
            Say::Doubt { from, of, number } => {
                self.rows.get(from.address).filter(|r| !r.gone && r.of == from)?;
                let steps = self.members.doubted(&of, number);
                self.steps(steps);
                if self.members.suspect(&of) == Some(number) {
                    self.doubts.shared(self.own, &of, number, from.address);
                }
                Some(from.address)
            }
        }
    }

    fn take(&mut self, record: &Record) {
        let (of, now) = (&record.of, self.now);
        if of.address == self.local_member().address {
            let own = self.rows.own();
            let other = record.count > own.count || record.count == own.count && record.facts != own.facts;
            let other = other && !broken("forged facts stand");
            if *of == own.of && !record.gone && record.facts.is_some() && other {
                // Somebody else's word on this one: its own goes above.
                self.write_own(record.count);
            } else if *of != own.of || record.gone {
                let steps = self.members.told(of, !record.gone);
                self.steps(steps);
            }
            return;
        }
        let known = self.rows.get(of.address);
        let news = match known {
            Some(row) if row.of == *of => record.gone && !row.gone,
            Some(row) => of.supersedes(&row.of) && (!record.gone || !row.gone),
            None => !record.gone && !self.members.full(),
        };
        if news {
            let steps = self.members.told(of, !record.gone);
            self.steps(steps);
        }
        if self.rows.take(now, record) {
            self.heat(of.address);
        }
        if let Some(row) = self.rows.get(of.address).filter(|r| r.left()) {
            self.sides.left(&row.of.name);
        }
    }

    fn steps(&mut self, steps: Effects) {
        for (to, bytes) in steps.send {
            self.say(to, &Say::Members(bytes));
        }
        for failed in steps.failed {
            self.doubts.failed(&failed);
            // Not where it has answered another one since the probe began: those told would suspect it by its new number
            // while foca here does not, and it would not hear of it. So one of twelve that lived ended, at 15% loss.
            let Some(number) = self.members.suspect(&failed) else { continue };
            let say = Say::Doubt { from: self.local_member().clone(), of: failed.clone(), number };
            for to in self.witnesses(&failed) {
                self.say(to, &say);
            }
        }
        for (after, timer) in steps.timers {
            let after = match &timer {
                foca::Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                    let (who, number) = (member_id.clone(), *incarnation);
                    log::info!(neighbour = who.name; "neighbour is suspected");
                    self.suspicions += 1;
                    self.doubts.suspect(self.own, &who, number, timer);
                    for (to, bytes) in self.members.warn(&who) {
                        self.say(to, &Say::Members(bytes));
                    }
                    continue;
                }
                foca::Timer::ProbeRandomMember(_) | foca::Timer::SendIndirectProbe { .. } => {
                    after * self.doubts.pace()
                }
                _ => after,
            };
            self.timer += 1;
            self.timers.insert((self.own + after, self.timer), timer);
        }
        for change in steps.changes {
            match &change {
                Change::Up(who) => {
                    self.rows.up(self.now, who);
                    self.remembered.retain(|a| *a != who.address);
                }
                Change::Down(who) => {
                    self.rows.down(self.now, who);
                    self.said.remove(&who.address);
                    if self.remembered.len() >= REMEMBERED_MOST {
                        self.remembered.remove(0);
                    }
                    self.remembered.push(who.address);
                    if self.rows.get(who.address).is_some_and(Row::left) {
                        self.sides.left(&who.name);
                    }
                }
            }
            self.pass_soon(PASSES);
        }
    }

    // ---- What goes.

    fn say(&mut self, to: SocketAddr, say: &Say) {
        // The digest of this moment: what this call has changed is in it.
        let head = Head { digest: self.rows.digest(), side: self.side };
        self.out.push((to, wire::encode(self.tag, head, say)));
    }

    /// Where those are that are there, without this one.
    fn others_there(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let me = self.local_member().address;
        self.rows.there().map(|r| r.of.address).filter(move |a| *a != me)
    }

    /// Some others, by luck.
    fn some(&mut self, count: usize) -> Vec<SocketAddr> {
        let others: Vec<SocketAddr> = self.others_there().collect();
        others.choose_multiple(&mut self.random, count).copied().collect()
    }

    /// Those that hear of doubts in a member: the same for all, as far as their views are, so that some of them hear of
    /// all. By luck alone none of 300 heard of two others in time, and a crash was known after 7 s.
    fn witnesses(&self, of: &Member) -> Vec<SocketAddr> {
        let others = self.others_there().filter(|a| *a != of.address);
        let rank = |a: &SocketAddr| crc32fast::hash(format!("{a} {}", of.address).as_bytes());
        let mut ranked: Vec<(u32, SocketAddr)> = others.map(|a| (rank(&a), a)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(DOUBT_TO).map(|r| r.1).collect()
    }

    /// All seeds that are not there, and some of those remembered.
    fn greet(&mut self) {
        let there: BTreeSet<SocketAddr> = self.rows.there().map(|r| r.of.address).collect();
        let missing = |a: &&SocketAddr| {
            !there.contains(a) && !self.seeds.contains(a) && !broken("remembered are not greeted")
        };
        let remembered: Vec<SocketAddr> = self.remembered.iter().filter(missing).copied().collect();
        let from = if remembered.is_empty() { 0 } else { self.turn % remembered.len() };
        let turn = remembered.iter().cycle().skip(from).take(GREETED.min(remembered.len()));
        let seeds = self.seeds.iter().filter(|s| !there.contains(s));
        let whom: Vec<SocketAddr> = seeds.chain(turn).copied().collect();
        self.turn = self.turn.wrapping_add(GREETED);
        for to in whom {
            let steps = self.members.announce(to);
            self.steps(steps);
        }
    }

    fn heat(&mut self, of: SocketAddr) {
        if self.hot.len() < HOT_MOST || of == self.local_member().address {
            self.hot.insert(of, RECORD_PASSES);
            self.pass_soon(1);
        }
    }

    fn pass_soon(&mut self, passes: u32) {
        self.passes = self.passes.max(passes);
        self.pass_at = self.pass_at.or(Some((self.passed + PASS_ON).max(self.own)));
    }

    /// What changed lately goes to a few: SWIM's own turn may be 0.2 s away.
    fn pass_on(&mut self) {
        self.passed = self.own;
        if self.passes > 0 {
            self.passes -= 1;
            let steps = self.members.pass_on();
            self.steps(steps);
        }
        let records = self.hot.keys().filter_map(|a| self.rows.get(*a)).map(|r| r.record(self.now));
        let records: Vec<Record> = records.collect();
        let parts = self.pack(records);
        // One datagram a time: the rest waits for its turn.
        if let Some(first) = parts.into_iter().next() {
            for record in &first {
                let left = self.hot.get(&record.of.address).copied().unwrap_or(0);
                match left {
                    0 | 1 => self.hot.remove(&record.of.address),
                    more => self.hot.insert(record.of.address, more - 1),
                };
            }
            let say = Say::Records { from: self.local_member().clone(), records: first };
            for to in self.some(PASSED_TO) {
                self.say(to, &say);
            }
        }
        let more = self.passes > 0 || !self.hot.is_empty() || self.members.backlog() > BACKLOG;
        self.pass_at = more.then_some(self.own + PASS_ON);
    }

    /// Records in parts that fit into a datagram each.
    fn pack(&self, records: Vec<Record>) -> Vec<Vec<Record>> {
        let (mut parts, mut room): (Vec<Vec<Record>>, usize) = (Vec::new(), 0);
        for record in records {
            let facts = record.facts.as_ref().map_or(0, |f| f.zone.len() + f.version.len() + 64);
            let size = (record.of.name.len() + facts + 48).min(MAX_RECORD_BYTES);
            if size > room {
                parts.push(Vec::new());
                // The sender's name stands before them.
                room = DATAGRAM - HEAD - 48 - self.local_member().name.len();
            }
            room = room.saturating_sub(size);
            if let Some(last) = parts.last_mut() {
                last.push(record);
            }
        }
        parts
    }

    /// Asks for what differs; not where this very datagram has just changed the view, unless it had stood for a while.
    fn compare(&mut self, with: SocketAddr, digest: u64) {
        let mine = self.rows.digest();
        let settled = self.now.saturating_sub(self.since) >= COMPARE || mine == self.digest;
        if digest == mine || !settled || self.own < self.compare_at || broken("views are not compared") {
            return;
        }
        self.compare_at = self.own + COMPARE;
        let say =
            Say::Parts { from: self.local_member().clone(), sums: self.rows.parts().to_vec(), back: false };
        self.say(with, &say);
    }

    fn answer(&mut self, to: SocketAddr, records: Vec<Record>) {
        let passed = self.now.saturating_sub(self.answered).as_secs_f64();
        self.answers = (self.answers + passed * ANSWERS_A_SECOND).min(ANSWERS_A_SECOND);
        self.answered = self.now;
        for records in self.pack(records).into_iter().take(ANSWER) {
            if self.answers < 1.0 {
                return;
            }
            self.answers -= 1.0;
            let say = Say::Records { from: self.local_member().clone(), records };
            self.say(to, &say);
        }
    }

    /// Its own record, straight to those that have spoken for themselves.
    fn tell_heard(&mut self) {
        let say = Say::Records {
            from: self.local_member().clone(),
            records: vec![self.rows.own().record(self.now)],
        };
        for to in self.members.heard() {
            self.say(to.address, &say);
        }
    }

    fn facts_are(&mut self, facts: Attributes) {
        if facts == self.facts {
            return;
        }
        self.facts = facts;
        self.write_own(0);
    }

    /// Its own row, in the life that it has now and above a count that others have seen.
    fn write_own(&mut self, above: u32) {
        let me = self.local_member().clone();
        self.rows.write(self.now, &me, self.facts.clone(), above);
        self.rows.shown(&me);
        self.heat(me.address);
    }

    // ---- What follows.

    fn look(&mut self) {
        let suspects: BTreeSet<(&Member, u16)> = self.members.suspects().collect();
        self.doubts.keep(|of, number| suspects.contains(&(of, number)));
        if self.looked != self.rows.changes() {
            self.looked = self.rows.changes();
            self.look_at_rows();
        }
        let old = |r: &&Row| self.now.saturating_sub(r.since) >= FORGET;
        let old: Vec<Member> = self.rows.gone().filter(old).map(|r| r.of.clone()).collect();
        for gone in old {
            self.sides.forget(&gone.name);
            self.rows.forget(gone.address);
        }
        let same = self.views_agree();
        if self.sides.look(self.now, self.others(), same) {
            log::info!(members = self.sides.agreed().len(), digest = format!("{:016x}", self.digest); "the fleet is agreed");
        }
        let side = self.sides.side();
        if side != self.side {
            let PartitionStatus { counted, base, out_of_reach, agreed, .. } = self.sides.standing();
            log::info!(side = word(&side), counted, base, out_of_reach, last_agreed = agreed; "side of the fleet");
            self.side = side;
        }
    }

    /// What those that count say of their sides.
    fn others(&self) -> PartitionSide {
        let counts = |a: &SocketAddr| self.rows.get(*a).is_some_and(|r| r.shown && !r.gone);
        let fresh = |at: Duration| self.now.saturating_sub(at) < SAID_FOR;
        let said = self.said.iter().filter(|(a, s)| fresh(s.1) && counts(a));
        said.map(|(_, s)| s.0.side).max().unwrap_or_default()
    }

    /// Who counts, and whether one of them bears this one's name.
    fn look_at_rows(&mut self) {
        let counted = self
            .rows
            .there()
            .filter(|r| r.shown || broken("gossip counts"))
            .map(|r| r.of.name.clone())
            .collect();
        self.sides.there(counted);
        let me = self.local_member().clone();
        for row in self.rows.there().filter(|r| r.shown && r.of.address != me.address) {
            if row.of.name == me.name
                && row.of.supersedes(&me)
                && !self.withdrawn
                && !broken("both keep a name")
            {
                log::error!(
                    name = me.name, other = row.of.address.to_string();
                    "another forwarder bears this one's name and started later: this one withdraws from the fleet"
                );
                self.withdrawn = true;
            }
        }
    }

    /// The view of this moment.
    pub fn view(&self, now: Duration) -> FleetView {
        let now = now.max(self.now);
        let suspected: BTreeSet<&Member> = self.members.suspects().map(|s| s.0).collect();
        let me = self.local_member();
        let secs = |at: Duration| now.saturating_sub(at).as_secs_f64();
        let line = |row: &Row| {
            let facts = row.facts.clone().unwrap_or_default();
            let bears =
                |other: &Row| other.shown && other.of.name == row.of.name && other.of.supersedes(&row.of);
            let state = match () {
                () if row.left() => MemberState::Left,
                () if row.gone => MemberState::Dead,
                () if self.rows.there().any(bears) => MemberState::ShutOut,
                () if suspected.contains(&row.of) => MemberState::Suspect,
                () if facts.draining => MemberState::Draining,
                () if row.of.address != me.address && row.heard.is_none() => MemberState::Joining,
                () => MemberState::Alive,
            };
            MemberView {
                name: row.of.name.clone(),
                address: row.of.address.to_string(),
                incarnation: row.of.incarnation,
                state,
                state_age_secs: secs(row.since),
                last_heard_secs_ago: row.heard.map(secs),
                counted: row.shown && !row.gone && state != MemberState::ShutOut,
                attributes_age_secs: row.facts.as_ref().map(|_| secs(row.written)),
                zone: facts.zone,
                version: facts.version,
                settings_digest: format!("{:08x}", facts.settings_digest as u32),
                settings_epoch: facts.settings_epoch,
                list_version: facts.list_version,
                started: facts.started,
                side: if row.of == *me {
                    self.side
                } else {
                    self.said.get(&row.of.address).map_or(PartitionSide::Unknown, |s| s.0.side)
                },
            }
        };
        let mut members: Vec<MemberView> = self.rows.all().map(line).collect();
        members.sort_by(|a, b| (&a.name, &a.address).cmp(&(&b.name, &b.address)));
        let standing = self.sides.standing();
        FleetView {
            observer: me.name.clone(),
            digest: format!("{:016x}", self.digest),
            agreed: self.views_agree(),
            side: self.sides.side(),
            counted: standing.counted,
            out_of_reach: standing.out_of_reach,
            last_agreed: standing.agreed,
            members,
        }
    }
}

/// A crash is known to all after so long, where datagrams arrive: some member probes it within a round of all (with n
/// members about `n` probes go out in each period, and it is missed by all of them for `k` periods with the chance e^-k),
/// the probe's end, the suspicion, and the way of the word.
pub fn crash_detection_bound(others: usize) -> Duration {
    let found = if others < 3 { PROBE_PERIOD * others.max(1) as u32 } else { PROBE_PERIOD * 6 };
    found + PROBE_PERIOD * 2 + super::suspicion::SHORT + dissemination_bound(others)
}

/// A word is with all others after so long: each passes it on to three at a time, ten times a second.
pub fn dissemination_bound(others: usize) -> Duration {
    let rounds = (others.max(2) as f64).log(4.0).ceil() as u32 + 2;
    PASS_ON * rounds
}
