//! Request contexts, tries, outcomes and deadlines. Drives the decision module with all that happened in a
//! moment, keeps the journal in step, and says what is to be done. It knows no wire.
use crate::journal::{End, Journal, Record, Taken};
use crate::past::Past;
use crate::plugins::{Plugins, Verdict};
use crate::settings::{Config, Site};
use bytes::Bytes;
use micaladder::{
    Action, Balancer, DestId, Effect, Ended, Entry, Event, HostId, Listed, Message, MsgId, Nanos, Outcome,
    Past as Before, Settings,
};
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
    /// Waits for an earlier message's notice; not on its way yet.
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
    weight: u64,
}

/// How long beyond its time a message that is over is remembered, in seconds.
const REMEMBER: f64 = 2.0;

/// How long a try may be held back for an earlier message's notice and still go as it was decided, in seconds.
const HELD_BACK_MOST: f64 = 0.05;

pub struct Core {
    settings: Settings,
    balancer: Balancer,
    journal: Journal,
    plugins: Plugins,
    site: Arc<Site>,
    held: BTreeMap<MsgId, Held>,
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
}

impl Core {
    /// Takes up what the journal says is still owed.
    pub fn new(
        config: &Config, standing: Vec<Member>, plugins: Plugins, journal: Journal, records: Vec<Record>,
        now: Nanos,
    ) -> Core {
        let settings = config.site.module.clone();
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), config.seed),
            settings,
            journal,
            plugins,
            site: config.site.clone(),
            held: BTreeMap::new(),
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

    /// When `moment` is to be called at the latest.
    pub fn wake(&self) -> Option<Nanos> {
        self.wake.filter(|_| !self.resting)
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
            }
            Record::Started { id, at, zone } => {
                if let Some(h) = self.held.get_mut(&MsgId(id)) {
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
                if let Some(h) = self.held.get_mut(&MsgId(id)) {
                    (h.end, h.out) = (Some(end), None);
                    let (context, at) = (h.context.clone(), Nanos(at));
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
        let mut handed = Vec::new();
        for input in inputs {
            match input {
                Input::Group { whole, members } => self.group(whole, members),
                Input::Handed { id, context } => handed.extend(self.handed(id, context)),
                Input::Withdrawn(id) => self.withdrawn(id),
                Input::TryEnded { id, attempt, outcome, over } => self.try_ended(id, attempt, outcome, over),
                Input::NoticeHeard(id) => {
                    self.write(Record::Heard { id: id.0 });
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
        self.compact();
        std::mem::take(&mut self.orders)
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
        let open = self.held.values().filter(|h| h.end.is_none()).count();
        let weight = Journal::weight(&context.name, &context.repeat_key, context.body.len());
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
        } else if open >= self.settings.open_cap {
            Answer::Reject(self.come_back())
        } else if self.weight + self.past.weight() + weight > self.journal.room() {
            log::warn!("reject: no room in the journal");
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
        let weight = Journal::weight(&context.name, &context.repeat_key, context.body.len());
        self.weight += weight;
        self.names.insert(context.name.clone(), id);
        let context = Arc::new(context);
        let held = Held { context, tries: 0, out: None, maybe: None, end: None, heard: false, weight };
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
        let may_have_run = !matches!(outcome, Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot);
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
            self.write(Record::Outcome { id: id.0, may_have_run });
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
            let answer = match rejects.get(id) {
                Some(answer) => *answer,
                None if self.append(&Record::Taken(h.taken(*id))) => Answer::Taken,
                None => {
                    self.events.push(Event::Gone(*id));
                    Answer::Reject(None)
                }
            };
            if answer != Answer::Taken {
                self.forget(*id);
            }
            self.orders.push(Order::Answer(*id, answer));
        }
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
        let Some(h) = self.held.get_mut(&id) else { return };
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
        let unheard: BTreeSet<u64> = self
            .held
            .values()
            .filter(|h| h.end.is_some() && !h.heard)
            .filter_map(|h| h.context.key)
            .collect();
        let blocked = |id: &MsgId| self.held.get(id).is_some_and(|h| h.blocked(&unheard));
        let ids: Vec<MsgId> = self.held_back.iter().filter(|id| !blocked(id)).copied().collect();
        for id in ids {
            self.held_back.remove(&id);
            let Some(h) = self.held.get_mut(&id) else { continue };
            let Some(out) = h.out.as_mut().filter(|o| o.held_back) else { continue };
            if (self.now - out.started).secs() > HELD_BACK_MOST {
                // Guards waits and drains: a word that came since may forbid what was decided before it. The
                // module decides anew.
                let (attempt, outcome, took) = (out.attempt, Outcome::Moot, Nanos(0));
                h.out = None;
                self.events.push(Event::Ended(Ended {
                    id,
                    attempt,
                    outcome,
                    over: false,
                    took,
                    report: None,
                }));
                self.wake = Some(self.now);
                continue;
            }
            (out.held_back, out.started) = (false, self.now);
            let (attempt, host, timeout, zone) = (out.attempt, out.host, out.timeout, out.zone as u32);
            let timeout = timeout.min(h.context.deadline - self.now);
            let (context, at) = (h.context.clone(), self.now.0);
            let address = self.hosts.get(&host).map(|m| m.address.clone()).unwrap_or_default();
            self.write(Record::Started { id: id.0, at, zone });
            self.orders.push(Order::Try(Try { id, attempt, host, address, timeout, context }));
        }
    }

    /// The message is over for its client.
    fn end(&mut self, id: MsgId, end: End) {
        let now = self.now;
        let Some(h) = self.held.get_mut(&id).filter(|h| h.end.is_none()) else { return };
        h.end = Some(end);
        let (context, notice) = (h.context.clone(), h.notice(id, end));
        // One that is held back never went out; the module still waits to hear of it.
        if let Some(out) = h.out.take_if(|o| o.held_back) {
            let (attempt, outcome, took) = (out.attempt, Outcome::Moot, Nanos(0));
            self.events.push(Event::Ended(Ended { id, attempt, outcome, over: true, took, report: None }));
            self.wake = Some(now);
        }
        self.write(Record::Ended { id: id.0, at: now.0, end });
        self.remember(&context, now, end);
        if owes_word(&context, end) {
            self.orders.push(Order::Notice(notice));
        }
        self.drop_if_done(id);
    }

    fn heard(&mut self, id: MsgId) {
        if let Some(h) = self.held.get_mut(&id) {
            h.heard = true;
            self.drop_if_done(id);
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
            if self.names.get(&h.context.name) == Some(&id) {
                self.names.remove(&h.context.name);
            }
        }
    }

    // ---- The journal.

    fn append(&mut self, record: &Record) -> bool {
        self.journal.append(record).inspect_err(|e| log::error!("journal: {e}")).is_ok()
    }

    fn write(&mut self, record: Record) {
        self.append(&record);
    }

    fn compact(&mut self) {
        if !self.journal.is_full() {
            return;
        }
        let now = self.now;
        self.past.forget(now);
        let past = self.past.records();
        let held = self.held.iter().flat_map(|(id, h)| h.records(*id, now));
        match self.journal.rewrite(past.chain(held)) {
            Ok(()) => log::debug!("journal written anew"),
            Err(e) => log::error!("journal not written anew: {e}"),
        }
    }
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

    fn blocked(&self, unheard: &BTreeSet<u64>) -> bool {
        self.context.key.is_some_and(|k| unheard.contains(&k))
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
        let out = self.out.as_ref().filter(|o| !o.held_back);
        let done = self.tries - u32::from(self.out.is_some());
        for n in 0..done {
            let (at, zone) = self.maybe.map_or((0, 0), |(at, zone)| (at.0, zone as u32));
            records.push(Record::Started { id: id.0, at, zone });
            records.push(Record::Outcome { id: id.0, may_have_run: n == 0 && self.maybe.is_some() });
        }
        records.extend(out.map(|o| Record::Started { id: id.0, at: o.started.0, zone: o.zone as u32 }));
        records.extend(self.end.map(|end| Record::Ended { id: id.0, at: now.0, end }));
        records.extend(self.heard.then_some(Record::Heard { id: id.0 }));
        records
    }
}
