//! Every decision of micaladder, and every value that decides. Types, settings, events and actions are in
//! `interface.rs`, records in `state.rs`. In the order of a round: ingest, expire, promote, pick, send, arm.
use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

// ---- Tuned values. Symbols of the design page in brackets.

/// [slot share] A healthy destination stays under this share of the slots.
const HEALTHY_SHARE: f64 = 0.75;
/// [slot share] A slow or failing one holds at most this share.
const SICK_SHARE: f64 = 0.5;
/// [ARRmin] Below this share of L the cap on η is waived, so slots never idle for fairness' sake.
const ARR_MIN_SHARE: f64 = 0.25;
/// [LexASmax] Deficit under the cap, in ready queues of mean weight.
const LEXAS_MAX: f64 = 1.0;
/// [LexASmin] Deficit that a lagging flow may bring, in the same unit: twice the cap, as in the paper.
const LEXAS_MIN: f64 = 2.0;
/// [κ] Gain at the start.
const KAPPA: f64 = 1.0;
/// [γ] Gain added for a missed aim; one κ, so a first miss doubles a share.
const GAMMA: f64 = 1.0;
/// Part of an aim that may pass waiting here, and what is kept of a raised gain a review.
const AIM_SHARE: f64 = 0.5;
const GAIN_KEEP: f64 = 0.9;
/// Gains are halved together once one is above this many κ.
const GAIN_TOP: f64 = 8.0;
/// [few rounds] Time between reviews of gains, rates and idle flows: several aims of traffic fit in.
const REVIEW: Nanos = Nanos(1_000_000_000);
/// Idle destinations are forgotten after this (design page).
const FORGET: Nanos = Nanos(60_000_000_000);
/// Pace: lowest where no limit is known, and cut (design page); least part of an even share of a limit; in
/// seconds, when it is back where it was too much; part kept of one below; most seconds a call.
const PACE_FLOOR: f64 = 1.0;
const PACE_CUT: f64 = 0.5;
const PACE_LEAST: f64 = 0.25;
const PACE_BACK: f64 = 4.0;
const PACE_NEAR: f64 = 0.9;
const REST_TOP: f64 = 8.0;
/// Pace: seconds of the rate that may go at once; short, so that a burst cannot spend a limit's span.
const BURST: f64 = 0.5;
/// Share of the slots that calls past their silence may hold together.
const MUTE_SHARE: f64 = 0.25;
/// Weight of a new latency sample.
const LATENCY_GAIN: f64 = 0.125;
/// Silence is the mean and this many deviations with no answer at all, and at least SILENCE_LEAST.
const SILENCE: f64 = 4.0;
const SILENCE_LEAST: f64 = 0.75;
const SILENCE_UNKNOWN: f64 = 2.0;
/// Weight of one outcome in the failing share, and the share that opens the breaker: seven failures in a row.
const FAIL_GAIN: f64 = 0.3;
const FAIL_DEAD: f64 = 0.9;
/// A told wait of so long, in seconds, is an outage; and one so short was none.
const SHUT_AFTER: f64 = 2.5;
/// In a row: refusals after which one call at a time goes out, and unanswered calls that make an outage.
const STRIKES: u32 = 2;
/// Half-open: least and largest gap between trials in seconds, and its share of the outage so far.
const TRIAL_GAP: f64 = 1.0;
const TRIAL_TOP: f64 = 3.0;
const TRIAL_SHARE: f64 = 0.4;
/// Slow start: least rate of all relays together, in calls a second.
const RAMP_LEAST: f64 = 1.0;
/// Slow start: part of an even share of the listed rate that counts as demand, where the own is less.
const EVEN_SURE: f64 = 0.8;
/// Told share of a limit left from which a refusal is not for the limit; told late, so not near zero.
const LEFT_SOME: f64 = 0.5;
/// Time without use, in seconds, from which the fault may lie with the connection, dropped unseen.
const IDLE_RISK: f64 = 0.3;
/// Part of an idle time that lost a call from which connections are taken for dropped, and its rise a second.
const IDLE_SHARE: f64 = 0.5;
const IDLE_RISE: f64 = 1.01;
/// Least first wait, in seconds, after a refusal that told none; else the time of one call at half of an even
/// part of the limit, within the aim. Doubled for each further in a row.
const FULL_WAIT: f64 = 0.5;
/// Part of a keyed window that may be used for sending again; the rest covers travel and clocks.
const WINDOW_SHARE: f64 = 0.85;
/// Share of the holding limit kept free for new messages.
const RESERVE: f64 = 0.06;
/// Part of the worth that it costs to give back what is taken on and surely never ran, and until which part
/// of its time (operators' page). At the door it costs nothing.
const EARLY_COST: f64 = 0.3;
const EARLY_UNTIL: f64 = 0.7;
/// Slow: latency over this many times the lowest mean seen.
const SLOW: f64 = 3.0;
/// First and longest wait before asking for the list again, in seconds.
const ASK_WAIT: f64 = 0.5;
const ASK_TOP: f64 = 4.0;
/// Points for filling an aim with waiting at a host.
const LATE_COST: f64 = 0.2;
/// Weight of a second in the demand and in the lately served rate, and the longest backlog counted, in s.
const DEMAND_GAIN: f64 = 0.1;
const RATE_GAIN: f64 = 0.3;
const BACKLOG_TOP: f64 = 30.0;
/// Connections: what a served call adds to the calls that a host takes at once, in parts of them; and the
/// wait, in seconds, where it turned away the only one.
const ROOM_GAIN: f64 = 0.2;
const ROOM_WAIT: f64 = 0.2;
/// Half width of the random spread of trials and backoffs.
const SPREAD: f64 = 0.2;

// ---- Message: what it is worth, what may have run.

impl Msg {
    /// Guards "no double effect": a refusal promises that coming again is safe.
    fn refusable(&self, class: &Class) -> bool {
        let safe = match class.effect {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { scope, .. } => {
                self.first_possible_run.is_none() || scope == IdempotencyScope::AllEndpoints
            }
            Effect::AtMostOnce => self.first_possible_run.is_none(),
        };
        safe && self.out.is_none()
    }

    /// Guards "no double effect": whether a further attempt is allowed at all, and at a host of this zone.
    fn repeat_ok(&self, class: &Class, now: Nanos, zone: Option<usize>) -> bool {
        let Some((since, first_zone)) = self.first_possible_run else { return true };
        match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::IdempotentByKey { scope, window } => {
                let near = scope == IdempotencyScope::AllEndpoints || zone.is_none_or(|z| z == first_zone);
                near && (now - since).secs() < window.secs() * WINDOW_SHARE
            }
        }
    }
}

// ---- Route: limit, wait, pace and outage.

impl Route {
    fn fill(&mut self, now: Nanos) {
        while self.served.front().is_some_and(|t| (now - *t).secs() > 1.0) {
            self.served.pop_front();
        }
        if let Some(rate) = self.rate() {
            self.bucket.fill(now, rate, (rate * BURST).max(1.0));
        }
    }
    fn refused(
        &mut self, set: &Settings, (now, sent): (Nanos, Nanos), wait: Option<Nanos>, demand: f64, luck: f64,
    ) -> bool {
        self.told(now, wait.unwrap_or_default());
        if sent < self.cut_at {
            return false;
        }
        // Guards against a jam that feeds itself: refused calls may use up the limit too. Each further one
        // halves the pace, until all relays together ask for a part of the limit.
        let even = if self.limit > 0.0 { self.limit } else { self.listed } / set.forwarders.max(1) as f64;
        let least = if even > 0.0 { (even * PACE_LEAST).max(1.0 / REST_TOP) } else { PACE_FLOOR };
        let seen = self.served.len() as f64;
        let own = if even > 0.0 { even.max(demand) } else { seen };
        let was = self.pace.unwrap_or(f64::INFINITY).min(own).max(seen - seen.sqrt());
        // What was served fits, as far as few samples tell. Refusals in a row say no more of the level.
        if self.strikes == 0 {
            self.top = if was < self.top * PACE_NEAR { was * PACE_NEAR } else { was }.max(least);
        }
        self.strikes += 1;
        self.fill(now);
        let pace = (was * PACE_CUT).max(least);
        let part = if set.limits_reported && even <= 0.0 { 0.0 } else { 1.0 / even };
        let top = set.least_aim() * if even > 0.0 { 1.0 } else { AIM_SHARE };
        let first = (part / PACE_CUT).min(top).max(FULL_WAIT);
        let gap = first * 2f64.powi(self.strikes.min(8) as i32 - 1);
        // All that were told a wait hear of the same end; luck keeps them from coming at once.
        self.rest_until = self.wait_until + gap.min(TRIAL_TOP.max(1.0 / pace)) * (SPREAD + luck);
        (self.pace, self.low, self.low_at) = (Some(pace), pace, now);
        self.bucket.level = self.bucket.level.min(1.0);
        (self.cut_at, self.hearsay) = (now, false);
        true
    }
    /// Soon back near the level that was too much, slow past it, fast far beyond: limits fall for a while.
    fn succeeded(&mut self, now: Nanos) {
        self.fill(now);
        self.served.push_back(now);
        self.strikes = 0;
        let x = (now - self.low_at).secs() / PACE_BACK - 1.0;
        let gap = if x < 0.0 { self.top - self.low } else { self.top * (1.0 - PACE_CUT) };
        self.pace = self.pace.map(|p| p.max(self.top + gap.max(0.0) * x.powi(3)));
    }
}

impl Host {
    /// Seconds without any answer after which a call counts as unanswered.
    fn silence(&self) -> f64 {
        let seen = self.mean + SILENCE * self.dev;
        Some(seen).filter(|s| *s > 0.0).map_or(SILENCE_UNKNOWN, |s| s.max(SILENCE_LEAST))
    }
    fn sample(&mut self, took: f64) {
        if self.mean == 0.0 {
            (self.mean, self.dev, self.best) = (took, took / 2.0, took);
        }
        self.dev += LATENCY_GAIN * ((took - self.mean).abs() - self.dev);
        self.mean += LATENCY_GAIN * (took - self.mean);
        self.best = self.best.min(self.mean);
    }
    /// Guards against hosts that fail one class and serve the rest, which keeps the breaker closed: the class
    /// goes elsewhere while another host takes it. Forgotten bit by bit, or it would never be tried again.
    fn lost(&mut self, class: usize) {
        let share = self.losing.entry(class).or_default();
        *share += FAIL_GAIN * (1.0 - *share);
    }
    /// Takes in a served call; true if it ends an outage.
    fn answered(&mut self, now: Nanos, sent: Nanos, took: f64) -> bool {
        self.sample(took);
        (self.fails, self.failing) = (0, self.failing * (1.0 - FAIL_GAIN));
        self.doubt = false;
        let Breaker::Open { since, risky, .. } = self.breaker else { return false };
        // Slow, not silent, or only without a connection: it is answered soon after all.
        let slow = (sent < since || !risky) && (now - since).secs() < SHUT_AFTER;
        self.breaker = if slow { Breaker::Closed } else { self.breaker };
        !slow
    }
    fn warm_up(&mut self, at: Nanos, luck: f64) {
        self.breaker = Breaker::Ramp { since: at };
        self.bucket = Bucket { level: luck, at };
        self.failing = 0.0;
    }
    /// Guards "no pushing over", in an outage as after it: a host in doubt is sent at most this relay's own
    /// demand, times the told cold share and multiple. Where all do so, the sum is what the host can take.
    fn fill(&mut self, set: &Settings, now: Nanos, demand: f64) {
        let since = if let Breaker::Ramp { since } = self.breaker { since } else { now };
        let warm = ((now - since).secs() / set.warm_up.secs().max(1e-3)).min(1.0);
        let share = (set.cold_capacity_share + (1.0 - set.cold_capacity_share) * warm)
            * set.overload_multiple.max(1.0);
        self.allowed = (demand * share).max(RAMP_LEAST / set.forwarders.max(1) as f64);
        self.bucket.fill(now, self.allowed, (self.allowed * BURST).max(self.bucket.level).max(1.0));
    }
    fn review(&mut self, now: Nanos, set: &Settings) {
        if matches!(self.breaker, Breaker::Ramp { since } if now - since >= set.warm_up) {
            self.breaker = Breaker::Closed;
        }
        self.losing.values_mut().for_each(|l| *l *= GAIN_KEEP);
        self.conns = if now - self.used_at >= set.connection_idle_timeout { self.calls } else { self.conns };
    }
}

// ---- Flow: a destination's hold, its share (LexAS) and its turn (ARR).

impl Flow {
    /// Seconds that the backlog takes at the rate seen lately.
    fn backlog(&self) -> f64 {
        (self.held.len() as f64 / self.rate.max(PACE_FLOOR)).clamp(1.0, BACKLOG_TOP)
    }
    /// ARR's gain; true if it rose. Departure: only the wait that this relay could have helped is judged; a
    /// slow destination would else miss its aim by its own latency and take the front for good.
    fn review(&mut self, now: Nanos, latency_objective: f64) -> bool {
        self.rate += RATE_GAIN * (f64::from(self.served) - self.rate);
        self.demand *= 1.0 - DEMAND_GAIN;
        let missed = self.sent > 0 && self.waited / f64::from(self.sent) > latency_objective * AIM_SHARE;
        self.raised = if missed { self.raised + GAMMA } else { self.raised * GAIN_KEEP };
        (self.waited, self.sent, self.served) = (0.0, 0, 0);
        if now - self.last > FORGET && self.calls == 0 && self.held.is_empty() {
            (self.a, self.b, self.raised) = (0.0, 0.0, 0.0);
        }
        missed
    }
}

// ---- The round.

/// The decision module of one relay: a state machine without I/O.
#[derive(Default)]
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) random: Random,
    pub(crate) now: Nanos,
    act: Vec<Action>,
    msgs: HashMap<MessageId, Msg>,
    /// By when a round must look at which: no round looks at all that is held.
    held_until: BTreeSet<(Nanos, MessageId)>,
    repeat_until: BTreeSet<(Nanos, MessageId)>,
    out: BTreeSet<MessageId>,
    /// Messages that are owed an answer.
    open: usize,
    /// No send can start.
    paused: bool,
    lanes: BTreeMap<u64, Lane>,
    flows: BTreeMap<DestinationId, Flow>,
    /// Those with a message held or out.
    active: BTreeSet<DestinationId>,
    pub(crate) hosts: BTreeMap<EndpointId, Host>,
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// Messages still out in each call.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    review_at: Nanos,
    armed: Option<Nanos>,
    ask_at: Option<Nanos>,
    ask_wait: f64,
    /// Kinds, with signs that idle connections harm there; hosts with a call ended in this round.
    scarce: BTreeSet<usize>,
    rested: BTreeSet<EndpointId>,
    /// Seconds without use after which a connection is taken for dropped, once one was.
    idle_limit: Option<f64>,
}

impl Balancer {
    /// A fresh module. It knows nothing but its settings; `seed` feeds its random numbers. With no slots it
    /// sends nothing and answers each message at its deadline; a message of an unknown class is refused.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (ask_at, random) = (settings.poll_interval.map(|_| Nanos(0)), Random(seed | 1));
        Balancer { set: settings, random, ask_at, ask_wait: ASK_WAIT, ..Balancer::default() }
    }

    /// Takes in all events of this moment, then decides once and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, events: &[Event], out: &mut Vec<Action>) {
        (self.now, self.armed) = (now, self.armed.filter(|t| *t > now));
        events.iter().for_each(|e| self.ingest(e));
        self.review();
        self.expire();
        self.relieve();
        self.shed();
        self.promote();
        self.pick();
        self.release();
        self.arm();
        out.append(&mut self.act);
    }

    fn spread(&mut self) -> f64 {
        1.0 - SPREAD + 2.0 * SPREAD * self.random.next()
    }

    fn log(&mut self, text: &'static str, host: Option<EndpointId>) {
        self.act.push(Action::Log { text, host });
    }

    /// A round looks at these alone, so that its cost does not grow with the fleet.
    fn busy(&self) -> impl Iterator<Item = (&DestinationId, &Flow)> {
        self.active.iter().filter_map(|d| self.flows.get_key_value(d))
    }

    fn flow(&mut self, dest: DestinationId) -> &mut Flow {
        self.flows.entry(dest).or_default()
    }

    // ---- Ingest.

    fn ingest(&mut self, event: &Event) {
        match event {
            Event::EndpointList { complete, entries } => self.listed(*complete, entries),
            Event::EndpointListFailed => {
                self.ask_at = Some(self.now + self.ask_wait * self.spread());
                self.ask_wait = (self.ask_wait * 2.0).min(ASK_TOP);
                self.log("list not to be had: asking again", None);
            }
            Event::Message(m) => self.accept(m),
            Event::Resumed(m, past) => self.resume(m, past),
            Event::AttemptEnded(e) => self.ended(e),
            Event::RetryAfter { host, dest, wait } => {
                let route = self.hosts.get(host).map_or((*dest, None), |h| h.route);
                self.routes.entry(route).or_default().told(self.now, *wait);
            }
            Event::Withdrawn(id) => self.finish(*id),
            Event::Paused(on) => self.paused = *on,
            Event::PeerObservation(hint) => self.hint(hint),
            // A timer may fire a little early, by rounding of clocks: what it was for is armed anew.
            Event::Due => self.armed = None,
        }
    }

    /// Guards "drains are kept": a stopping or missing host is unlisted at once.
    fn listed(&mut self, complete: bool, entries: &[EndpointEntry]) {
        self.hosts.values_mut().filter(|_| complete).for_each(|h| (h.listed, h.gone) = (false, true));
        for e in entries {
            let apart = self.set.kinds.get(e.kind).is_some_and(|k| k.separate_routes);
            let route = (e.dest, apart.then_some(e.host));
            let host = self.hosts.entry(e.host).or_default();
            (host.dest, host.zone, host.kind, host.route) = (e.dest, e.zone, e.kind, route);
            (host.listed, host.rate) = (e.state == EndpointState::Running, e.rate);
            host.gone = e.state == EndpointState::Removed;
            // Stands in where answers tell no limits; a rough one only where a call carries several, since
            // too low a pace costs little there.
            let several = self.set.listed_rates == ListedRates::Approximate && self.max_batch(e.host) > 1;
            let counts =
                !self.set.limits_reported && (several || self.set.listed_rates == ListedRates::Nominal);
            self.routes.entry(route).or_default().listed = if counts { e.rate } else { 0.0 };
            let flow = self.flow(e.dest);
            if !flow.hosts.contains(&e.host) {
                flow.hosts.push(e.host);
            }
        }
        self.ask_wait = ASK_WAIT;
    }

    fn accept(&mut self, m: &Message) {
        if self.msgs.contains_key(&m.id) {
            return;
        }
        let Some(class) = self.set.classes.get(m.class) else {
            return self.act.push(Action::Reject { id: m.id, after: None });
        };
        let key = m.key.filter(|_| class.fifo_by_key);
        if let Some(k) = key {
            self.lanes.entry(k).or_default().queue.push_back(m.id);
        }
        let now = self.now;
        let (class, dest, deadline) = (m.class, m.dest, m.deadline);
        let msg = Msg { class, key, dest, deadline, arrived: now, ..Msg::default() };
        self.msgs.insert(m.id, msg);
        self.hold(m.id);
        self.flow(dest).demand += DEMAND_GAIN;
        self.active.insert(dest);
        self.open += 1;
    }

    /// Guards "no double effect" and the most attempts across restarts: what is past counts as if seen here.
    /// What may not go again is answered by `expire`. It was taken on before this moment.
    fn resume(&mut self, m: &Message, past: &PriorAttempts) {
        self.accept(m);
        let Some(msg) = self.msgs.get_mut(&m.id) else { return };
        (msg.attempts, msg.first_possible_run, msg.arrived) =
            (past.attempts, past.first_possible_run, self.now - Nanos(1));
        self.hold(m.id);
        self.repeat_until.extend(past.first_possible_run.map(|_| (self.now, m.id)));
        (past.attempts >= self.set.max_attempts).then(|| self.answer(m.id, 1.0));
    }

    fn ended(&mut self, e: &AttemptEnded) {
        let (id, now) = (e.id, self.now);
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        let Some(sent) = msg.out.take() else { return };
        self.out.remove(&id);
        if !e.outcome.never_ran() {
            let zone = self.hosts.get(&sent.host).map_or(0, |h| h.zone);
            msg.first_possible_run.get_or_insert((sent.sent, zone));
        }
        msg.attempts -= u32::from(e.outcome == Outcome::NotSent);
        // Guards "order by key": the key rests where the attempt may still run.
        if let Some(lane) = msg.key.and_then(|k| self.lanes.get_mut(&k)) {
            lane.out = lane.out.saturating_sub(1);
            if matches!(e.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                lane.free_at = lane.free_at.max(now + self.set.ordering_pause);
            }
        }
        let (dest, key, done, spent) = (msg.dest, msg.key, msg.done, msg.attempts >= self.set.max_attempts);
        let over = spent || !msg.repeat_ok(&self.set.classes[msg.class], now, None);
        let left = self.calls.entry(sent.call).or_insert(1);
        *left -= 1;
        if *left == 0 {
            self.calls.remove(&sent.call);
            self.flow(dest).calls -= 1;
            if let Some(h) = self.hosts.get_mut(&sent.host) {
                (h.calls, h.used_at) = (h.calls - 1, now);
                self.rested.insert(sent.host);
            }
        }
        self.learn(e, &sent);
        if done {
            self.msgs.remove(&id);
        } else if e.over || e.outcome == Outcome::Ok {
            self.finish(id);
        } else {
            self.hold(id);
            over.then(|| self.answer(id, 1.0));
        }
        self.turn(key);
    }

    /// A message is not out: its place among those of its destination, and when it may have to be answered.
    fn hold(&mut self, id: MessageId) {
        self.unhold(id);
        let Some(m) = self.msgs.get_mut(&id) else { return };
        self.held_until.insert((m.deadline, id));
        if let (Some((since, _)), Effect::IdempotentByKey { window, .. }) =
            (m.first_possible_run, self.set.classes[m.class].effect)
        {
            m.look_at = Some(since + window.secs() * WINDOW_SHARE);
        }
        self.repeat_until.extend(m.look_at.map(|at| (at, id)));
        let in_turn = m.key.and_then(|k| self.lanes.get(&k)).is_none_or(|l| l.in_turn(id));
        self.flows.entry(m.dest).or_default().held.push(id, m.sort(), m.deadline, in_turn);
    }

    fn unhold(&mut self, id: MessageId) {
        let Some(m) = self.msgs.get_mut(&id) else { return };
        self.held_until.remove(&(m.deadline, id));
        m.look_at.take().map(|at| self.repeat_until.remove(&(at, id)));
        self.flows.entry(m.dest).or_default().held.remove(id);
    }

    /// The next message of a key stands first, if none of it is on its way.
    fn turn(&mut self, key: Option<u64>) {
        let Some(id) = key.and_then(|k| self.lanes.get(&k)?.next()) else { return };
        let dest = self.msgs.get(&id).map(|m| m.dest);
        dest.and_then(|d| self.flows.get_mut(&d)).into_iter().for_each(|f| f.held.turn(id));
    }

    /// What an outcome says of its host and route.
    fn learn(&mut self, e: &AttemptEnded, sent: &Out) {
        let (now, luck) = (self.now, self.random.next());
        let Some(host) = self.hosts.get_mut(&sent.host) else { return };
        let route = self.routes.entry(host.route).or_default();
        host.saw(now, e.outcome);
        host.trial = host.trial.filter(|t| *t != e.id);
        route.limit = e.report.map_or(route.limit, |r| r.limit);
        host.heard = if e.outcome.answered() { now } else { host.heard };
        match e.outcome {
            Outcome::Ok => {
                let dest = host.dest;
                // Lost on an idle connection, yet served on a new one: so long an idle one is dropped unseen.
                let proof = host.suspect.filter(|s| s.0 <= sent.sent && sent.idle <= IDLE_RISK);
                if let Some((at, idle)) = proof {
                    let limit = (idle * IDLE_SHARE).max(IDLE_RISK);
                    let soon = (now - at).secs() < SHUT_AFTER;
                    self.idle_limit =
                        self.idle_limit.into_iter().chain(soon.then_some(limit)).reduce(f64::min);
                    host.suspect = None;
                }
                self.idle_limit = self.idle_limit.filter(|l| !sent.mute || sent.idle < *l);
                host.suspect = host.suspect.filter(|s| !sent.mute || sent.idle < s.1);
                host.losing.entry(sent.class).and_modify(|l| *l *= 1.0 - FAIL_GAIN);
                route.succeeded(now);
                host.crowds = 0;
                host.room = host.room.map(|r| r + ROOM_GAIN / r).filter(|r| *r < self.set.slots as f64);
                if host.answered(now, sent.sent, e.took.secs()) {
                    host.warm_up(now, luck);
                    self.log("half-open: served, slow start", Some(sent.host));
                }
                self.flow(dest).served += 1;
            }
            Outcome::Rejected(wait) => {
                let demand = self.flows.get(&host.dest).map_or(0.0, |f| f.demand);
                let (key, at) = (host.route, (now, sent.sent));
                let cut = route.refused(&self.set, at, wait, demand, luck);
                // Guards "no pushing over": so long a wait is an outage, and its end is told to all who wait.
                if wait.is_some_and(|w| w.secs() >= SHUT_AFTER) {
                    let (opens, on) = (route.wait_until, self.hosts.values_mut().filter(|h| h.route == key));
                    on.for_each(|h| h.warm_up(opens, luck));
                }
                cut.then(|| self.log("pace cut", Some(sent.host)));
                // Refused, though not at its limit: its queue is full or it is shut, and it may return cold.
                if wait.is_none() && e.report.is_none_or(|r| r.limit <= 0.0 || r.left > LEFT_SOME) {
                    self.failed(sent.host, false, false);
                }
            }
            // Guards against taking a full table of connections for a limit or an outage: only as many calls
            // at once go there as it takes. And the table against relays that knock on for a place. May hurt
            // where another relay lets go: the room grows bit by bit.
            Outcome::ConnectionLimit => {
                host.room = Some(f64::from(host.calls.max(1)));
                self.scarce.insert(host.kind);
                if host.calls == 0 {
                    let gap = ROOM_WAIT * 2f64.powi(host.crowds.min(8) as i32);
                    host.crowded_until = now + gap.min(self.set.least_aim()) * (SPREAD + luck);
                    host.crowds += 1;
                }
            }
            Outcome::ConnectFailed => {
                self.scarce.insert(host.kind);
                // Turned away at once its table may be full; unanswered it is as silent as any.
                self.failed(sent.host, true, e.took.secs() > SILENCE_LEAST);
            }
            Outcome::Timeout | Outcome::Error | Outcome::Reset => {
                host.failing += FAIL_GAIN * (1.0 - host.failing);
                (!sent.mute).then(|| host.lost(sent.class));
                if e.outcome == Outcome::Timeout {
                    host.sample(e.took.secs());
                }
                let mute = e.outcome != Outcome::Error && host.heard <= sent.sent;
                (!sent.mute).then(|| self.lost(sent, mute && e.outcome != Outcome::Error));
            }
            // All hosts spoil answers alike: no cause to shut one out.
            Outcome::Cancelled | Outcome::UnreadableAnswer | Outcome::Skipped | Outcome::NotSent => {}
        }
    }

    /// Guards against a lossy path: one call lost is no outage. Where it was served before and not turned
    /// away now, one more may go at once, the rest as `fill` allows; a second unanswered opens the breaker.
    fn failed(&mut self, id: EndpointId, mute: bool, risk: bool) {
        let (now, luck, first) = (self.now, self.random.next(), TRIAL_GAP * self.spread());
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if !host.doubt && host.breaker == Breaker::Closed {
            let level = luck + f64::from(u8::from((mute || risk) && host.mean > 0.0));
            (host.doubt, host.bucket) = (true, Bucket { level, at: now });
        }
        host.fails += u32::from(mute);
        // Guards "no pushing over": an outage mostly takes all hosts of a route, so those not heard of lately
        // share the doubt. May hurt where one of several is down: the first call to another may wait.
        let (route, fails) = (host.route, host.fails.min(1));
        let kin = self.flows.get(&host.dest).map_or(&[][..], |f| &f.hosts[..]);
        for h in kin.iter().filter(|_| fails > 0 && risk) {
            let Some(h) = self.hosts.get_mut(h).filter(|h| h.route == route && !h.doubt) else { continue };
            if h.breaker == Breaker::Closed && (now - h.heard).secs() > SHUT_AFTER {
                (h.doubt, h.fails, h.bucket) = (true, fails, Bucket { level: 2.0 * luck, at: now });
            }
        }
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if let Breaker::Open { risky, .. } = &mut host.breaker {
            *risky |= risk;
        } else if host.fails >= STRIKES || host.failing > FAIL_DEAD {
            host.breaker = Breaker::Open { since: now, next: now + first, risky: risk };
            self.log("breaker opened", Some(id));
        }
    }

    /// A call may have run and failed. Guards against idle connections that are dropped unseen: where it took
    /// one, the host is only in doubt, and the next call goes on a new one; that one's loss counts.
    fn lost(&mut self, out: &Out, mute: bool) {
        let rested = mute && out.idle > IDLE_RISK;
        self.failed(out.host, mute && !rested, true);
        let Some(host) = self.hosts.get_mut(&out.host) else { return };
        host.suspect = Some((self.now, out.idle)).filter(|_| rested);
        if rested {
            host.conns = host.calls;
            self.act.push(Action::CloseIdle(out.host));
        }
    }

    /// Ends a message for the module; its attempt, if out, is still followed.
    fn finish(&mut self, id: MessageId) {
        let Some(msg) = self.msgs.get_mut(&id).filter(|m| !m.done) else { return };
        msg.done = true;
        self.open -= 1;
        if let Some(lane) = msg.key.and_then(|k| self.lanes.get_mut(&k)) {
            lane.leave(id);
        }
        let (key, out) = (msg.key, msg.out.is_some());
        if !out {
            self.unhold(id);
            self.msgs.remove(&id);
        }
        self.turn(key);
    }

    /// Whether a send may still go as it was decided, asked when its connection stands. Guards waits, drains
    /// and trials against a connect that took long: what came since counts. Its turn and its pace it has.
    pub fn may_still_send(&self, now: Nanos, id: MessageId) -> bool {
        let Some(m) = self.msgs.get(&id).filter(|m| !m.done && m.deadline > now) else { return false };
        let Some(o) = m.out.filter(|o| !o.called_off) else { return false };
        let Some(h) = self.hosts.get(&o.host).filter(|h| h.listed) else { return false };
        let breaker = match h.breaker {
            Breaker::Closed => h.fails == 0 || h.trial == Some(id),
            Breaker::Open { .. } => h.trial == Some(id),
            Breaker::Ramp { since } => since <= o.sent,
        };
        let waits = self.routes.get(&h.route).is_none_or(|r| now < r.wait_until.max(r.rest_until));
        breaker && !waits && m.repeat_ok(&self.set.classes[m.class], now, Some(h.zone))
    }

    /// Final answer for a message that is given up: a refusal where it is safe, else a failure.
    fn answer(&mut self, id: MessageId, after: f64) {
        let Some(msg) = self.msgs.get(&id) else { return };
        self.act.push(if msg.refusable(&self.set.classes[msg.class]) {
            Action::Reject { id, after: self.set.retry_after.map(|top| Nanos::from_secs(after).min(top)) }
        } else {
            Action::Fail(id)
        });
        self.finish(id);
    }

    // ---- Review, expiry, relief, shedding.

    fn review(&mut self) {
        let now = self.now;
        self.act.extend(self.ask_at.take_if(|t| *t <= now).map(|_| Action::WatchEndpointList));
        if now < self.review_at {
            return;
        }
        self.review_at = now + REVIEW;
        self.hosts.values_mut().for_each(|h| h.review(now, &self.set));
        // Guards the table against days on which hosts come and go.
        self.hosts.retain(|_, h| !h.gone || h.calls > 0);
        self.routes.retain(|key, _| key.1.is_none_or(|h| self.hosts.contains_key(&h)));
        self.idle_limit = self.idle_limit.map(|l| l * IDLE_RISE);
        // ARR: a missed aim raises the gain, and all counts start anew.
        let aim = self.set.least_aim();
        let missed = self.flows.values_mut().fold(false, |r, f| f.review(now, aim) | r);
        let high = self.flows.values().any(|f| f.raised > GAIN_TOP * KAPPA);
        for f in self.flows.values_mut().filter(|_| missed || high) {
            (f.a, f.raised) = (0.0, if high { f.raised / 2.0 } else { f.raised });
        }
        let kept = |h: &EndpointId| self.hosts.get(h).is_some_and(|x| x.listed || x.calls > 0);
        self.flows.values_mut().for_each(|f| f.hosts.retain(kept));
        self.flows.retain(|_, f| !f.hosts.is_empty() || !f.held.is_empty() || f.calls > 0);
        self.lanes.retain(|_, l| !l.queue.is_empty() || l.out > 0 || l.free_at > now);
    }

    /// Guards "no message is lost": answers what can no longer be delivered. An attempt called off or cut to
    /// the deadline may report too late, so the answer does not wait for it. Also sees silent hosts.
    fn expire(&mut self) {
        let (now, margin) = (self.now, Nanos(self.set.tick.0 * 2));
        let (mut dead, mut silent) = (Vec::new(), Vec::new());
        dead.extend(self.held_until.iter().take_while(|h| h.0 <= now + margin).map(|h| h.1));
        while let Some((_, id)) = self.repeat_until.first().copied().filter(|h| h.0 <= now) {
            self.repeat_until.pop_first();
            let Some(m) = self.msgs.get_mut(&id).filter(|m| m.out.is_none()) else { continue };
            let repeat = m.repeat_ok(&self.set.classes[m.class], now, None);
            dead.extend(Some(id).filter(|_| !repeat));
            // By rounding it may be a moment early.
            if repeat && m.look_at.is_some_and(|at| at <= now) {
                m.look_at = Some(now + Nanos(self.set.tick.0.max(1)));
                self.repeat_until.extend(m.look_at.map(|at| (at, id)));
            }
        }
        for id in &self.out {
            let Some(m) = self.msgs.get_mut(id) else { continue };
            match &mut m.out {
                Some(_) if m.deadline <= now && !m.done => dead.push(*id),
                Some(o) if !o.mute => {
                    let Some(h) = self.hosts.get(&o.host) else { continue };
                    if h.heard <= o.sent && (now - o.sent).secs() > h.silence() {
                        o.mute = true;
                        silent.push((*o, *id));
                    }
                }
                _ => {}
            }
        }
        dead.sort_unstable();
        dead.dedup();
        dead.into_iter().for_each(|id| self.answer(id, 1.0));
        for (out, id) in silent {
            self.lost(&out, true);
            self.hosts.entry(out.host).and_modify(|h| {
                h.trial = h.trial.filter(|t| *t != id);
                h.lost(out.class);
            });
        }
    }

    fn class(&self, id: &MessageId) -> &Class {
        &self.set.classes[self.msgs[id].class]
    }

    fn worth(&self, id: &MessageId, at: Nanos) -> f64 {
        self.msgs[id].worth(self.class(id), self.set.value_decay, at)
    }

    /// Guards the slots against calls that nobody answers, whatever the cause: where all are taken and over a
    /// share of them are past their silence, the one with least worth left is called off. May hurt where very
    /// slow hosts would have answered yet.
    fn relieve(&mut self) {
        let full = self.set.may_cancel && self.calls.len() >= self.set.slots;
        // PriorAttempts its patience twice, also where the host answers others all the while.
        let class = |m: &Msg| &self.set.classes[m.class];
        let spent = |m: &Msg, o: &Out| (self.now - o.sent).0 / 2 > self.patience(o.host, class(m)).0;
        let mute = |m: &Msg, o: &Out| full && !o.called_off && (o.mute || spent(m, o));
        let out = self.out.iter().filter_map(|id| Some((id, self.msgs.get(id)?)));
        let out = out.filter_map(|(id, m)| m.out.filter(|o| mute(m, o)).map(|o| (id, m, o)));
        let rows: Vec<(MessageId, bool)> = out.map(|(id, m, o)| (*id, spent(m, &o))).collect();
        let over = rows.len() as f64 > (self.set.slots as f64 * MUTE_SHARE).max(1.0);
        let may = rows.iter().filter(|r| over || r.1).map(|r| &r.0);
        let worth = |id: &&MessageId| self.worth(id, self.now);
        let least = may.min_by(|a, b| worth(a).total_cmp(&worth(b)));
        let Some(id) = least.filter(|_| self.busy().any(|(_, f)| self.could_send(f))) else { return };
        let Some(m) = self.msgs.get_mut(id) else { return };
        m.out = m.out.map(|o| Out { called_off: true, ..o });
        self.act.push(Action::Cancel { id: *id, attempt: m.attempts.saturating_sub(1) });
    }

    /// How long a call is given that may be made again.
    fn patience(&self, host: EndpointId, class: &Class) -> Nanos {
        let silence = self.hosts.get(&host).map_or(SILENCE_UNKNOWN, Host::silence);
        Nanos::from_secs((2.0 * silence).max(class.latency_objective.secs()))
    }

    /// Load shedding: what is worth least when its turn would come is given back before the hold is full.
    fn shed(&mut self) {
        let cap = self.set.max_pending;
        let keep = cap.saturating_sub(((cap as f64 * RESERVE) as usize).max(1)).max(1);
        let mut least = BTreeMap::new();
        while self.open > keep {
            // Only the flow that gave one back has changed.
            if least.is_empty() {
                least = self.busy().map(|(d, f)| (*d, self.least(f))).collect();
            }
            let rows = least.iter().filter_map(|(d, l)| l.map(|(worth, id, wait)| (*d, worth, id, wait)));
            let Some((dest, _, id, wait)) = rows.min_by(|a, b| a.1.total_cmp(&b.1)) else { return };
            self.answer(id, wait);
            self.log("shedding: hold is full", None);
            least.insert(dest, self.flows.get(&dest).and_then(|f| self.least(f)));
        }
    }

    /// What of a flow is worth least when its turn would come, and in how many seconds that is.
    fn least(&self, flow: &Flow) -> Option<(f64, MessageId, f64)> {
        let wait = flow.backlog();
        let at = self.now + wait;
        // Of a sort, that with the least time left is worth least, and all may be refused or none.
        let may = flow.held.ends().filter(|p| self.msgs[&p.2].refusable(self.class(&p.2)));
        let rows = may.map(|p| (self.worth(&p.2, at) + self.early(&p.2), p.1, p.2));
        rows.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|l| (l.0, l.2, wait))
    }

    /// What giving a message back now costs beside its worth.
    fn early(&self, id: &MessageId) -> f64 {
        let (m, class) = (&self.msgs[id], self.class(id));
        let young = (m.deadline - self.now).secs() > class.deadline.secs() * (1.0 - EARLY_UNTIL);
        f64::from(u8::from(young && m.arrived < self.now && m.first_possible_run.is_none()))
            * class.priority_weight
            * EARLY_COST
    }

    // ---- The send gate: every send passes here, retries and trials included.

    fn sick(&self, flow: &Flow) -> bool {
        let bad = |h: &Host| h.listed && (h.breaker != Breaker::Closed || h.mean > SLOW * h.best);
        flow.hosts.iter().any(|h| self.hosts.get(h).is_some_and(bad))
    }

    /// Slots that a destination may hold. Departure: slow and failing ones share their half, so that several
    /// at once leave slots to the well ones.
    fn slot_cap(&self, flow: &Flow) -> usize {
        let slots = self.set.slots as f64;
        if !self.sick(flow) {
            return ((slots * HEALTHY_SHARE).ceil() as usize).saturating_sub(1).max(1);
        }
        let sick = self.busy().filter(|(_, f)| f.calls > 0 && self.sick(f));
        let all: usize = sick.map(|(_, f)| f.calls).sum();
        ((slots * SICK_SHARE) as usize).saturating_sub(all - flow.calls).max(1)
    }

    fn open_hosts(&self, flow: &Flow) -> Vec<EndpointId> {
        if self.calls.len() >= self.set.slots || flow.calls >= self.slot_cap(flow) {
            return Vec::new();
        }
        flow.hosts.iter().copied().filter(|h| self.host_gate(*h)).collect()
    }

    /// Whether a slot is all that it lacks.
    fn could_send(&self, flow: &Flow) -> bool {
        let takes = |h: &&EndpointId| flow.held.in_turn().any(|id| self.msg_gate(id, **h));
        flow.calls < self.slot_cap(flow) && flow.hosts.iter().filter(takes).any(|h| self.host_gate(*h))
    }

    fn host_gate(&self, id: EndpointId) -> bool {
        let Some(h) = self.hosts.get(&id) else { return false };
        let Some(r) = self.routes.get(&h.route) else { return false };
        let paid = h.bucket.level >= 1.0;
        let breaker = match h.breaker {
            Breaker::Closed => !h.doubt || paid && (h.fails == 0 || h.trial.is_none()),
            Breaker::Open { next, .. } => paid && h.trial.is_none() && self.now >= next,
            Breaker::Ramp { .. } => paid,
        };
        h.listed
            && breaker
            && self.now >= h.crowded_until
            && h.room.is_none_or(|r| f64::from(h.calls) < r.floor())
            && !self.paused
            && self.now >= r.wait_until.max(r.rest_until)
            && (r.rate().is_none() || r.bucket.level >= 1.0)
    }

    /// Whether this message may go to this host now, if a call may.
    fn msg_gate(&self, id: MessageId, host: EndpointId) -> bool {
        let (Some(m), Some(h)) = (self.msgs.get(&id), self.hosts.get(&host)) else { return false };
        let class = &self.set.classes[m.class];
        let lane = m.key.and_then(|k| self.lanes.get(&k));
        let in_turn = lane.is_none_or(|l| l.in_turn(id) && (m.attempts > 0 || self.now >= l.free_at));
        h.dest == m.dest
            && m.out.is_none()
            && !m.done
            && m.attempts < self.set.max_attempts
            && m.deadline > self.now
            && m.repeat_ok(class, self.now, Some(h.zone))
            && in_turn
    }

    // ---- Promote (LexAS).

    fn room(&self, flow: &Flow) -> usize {
        let hosts = self.open_hosts(flow);
        if hosts.is_empty() {
            return 0;
        }
        let max_batch = hosts.iter().map(|h| self.max_batch(*h)).max().unwrap_or(1);
        let most = self.slot_cap(flow).saturating_sub(flow.calls) * max_batch;
        let fits = |id: &MessageId| hosts.iter().any(|h| self.msg_gate(*id, *h));
        flow.held.in_turn().filter(fits).take(most).count()
    }

    fn max_batch(&self, host: EndpointId) -> usize {
        self.hosts.get(&host).and_then(|h| self.set.kinds.get(h.kind)).map_or(1, |k| k.max_batch.max(1))
    }

    /// T of the design: listed agreed rate of a destination, else one for all.
    fn listed_rate(&self, flow: &Flow) -> f64 {
        let rates = flow.hosts.iter().filter_map(|h| self.hosts.get(h)).filter(|h| h.listed);
        let sum = rates.fold(0.0, |s: f64, h| if h.route.1.is_some() { s + h.rate } else { s.max(h.rate) });
        Some(sum).filter(|s| self.set.listed_rates != ListedRates::Absent && *s > 0.0).unwrap_or(1.0)
    }

    fn promote(&mut self) {
        self.active.retain(|d| self.flows.get(d).is_some_and(|f| !f.held.is_empty() || f.calls > 0));
        for f in self.active.iter().filter_map(|d| self.flows.get(d)) {
            for h in &f.hosts {
                let Some(h) = self.hosts.get_mut(h) else { continue };
                let even = self.set.listed_rates == ListedRates::Nominal
                    && matches!(h.breaker, Breaker::Ramp { .. });
                let listed = if even { h.rate * EVEN_SURE / self.set.forwarders.max(1) as f64 } else { 0.0 };
                h.fill(&self.set, self.now, f.demand.max(listed) / f.hosts.len() as f64);
                self.routes.entry(h.route).or_default().fill(self.now);
            }
        }
        let mut rows: Vec<_> = self.busy().map(|(d, f)| (*d, self.listed_rate(f), self.room(f))).collect();
        let total: f64 = rows.iter().map(|r| r.1).sum();
        rows.iter_mut().for_each(|r| r.1 /= total);
        // L: one refill of every slot, so a newly active flow waits for one turn at most.
        let length = self.set.slots.max(1) as f64;
        let unit = length * rows.len() as f64;
        self.lift(&rows, LEXAS_MIN * unit);
        let (now, mut ready) = (self.now, 0);
        for (d, _, room) in &rows {
            let f = self.flow(*d);
            f.open_since = if *room > 0 && !f.sendable { now } else { f.open_since };
            f.sendable = *room > 0;
            f.b -= f.ready.saturating_sub(*room) as f64;
            f.ready = f.ready.min(*room);
            ready += f.ready;
        }
        rows.retain(|r| r.2 > 0);
        while (ready as f64) < length {
            let eta: Vec<f64> = rows.iter().map(|(d, w, _)| self.flows[d].b / w).collect();
            // Tmax: the largest T that keeps the sum of (T - η) over flows at or below it under LexASmax.
            let spare = |t: f64| eta.iter().map(|e| (t - e).max(0.0)).sum::<f64>();
            let cap = bisect(0.0, eta.iter().copied().fold(0.0, f64::max) + LEXAS_MAX * unit, |t| {
                spare(t) < LEXAS_MAX * unit
            });
            let waived = (ready as f64) < length * ARR_MIN_SHARE;
            let next = (0..rows.len())
                .filter(|i| self.flows[&rows[*i].0].ready < rows[*i].2 && (waived || eta[*i] <= cap))
                .min_by(|a, b| eta[*a].total_cmp(&eta[*b]));
            let Some(i) = next else { break };
            let f = self.flow(rows[i].0);
            (f.ready, f.b, ready) = (f.ready + 1, f.b + 1.0, ready + 1);
        }
    }

    /// Tmin: lagging active flows are lifted, so that a flow is not starved for what others did not use.
    fn lift(&mut self, rows: &[(DestinationId, f64, usize)], most: f64) {
        let eta: Vec<f64> = rows.iter().map(|(d, w, _)| self.flows[d].b / w).collect();
        let top = eta.iter().copied().fold(0.0, f64::max);
        let lag = |t: f64| eta.iter().map(|e| top - e.max(t)).sum::<f64>();
        let floor = bisect(0.0, top, |t| lag(t) > most);
        for (d, w, _) in rows {
            let f = self.flow(*d);
            f.b = f.b.max(floor * w);
        }
    }

    // ---- Pick (ARR) and send.

    fn pick(&mut self) {
        while self.calls.len() < self.set.slots {
            let turn = |f: &Flow| (f.a + 1.0) / (KAPPA + f.raised);
            let next = self.busy().filter(|(_, f)| f.ready > 0);
            let next = next.min_by(|a, b| turn(a.1).total_cmp(&turn(b.1)));
            let Some(dest) = next.map(|(d, _)| *d) else { return };
            if !self.serve(dest) {
                let f = self.flow(dest);
                (f.b, f.ready) = (f.b - f.ready as f64, 0);
            }
        }
    }

    /// Fills one slot from a flow: the message that loses most by waiting, at the host that costs least.
    fn serve(&mut self, dest: DestinationId) -> bool {
        let flow = &self.flows[&dest];
        let hosts = self.open_hosts(flow);
        let pairs = hosts.iter().filter_map(|h| self.urgent(flow, *h).map(|(loss, id)| (loss, id, *h)));
        let cost = |p: &(f64, MessageId, EndpointId)| self.host_cost(p.1, p.2);
        let best = pairs.min_by(|a, b| b.0.total_cmp(&a.0).then(cost(a).total_cmp(&cost(b))));
        let Some((_, first, host)) = best else { return false };
        // Messages of one call share its fate, so a trial carries one.
        let trial = matches!(self.hosts[&host].breaker, Breaker::Open { .. });
        let most = if trial { 1 } else { self.max_batch(host) };
        let call = self.open_call(dest, host, first);
        self.send(first, host, call);
        for _ in 1..most {
            let Some((_, id)) = self.urgent(&self.flows[&dest], host) else { break };
            self.send(id, host, call);
        }
        true
    }

    fn urgent(&self, flow: &Flow, host: EndpointId) -> Option<(f64, MessageId)> {
        let soon = self.now + self.hosts.get(&host).map_or(0.0, |h| h.mean);
        let later = soon + flow.backlog();
        // What is lost grows and falls with the deadline and turns where the wait ends or the aim passes.
        let aim = |class: usize| self.set.classes[class].deadline - self.set.classes[class].latency_objective;
        let fit = flow.held.next_to(|c| [later, soon + aim(c)], |id| self.msg_gate(id, host));
        let loss = fit.map(|p| (self.worth(&p.2, soon) - self.worth(&p.2, later), p.1, p.2));
        let most = loss.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        most.map(|l| (l.0, l.2))
    }

    /// Points that a send to this host is likely to cost: lateness, fees, a new connection, failure.
    fn host_cost(&self, id: MessageId, host: EndpointId) -> f64 {
        let (h, m) = (&self.hosts[&host], &self.msgs[&id]);
        let late =
            h.mean * f64::from(h.calls + 1) / self.set.classes[m.class].latency_objective.secs().max(1e-3);
        let fee = h.route.1.and(self.set.route_fee.get(h.zone)).copied().unwrap_or(0.0);
        let cross = if h.zone == self.set.zone { 0.0 } else { self.set.cross_fee };
        let cold = if h.calls < h.conns * self.set.streams_per_connection.max(1) {
            0.0
        } else {
            self.set.handshake_fee
        };
        late * LATE_COST + fee + cross + cold + h.losing.get(&m.class).copied().unwrap_or(0.0)
    }

    fn open_call(&mut self, dest: DestinationId, host: EndpointId, first: MessageId) -> u64 {
        let (now, streams, spread) = (self.now, self.set.streams_per_connection.max(1), self.spread());
        self.next_call += 1;
        self.flow(dest).calls += 1;
        let h = self.hosts.entry(host).or_default();
        h.idle = if h.calls < h.conns * streams { (now - h.used_at).secs() } else { 0.0 };
        if h.calls == 0 && self.idle_limit.is_some_and(|l| h.idle > l) {
            (h.idle, h.conns) = (0.0, 0);
            self.act.push(Action::CloseIdle(host));
        }
        h.calls += 1;
        h.conns = h.conns.max(h.calls.div_ceil(streams));
        h.used_at = now;
        h.bucket.level -= 1.0;
        h.trial = Some(first).filter(|_| h.fails > 0);
        if let Breaker::Open { since, next, .. } = &mut h.breaker {
            h.trial = Some(first);
            *next = now + ((now - *since).secs() * TRIAL_SHARE).clamp(TRIAL_GAP, TRIAL_TOP) * spread;
        }
        self.routes.entry(h.route).or_default().bucket.level -= 1.0;
        self.next_call
    }

    fn send(&mut self, id: MessageId, host: EndpointId, call: u64) {
        let (now, patience) = (self.now, self.patience(host, self.class(&id)));
        let (Some(m), Some(h)) = (self.msgs.get_mut(&id), self.hosts.get(&host)) else { return };
        let class = &self.set.classes[m.class];
        let left = m.deadline - now;
        // Giving up on a message that must not repeat forfeits its worth: it may use all of its time.
        let timeout = if class.effect == Effect::AtMostOnce { left } else { patience.min(left) };
        m.attempts += 1;
        m.out = Some(Out { host, class: m.class, sent: now, call, idle: h.idle, ..Out::default() });
        *self.calls.entry(call).or_default() += 1;
        if let Some(lane) = m.key.and_then(|k| self.lanes.get_mut(&k)) {
            lane.out += 1;
        }
        let (dest, arrived) = (m.dest, m.arrived);
        self.unhold(id);
        self.out.insert(id);
        self.flow(dest).took(id, arrived, now);
        self.act.push(Action::Send { id, host, timeout });
    }

    /// Guards hosts that take few connections, idle ones counted: relays that each keep one shut all others
    /// out; and where idle ones are dropped unseen. May hurt where it would soon be used again: a handshake.
    fn release(&mut self) {
        for id in std::mem::take(&mut self.rested) {
            let Some(h) = self.hosts.get_mut(&id).filter(|h| self.scarce.contains(&h.kind)) else { continue };
            let used = h.calls.div_ceil(self.set.streams_per_connection.max(1));
            // Kept as long as a call takes, all relays together hold no more than twice what is in use.
            if h.conns == used + 1 && self.now < h.used_at + h.mean {
                self.rested.insert(id);
            } else if h.conns > used {
                h.conns = used;
                self.act.push(Action::CloseIdle(id));
            }
        }
    }

    // ---- Arm the timer.

    fn arm(&mut self) {
        let (now, margin) = (self.now, Nanos(self.set.tick.0 * 2));
        let review = Some(self.review_at).filter(|_| self.open > 0);
        let mut times: Vec<Nanos> = self.ask_at.into_iter().chain(review).collect();
        times.extend(self.held_until.first().map(|h| h.0 - margin));
        times.extend(self.rested.iter().filter_map(|h| self.hosts.get(h)).map(|h| h.used_at + h.mean));
        for m in self.out.iter().filter_map(|id| self.msgs.get(id)) {
            let silence = |o: Out| o.sent + self.hosts.get(&o.host).map_or(0.0, Host::silence) + margin;
            times.extend(m.out.map(|o| [m.deadline, silence(o)]).into_iter().flatten());
        }
        for (_, f) in self.busy().filter(|(_, f)| !f.held.is_empty()) {
            for h in f.hosts.iter().filter_map(|h| self.hosts.get(h)) {
                times.extend(h.next(now).into_iter().chain([h.crowded_until]));
                times.extend(self.routes.get(&h.route).map(|r| r.next(now)));
            }
        }
        if self.set.ordering_pause > Nanos(0) {
            times.extend(self.lanes.values().filter(|l| !l.queue.is_empty()).map(|l| l.free_at));
        }
        let due = times.into_iter().filter(|t| *t > now).min().map(|t| t.max(now + self.set.tick));
        let Some(due) = due.filter(|d| self.armed.is_none_or(|a| *d < a)) else { return };
        self.armed = Some(due);
        self.act.push(Action::WakeAt(due));
    }
}
