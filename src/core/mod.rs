//! Request contexts, tries, outcomes and deadlines. Drives the decision module with all that happened in a
//! moment, keeps the journal in step, and says what is to be done. It knows no wire.
#[cfg(test)]
mod faults;
mod ledger;

use crate::journal::{self, End, Journal, Record, Taken};
use crate::past::Past;
use crate::plugins::{Plugins, Verdict};
use crate::settings::Site;
use bytes::Bytes;
use ledger::Ledger;
use micaladder::{
    Action, Balancer, DestId, Effect, Ended, Entry, Event, HostId, Listed, Message, MsgId, Nanos, Outcome,
    Past as Before, Settings,
};
use std::collections::hash_map::Entry::Occupied;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A request for delivery, as a client handed it in.
#[derive(Debug)]
pub struct RequestContext {
    /// What its client calls it.
    pub name: String,
    /// What the front through which it came needs to pass on its end; if set, it hears of every end, also of a
    /// delivery. Empty on the platform.
    pub origin: String,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    pub dest: u64,
    pub deadline: Nanos,
    /// By which endpoints know repeats; empty where the class has none.
    pub repeat_key: String,
    pub body: Bytes,
    /// Set by plug-ins; not kept across a restart.
    pub tags: Vec<String>,
}

impl RequestContext {
    /// Whether all that is passed on is the same.
    fn same_message(&self, other: &RequestContext) -> bool {
        let what = |c: &RequestContext| (c.class, c.tenant, c.key, c.dest);
        what(self) == what(other) && self.repeat_key == other.repeat_key && self.body == other.body
    }
}

/// What plug-ins are told of a request beside its context.
#[derive(Clone, Copy)]
pub struct Outlook<'a> {
    pub class: &'a str,
    pub tenant: &'a str,
    pub left: Nanos,
}

/// What a client is told of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Taken,
    /// A repeat of one that was delivered.
    Delivered,
    /// Coming again is harmless, after this time if told.
    Reject(Option<Nanos>),
    /// No member of the upstream group is for its dest.
    Unknown,
    Failed,
}

/// One member of the upstream group.
#[derive(Clone, Debug)]
pub struct Member {
    pub uid: String,
    pub address: String,
    pub zone: usize,
    pub kind: usize,
    pub dest: u64,
    pub state: Listed,
    pub rate: f64,
}

/// What happened.
pub enum Input {
    Group {
        whole: bool,
        members: Vec<Member>,
    },
    Handed {
        id: MsgId,
        context: RequestContext,
    },
    /// The client went before its answer.
    Withdrawn(MsgId),
    /// `over`: the endpoint says that nothing more is owed.
    TryEnded {
        id: MsgId,
        attempt: u32,
        outcome: Outcome,
        over: bool,
    },
    NoticeHeard(MsgId),
}

/// One attempt at delivery.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: MsgId,
    pub attempt: u32,
    pub host: HostId,
    pub address: String,
    pub timeout: Nanos,
    pub context: Arc<RequestContext>,
}

/// What a client hears of a message that was taken on and not delivered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: MsgId,
    pub name: String,
    /// The front that is to pass it on; empty for the platform's own.
    pub origin: String,
    pub end: End,
}

/// What is to be done.
pub enum Order {
    Answer(MsgId, Answer),
    Try(Try),
    GiveUp { id: MsgId, attempt: u32 },
    Release(HostId),
    Notice(Notice),
}

struct Out {
    attempt: u32,
    started: Nanos,
    zone: usize,
    /// Waits for an earlier message's notice, or for this moment to end; not on its way yet, nor in the journal.
    held_back: bool,
    host: HostId,
    timeout: Nanos,
}

struct Held {
    context: Arc<RequestContext>,
    tries: u32,
    out: Option<Out>,
    /// When, and in which zone, the first try started that may have run.
    maybe: Option<(Nanos, usize)>,
    /// Set once the message is over; it is kept for its try and its notice.
    end: Option<End>,
    heard: bool,
    /// The journal knows of it.
    logged: bool,
    weight: u64,
}

/// How long beyond its time a message that is over is remembered, in seconds.
const REMEMBER: f64 = 2.0;

/// A line that would come with each request comes once in so many seconds.
const LOG_EACH: f64 = 1.0;

/// A message that is handed back so shortly before its time, in seconds, does not run after a restart either.
const TIME_UP: f64 = 0.05;

/// How long a try may be held back for an earlier message's notice and still go as it was decided, in seconds.
const HELD_BACK_MOST: f64 = 0.05;

pub struct Core {
    settings: Settings,
    balancer: Balancer,
    ledger: Ledger,
    plugins: Plugins,
    site: Arc<Site>,
    held: BTreeMap<MsgId, Held>,
    /// How many of them are not over.
    open: usize,
    /// Keys of those that are over and whose notice is not answered, and how many each has.
    unheard: HashMap<u64, usize>,
    names: HashMap<String, MsgId>,
    past: Past,
    /// Tries that wait for a notice, or for this moment to end.
    held_back: BTreeSet<MsgId>,
    hosts: BTreeMap<HostId, Member>,
    /// Gone from the upstream group, and still with a try out.
    leaving: BTreeSet<HostId>,
    next_host: u32,
    /// Members that discovery does not list.
    standing: Vec<Member>,
    uids: HashMap<String, HostId>,
    dests: BTreeSet<u64>,
    /// Bytes that the journal must keep for what is owed.
    weight: u64,
    next: u64,
    wake: Option<Nanos>,
    events: Vec<Event>,
    orders: Vec<Order>,
    now: Nanos,
    resting: bool,
    /// When the next line on a full journal may be logged.
    room_log: Nanos,
}

impl Core {
    /// Takes up what the journal says is still owed.
    pub fn new(
        site: &Arc<Site>, seed: u64, standing: Vec<Member>, plugins: Plugins,
        (journal, records): (Journal, Vec<Record>), now: Nanos,
    ) -> Core {
        let settings = site.module.clone();
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            ledger: Ledger::new(journal),
            plugins,
            site: site.clone(),
            held: BTreeMap::new(),
            open: 0,
            unheard: HashMap::new(),
            names: HashMap::new(),
            past: Past::default(),
            held_back: BTreeSet::new(),
            hosts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            next_host: 0,
            standing,
            uids: HashMap::new(),
            dests: BTreeSet::new(),
            weight: 0,
            next: 1,
            wake: None,
            events: Vec::new(),
            orders: Vec::new(),
            now,
            resting: false,
            room_log: Nanos(0),
        };
        records.into_iter().for_each(|r| core.replay(r));
        core.resume();
        core
    }

    /// The number for the next message that is handed in.
    pub fn next_id(&mut self) -> MsgId {
        self.next += 1;
        MsgId(self.next - 1)
    }

    /// The shortest time between two moments, as the settings have it.
    pub fn tick(&self) -> Nanos {
        self.settings.tick
    }

    /// When `moment` is to be called at the latest.
    pub fn wake(&self) -> Option<Nanos> {
        self.wake.filter(|_| !self.resting).into_iter().chain(self.ledger.wake()).min()
    }

    /// Tries that are out.
    pub fn tries_out(&self) -> usize {
        self.held.values().filter(|h| h.out.is_some()).count()
    }

    /// From now on no new try starts; what is handed in is kept for the next process.
    pub fn rest(&mut self) {
        self.resting = true;
    }

    // ---- What was before the start.

    fn replay(&mut self, record: Record) {
        match record {
            Record::Taken(t) => {
                let id = MsgId(t.id);
                self.next = self.next.max(t.id + 1);
                let context = RequestContext {
                    name: t.name,
                    origin: t.origin,
                    class: t.class as usize,
                    tenant: t.tenant as usize,
                    key: t.key,
                    dest: t.dest,
                    deadline: Nanos(t.deadline),
                    repeat_key: t.repeat_key,
                    body: t.body,
                    tags: Vec::new(),
                };
                self.keep(id, context);
                if let Some(h) = self.held.get_mut(&id) {
                    h.logged = true;
                }
            }
            Record::Started { id, at, zone, before } => {
                if let Some(h) = self.held.get_mut(&MsgId(id)) {
                    h.tries += before;
                    let (started, zone) = (Nanos(at), zone as usize);
                    let (host, timeout) = (HostId(0), Nanos(0));
                    h.out = Some(Out { attempt: h.tries, started, zone, held_back: false, host, timeout });
                    h.tries += 1;
                }
            }
            Record::Outcome { id, may_have_run } => {
                if let Some(h) = self.held.get_mut(&MsgId(id)) {
                    h.ran(may_have_run);
                }
            }
            Record::Ended { id, at, end } => {
                if let Some(h) = self.held.get_mut(&MsgId(id)).filter(|h| h.end.is_none()) {
                    h.out = None;
                    let (context, at) = (h.context.clone(), Nanos(at));
                    self.close(MsgId(id), end);
                    self.remember(&context, at, end);
                    self.drop_if_done(MsgId(id));
                }
            }
            Record::Heard { id } => self.heard(MsgId(id)),
            Record::Past { name, repeat_key, until, delivered } => {
                self.past.add(name, repeat_key, Nanos(until), delivered)
            }
        }
    }

    fn resume(&mut self) {
        for h in self.held.values_mut().filter(|h| h.out.is_some()) {
            // Guards "no double effect" across restarts: a try that was out may have run.
            h.ran(true);
        }
        let now = self.now;
        self.past.forget(now);
        for (id, h) in &self.held {
            if let Some(end) = h.end {
                self.orders.extend(owes_word(&h.context, end).then(|| Order::Notice(h.notice(*id, end))));
            } else {
                let past = Before { tries: h.tries, maybe: h.maybe };
                self.events.push(Event::Resumed(h.message(*id), past));
            }
        }
        if !self.held.is_empty() {
            log::info!("taken up from the journal: {} messages", self.held.len());
            self.wake = Some(now);
        }
    }

    // ---- A moment.

    /// Takes in all that happened, lets the module decide once, and says what is to be done.
    pub fn moment(&mut self, now: Nanos, inputs: Vec<Input>) -> Vec<Order> {
        self.now = now;
        self.retry_journal();
        let stuck = self.ledger.stuck();
        let mut handed = Vec::new();
        for input in inputs {
            match input {
                Input::Group { whole, members } => self.group(whole, members),
                Input::Handed { id, context } => handed.extend(self.handed(id, context)),
                Input::Withdrawn(id) => self.withdrawn(id),
                Input::TryEnded { id, attempt, outcome, over } => self.try_ended(id, attempt, outcome, over),
                Input::NoticeHeard(id) => {
                    self.ledger.keep(now, Record::Heard { id: id.0 }, None);
                    self.heard(id);
                }
            }
        }
        let mut actions = Vec::new();
        if !self.resting {
            if self.wake.is_some_and(|w| w <= now) {
                self.wake = None;
                self.events.push(Event::Due);
            }
            let events = std::mem::take(&mut self.events);
            self.balancer.handle(now, &events, &mut actions);
        }
        self.answer(&handed, &actions);
        actions.into_iter().for_each(|a| self.carry_out(a));
        self.release_held_back();
        self.retire();
        if self.ledger.is_full(now, 0) {
            self.write_anew();
        }
        if self.ledger.stuck() && !stuck {
            // Without this the module would spend the tries of all that it holds on a disk that fails.
            self.events.push(Event::Paused(true));
            self.wake = Some(now);
        }
        std::mem::take(&mut self.orders)
    }

    /// Where the journal could not be written, sees whether it can be again.
    fn retry_journal(&mut self) {
        let now = self.now;
        let (held, past) = (&self.held, &self.past);
        if let Some(done) = self.ledger.retry(now, || records(held, past, now)) {
            self.orders.extend(done);
            if !self.ledger.stuck() {
                self.events.push(Event::Paused(false));
                self.wake = Some(now);
            }
        }
    }

    fn write_anew(&mut self) {
        let now = self.now;
        self.past.forget(now);
        self.ledger.rewrite(now, records(&self.held, &self.past, now));
    }

    fn group(&mut self, whole: bool, members: Vec<Member>) {
        let mut entries = Vec::new();
        let standing = if whole { self.standing.clone() } else { Vec::new() };
        for m in members.into_iter().chain(standing) {
            let host = *self.uids.entry(m.uid.clone()).or_insert_with(|| {
                self.next_host += 1;
                HostId(self.next_host)
            });
            self.dests.insert(m.dest);
            let (zone, kind, dest, state, rate) = (m.zone, m.kind, DestId(m.dest), m.state, m.rate);
            entries.push(Entry { host, zone, kind, dest, state, rate });
            self.hosts.insert(host, m);
        }
        let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
        for (host, m) in &mut self.hosts {
            if whole && !named.contains(host) {
                m.state = Listed::Gone;
            }
            match m.state {
                Listed::Gone => self.leaving.insert(*host),
                _ => self.leaving.remove(host),
            };
        }
        self.events.push(Event::List { whole, entries });
    }

    /// Guards against days on which endpoints come and go: what is kept of one ends with its last try. Should
    /// it be listed again, it is a new one, and no connection of the old one serves it.
    fn retire(&mut self) {
        if self.leaving.is_empty() {
            return;
        }
        let busy: BTreeSet<HostId> = self.held.values().filter_map(|h| Some(h.out.as_ref()?.host)).collect();
        for host in self.leaving.extract_if(.., |h| !busy.contains(h)) {
            if let Some(m) = self.hosts.remove(&host) {
                log::debug!("retired: {} of dest {}", m.uid, m.dest);
                self.uids.remove(&m.uid);
                self.orders.push(Order::Release(host));
            }
        }
    }

    /// Decides what can be told at once; else hands the message to the module, and gives its id.
    fn handed(&mut self, id: MsgId, mut context: RequestContext) -> Option<MsgId> {
        let weight = weigh(&context);
        let answer = if let Some(delivered) = self.past.delivered(&context.name, &context.repeat_key) {
            if delivered {
                Answer::Delivered
            } else {
                Answer::Failed
            }
        } else if let Some(held) = self.names.get(&context.name).and_then(|id| self.held.get(id)) {
            // The same request once more, over a connection that crossed its answer: it is held already.
            // Guards the clients of open requests against others that use their ids: another message under
            // the same id is not that one, whichever came first.
            if held.context.same_message(&context) {
                Answer::Taken
            } else {
                Answer::Reject(self.come_back())
            }
        } else if !self.dests.contains(&context.dest) {
            Answer::Unknown
        } else if context.deadline <= self.now {
            Answer::Failed
        } else if self.open >= self.settings.open_cap || self.ledger.stuck() {
            Answer::Reject(self.come_back())
        } else if self.weight + self.past.weight() + weight > self.ledger.room() {
            if self.now >= self.room_log {
                log::warn!("reject: no room in the journal");
                self.room_log = self.now + LOG_EACH;
            }
            Answer::Reject(self.come_back())
        } else if let Verdict::Pass(tags) = self.plugins.request(&context, self.outlook(&context)) {
            context.tags = tags;
            self.keep(id, context);
            if let Some(h) = self.held.get(&id) {
                self.events.push(Event::Message(h.message(id)));
            }
            return Some(id);
        } else {
            log::info!("reject: a script's word on {}", context.name);
            Answer::Reject(self.come_back())
        };
        self.orders.push(Order::Answer(id, answer));
        None
    }

    /// When a client that is turned away here may come again.
    fn come_back(&self) -> Option<Nanos> {
        self.settings.retry_after.map(|top| Nanos::from_secs(1.0).min(top))
    }

    fn outlook(&self, context: &RequestContext) -> Outlook<'_> {
        Outlook {
            class: self.site.classes.get(context.class).map_or("", String::as_str),
            tenant: self.site.tenants.get(context.tenant).map_or("", String::as_str),
            left: context.deadline - self.now,
        }
    }

    fn keep(&mut self, id: MsgId, context: RequestContext) {
        let weight = weigh(&context);
        self.weight += weight;
        self.open += 1;
        self.names.insert(context.name.clone(), id);
        let context = Arc::new(context);
        let (tries, out, maybe, end, heard, logged) = (0, None, None, None, false, false);
        let held = Held { context, tries, out, maybe, end, heard, logged, weight };
        self.held.insert(id, held);
    }

    fn withdrawn(&mut self, id: MsgId) {
        if self.held.get(&id).is_some_and(|h| h.end.is_none()) {
            self.events.push(Event::Gone(id));
            self.end(id, End::Withdrawn);
        }
    }

    fn try_ended(&mut self, id: MsgId, attempt: u32, outcome: Outcome, over: bool) {
        let Some(h) = self.held.get_mut(&id) else { return };
        let Some(out) = h.out.as_ref().filter(|o| o.attempt == attempt) else { return };
        let took = self.now - out.started;
        let may_have_run = !outcome.never_ran();
        h.ran(may_have_run);
        let context = h.context.clone();
        self.plugins.outcome(&context, self.outlook(&context), &format!("{outcome:?}"));
        self.events.push(Event::Ended(Ended { id, attempt, outcome, over, took, report: None }));
        if outcome == Outcome::Ok || over {
            let end = if outcome == Outcome::Ok { End::Delivered } else { End::Withdrawn };
            if self.held[&id].end.is_none() {
                self.end(id, end);
            } else if outcome == Outcome::Ok {
                log::warn!("delivered after its end: {}", self.held[&id].context.name);
            }
        } else if self.held[&id].end.is_none() {
            self.ledger.keep(self.now, Record::Outcome { id: id.0, may_have_run }, None);
        }
        self.drop_if_done(id);
    }

    /// Answers the clients of this moment's requests. What is taken on is in the journal before that.
    fn answer(&mut self, handed: &[MsgId], actions: &[Action]) {
        let mut rejects = BTreeMap::new();
        for action in actions {
            match action {
                Action::Refuse { id, after } => rejects.insert(*id, Answer::Reject(*after)),
                Action::Fail(id) => rejects.insert(*id, Answer::Failed),
                _ => None,
            };
        }
        for id in handed {
            let Some(h) = self.held.get(id) else { continue };
            let context = h.context.clone();
            let answer = match rejects.get(id) {
                Some(answer) => *answer,
                None if self.take_on(*id) => {
                    log::debug!("taken on: {} for dest {}", context.name, context.dest);
                    Answer::Taken
                }
                None => {
                    self.events.push(Event::Gone(*id));
                    self.wake = Some(self.now);
                    Answer::Reject(self.come_back())
                }
            };
            if answer != Answer::Taken {
                self.forget(*id);
            }
            self.orders.push(Order::Answer(*id, answer));
        }
    }

    /// Whether the journal has the message.
    fn take_on(&mut self, id: MsgId) -> bool {
        let Some(h) = self.held.get(&id) else { return false };
        let record = Record::Taken(h.taken(id));
        if self.ledger.is_full(self.now, journal::size(&record)) {
            self.write_anew();
        }
        let logged = self.ledger.first(self.now, &record);
        if let Some(h) = self.held.get_mut(&id) {
            h.logged = logged;
        }
        logged
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, host, timeout } => self.send(id, host, timeout),
            Action::Cancel { id, attempt } => self.orders.push(Order::GiveUp { id, attempt }),
            Action::Refuse { id, after } => self.end(id, End::Deferred(after.map(|a| a.0 / 1_000_000))),
            Action::Fail(id) => self.end(id, End::Undeliverable),
            Action::WakeAt(at) => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
            Action::Release(host) => self.orders.push(Order::Release(host)),
            // The watch on the upstream group renews itself.
            Action::Watch => {}
            Action::Log { text, host } => {
                let member = host.and_then(|h| self.hosts.get(&h));
                match member {
                    Some(m) => log::info!("{text}: {} of dest {}", m.uid, m.dest),
                    None => log::info!("{text}"),
                }
            }
        }
    }

    fn send(&mut self, id: MsgId, host: HostId, timeout: Nanos) {
        let (now, zone) = (self.now, self.hosts.get(&host).map_or(0, |m| m.zone));
        let Some(h) = self.held.get_mut(&id) else {
            // Guards the slots: the module waits to hear of a try whose message was not taken on after all.
            return self.not_sent(id, 0, true);
        };
        // Guards "order by key": a message that ends by a notice is over only once the notice is answered.
        let out = Out { attempt: h.tries, started: now, zone, held_back: true, host, timeout };
        h.out = Some(out);
        h.tries += 1;
        self.held_back.insert(id);
    }

    /// Starts the tries whose key is free. The journal knows of a try before its first byte goes out.
    fn release_held_back(&mut self) {
        if self.held_back.is_empty() {
            return;
        }
        let blocked = |id: &MsgId| self.held.get(id).is_some_and(|h| h.blocked(&self.unheard));
        let ids: Vec<MsgId> = self.held_back.iter().filter(|id| !blocked(id)).copied().collect();
        for id in ids {
            self.held_back.remove(&id);
            let Some(h) = self.held.get_mut(&id) else { continue };
            let Some(out) = h.out.as_mut().filter(|o| o.held_back) else { continue };
            if (self.now - out.started).secs() > HELD_BACK_MOST {
                // Guards waits and drains: a word that came since may forbid what was decided before it. The
                // module decides anew.
                let attempt = out.attempt;
                h.out = None;
                self.not_sent(id, attempt, false);
                continue;
            }
            let (attempt, host, timeout, zone) = (out.attempt, out.host, out.timeout, out.zone as u32);
            // Guards "no double effect" across restarts: what the journal does not know of does not start.
            if !self.ledger.first(self.now, &Record::Started { id: id.0, at: self.now.0, zone, before: 0 }) {
                h.out = None;
                self.not_sent(id, attempt, false);
                continue;
            }
            (out.held_back, out.started) = (false, self.now);
            let timeout = timeout.min(h.context.deadline - self.now);
            let context = h.context.clone();
            let address = self.hosts.get(&host).map(|m| m.address.clone()).unwrap_or_default();
            self.orders.push(Order::Try(Try { id, attempt, host, address, timeout, context }));
        }
    }

    /// Tells the module of a try that did not start.
    fn not_sent(&mut self, id: MsgId, attempt: u32, over: bool) {
        let (outcome, took) = (Outcome::Moot, Nanos(0));
        self.events.push(Event::Ended(Ended { id, attempt, outcome, over, took, report: None }));
        self.wake = Some(self.now);
    }

    /// The message is over for its client.
    fn end(&mut self, id: MsgId, end: End) {
        let now = self.now;
        let Some(h) = self.held.get_mut(&id).filter(|h| h.end.is_none()) else { return };
        let context = h.context.clone();
        // One that is held back never went out; the module still waits to hear of it.
        if let Some(attempt) = h.out.take_if(|o| o.held_back).map(|o| o.attempt) {
            self.not_sent(id, attempt, true);
        }
        log::debug!(
            "over: {} as {end:?}, {:.3} s before its time",
            context.name,
            (context.deadline - now).secs()
        );
        let record = |end| Record::Ended { id: id.0, at: now.0, end };
        let written = self.ledger.first(now, &record(end));
        let end = if written { end } else { self.end_unwritten(&context, end) };
        self.close(id, end);
        let Some(h) = self.held.get_mut(&id) else { return };
        let word = owes_word(&context, end).then(|| Order::Notice(h.notice(id, end)));
        if written {
            self.orders.extend(word);
        } else {
            // What is given up has its answer at once. That it was delivered can wait: after a kill, the word
            // would be another one.
            let (now_told, later) = if end == End::Delivered { (None, word) } else { (word, None) };
            self.orders.extend(now_told);
            self.ledger.keep(now, record(end), later);
        }
        self.remember(&context, now, end);
        self.drop_if_done(id);
    }

    /// What a client is told where the journal cannot know of it yet. Guards "no double effect": a process that is
    /// killed now takes the message up again, so its client must not be told that coming again is harmless.
    fn end_unwritten(&self, context: &RequestContext, end: End) -> End {
        let effect = self.settings.classes.get(context.class).map(|c| c.effect);
        let runs_again = (context.deadline - self.now).secs() > TIME_UP;
        match end {
            End::Deferred(_) if effect == Some(Effect::Once) && runs_again => End::Undeliverable,
            _ => end,
        }
    }

    fn close(&mut self, id: MsgId, end: End) {
        let Some(h) = self.held.get_mut(&id) else { return };
        h.end = Some(end);
        self.open -= 1;
        if let Some(key) = h.context.key {
            *self.unheard.entry(key).or_default() += 1;
        }
    }

    fn heard(&mut self, id: MsgId) {
        let Some(h) = self.held.get_mut(&id).filter(|h| h.end.is_some() && !h.heard) else { return };
        h.heard = true;
        let key = h.context.key;
        self.free(key);
        self.drop_if_done(id);
    }

    /// One message fewer of this key is over and not heard of.
    fn free(&mut self, key: Option<u64>) {
        if let Some(Occupied(mut left)) = key.map(|k| self.unheard.entry(k)) {
            *left.get_mut() -= 1;
            if *left.get() == 0 {
                left.remove();
            }
        }
    }

    /// One that was handed back or withdrawn may come again as if new.
    fn remember(&mut self, context: &RequestContext, at: Nanos, end: End) {
        if !matches!(end, End::Delivered | End::Undeliverable) {
            return;
        }
        let class = self.settings.classes.get(context.class);
        let window = match class.map(|c| c.effect) {
            Some(Effect::Keyed { window, .. }) => window,
            _ => Nanos(0),
        };
        let until = context.deadline.max(at + window) + REMEMBER;
        let (name, repeat_key) = (context.name.clone(), context.repeat_key.clone());
        self.past.forget(self.now);
        self.past.add(name, repeat_key, until, end == End::Delivered);
    }

    fn drop_if_done(&mut self, id: MsgId) {
        let Some(h) = self.held.get(&id) else { return };
        let told = h.end.is_some_and(|end| h.heard || !owes_word(&h.context, end));
        if told && h.out.is_none() {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: MsgId) {
        if let Some(h) = self.held.remove(&id) {
            self.weight -= h.weight;
            match h.end {
                None => self.open -= 1,
                Some(_) if !h.heard => self.free(h.context.key),
                Some(_) => {}
            }
            if self.names.get(&h.context.name) == Some(&id) {
                self.names.remove(&h.context.name);
            }
        }
    }

    // ---- The journal.
}

/// All that the journal must say, in the fewest records.
fn records<'a>(
    held: &'a BTreeMap<MsgId, Held>, past: &'a Past, now: Nanos,
) -> impl Iterator<Item = Record> + 'a {
    let known = held.iter().filter(|(_, h)| h.logged);
    past.records().chain(known.flat_map(move |(id, h)| h.records(*id, now)))
}

/// Bytes that the journal must keep for a message.
fn weigh(c: &RequestContext) -> u64 {
    Journal::weight(&c.name, &c.origin, &c.repeat_key, c.body.len())
}

/// Whether somebody is still to be told of this end.
fn owes_word(context: &RequestContext, end: End) -> bool {
    match end {
        End::Withdrawn => false,
        End::Delivered => !context.origin.is_empty(),
        End::Undeliverable | End::Deferred(_) => true,
    }
}

impl Held {
    fn ran(&mut self, may_have_run: bool) {
        if let Some(out) = self.out.take() {
            if may_have_run && !out.held_back {
                self.maybe.get_or_insert((out.started, out.zone));
            }
        }
    }

    fn blocked(&self, unheard: &HashMap<u64, usize>) -> bool {
        self.context.key.is_some_and(|k| unheard.contains_key(&k))
    }

    fn message(&self, id: MsgId) -> Message {
        let c = &self.context;
        Message {
            id,
            class: c.class,
            tenant: c.tenant,
            key: c.key,
            dest: DestId(c.dest),
            deadline: c.deadline,
        }
    }

    fn notice(&self, id: MsgId, end: End) -> Notice {
        Notice { id, name: self.context.name.clone(), origin: self.context.origin.clone(), end }
    }

    fn taken(&self, id: MsgId) -> Taken {
        let c = &self.context;
        Taken {
            id: id.0,
            name: c.name.clone(),
            origin: c.origin.clone(),
            class: c.class as u32,
            tenant: c.tenant as u32,
            key: c.key,
            dest: c.dest,
            deadline: c.deadline.0,
            repeat_key: c.repeat_key.clone(),
            body: c.body.clone(),
        }
    }

    /// All that the journal must say of it, in the fewest records.
    fn records(&self, id: MsgId, now: Nanos) -> Vec<Record> {
        let mut records = vec![Record::Taken(self.taken(id))];
        if let Some(end) = self.end {
            records.push(Record::Ended { id: id.0, at: now.0, end });
            records.extend(self.heard.then_some(Record::Heard { id: id.0 }));
            return records;
        }
        let done = self.tries - u32::from(self.out.is_some());
        if done > 0 {
            let (at, zone) = self.maybe.map_or((0, 0), |(at, zone)| (at.0, zone as u32));
            records.push(Record::Started { id: id.0, at, zone, before: done - 1 });
            records.push(Record::Outcome { id: id.0, may_have_run: self.maybe.is_some() });
        }
        let out = self.out.as_ref().filter(|o| !o.held_back);
        records.extend(out.map(|o| {
            let (at, zone) = (o.started.0, o.zone as u32);
            Record::Started { id: id.0, at, zone, before: 0 }
        }));
        records
    }
}
