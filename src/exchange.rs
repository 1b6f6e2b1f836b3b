//! The one object in which client side and server side meet. Clients hand requests in and wait for answers;
//! the server side takes tries and notices from it and brings their outcomes back. Neither knows the other.
use crate::clock;
use crate::core::{Answer, Core, Hand, Input, Member, Notice, Order, Sighting, Try};
use crate::figures::Figures;
use crate::handover::Late;
use crate::journal::Record;
use crate::request::RequestContext;
use crate::{DestId, HostId, MsgId, Nanos, Outcome, Report};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

/// After SIGTERM: how long new tries still start, and when the last of them is waited for no longer. The
/// process must be gone before a SIGKILL that comes after 3.7 s.
const TRIES_FOR: Duration = Duration::from_millis(1500);
pub const GONE_BY: Duration = Duration::from_millis(3300);
/// New connections still come for 0.4 s after SIGTERM.
const CONNECTIONS_FOR: Duration = Duration::from_millis(500);

/// Guards the times of the rules against settings that name a long tick.
const TICK_MOST: Duration = Duration::from_millis(10);

/// Words waited for, beyond which those of ended tries are forgotten.
const EXPECTED_MOST: usize = 1024;

enum Said {
    Handed(RequestContext, oneshot::Sender<Answer>),
    Happened(Input),
    Expect(String, oneshot::Sender<Bytes>),
    Word(String, Bytes),
    WindUp(oneshot::Sender<()>),
    Known(oneshot::Sender<Vec<Sighting>>),
    Hand { uid: String, out: bool, tell: oneshot::Sender<Hand> },
    Door { open: bool },
    LetGo(Late, oneshot::Sender<()>),
}

/// What the server side does for the exchange.
pub enum Work {
    /// One call with these messages.
    Call(Vec<Try>),
    GiveUp {
        id: MsgId,
        attempt: u32,
    },
    Release(HostId),
}

#[derive(Clone)]
pub struct Exchange {
    said: UnboundedSender<Said>,
    core: Shared,
    closing: watch::Receiver<bool>,
}

/// The core, which the desk drives. Beside it only `may_go` looks in, between two moments; nobody holds it over a wait.
type Shared = Arc<Mutex<Core>>;

fn open(core: &Shared) -> MutexGuard<'_, Core> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The ends of the exchange from which work is taken.
pub struct Works {
    pub tries: UnboundedReceiver<Work>,
    /// Notices to the platform, and those that other fronts pass on.
    pub notices: UnboundedReceiver<Notice>,
    pub words: UnboundedReceiver<Notice>,
}

impl Exchange {
    /// Starts the exchange round this core.
    pub fn new(core: Core) -> (Exchange, Works) {
        let (said, hear) = unbounded_channel();
        let (tries_in, tries) = unbounded_channel();
        let (notices_in, notices) = unbounded_channel();
        let (words_in, words) = unbounded_channel();
        let (close, closing) = watch::channel(false);
        let desk = Desk {
            tick: Duration::from_nanos(core.tick().0).min(TICK_MOST),
            core: Arc::new(Mutex::new(core)),
            answers: BTreeMap::new(),
            expected: BTreeMap::new(),
            tries: tries_in,
            notices: notices_in,
            words: words_in,
            close,
            late: None,
            hands: Vec::new(),
        };
        let core = desk.core.clone();
        tokio::spawn(desk.run(hear));
        (Exchange { said, core, closing }, Works { tries, notices, words })
    }

    /// Hands a request in. A caller that drops this before its answer withdraws the request.
    pub async fn hand_in(&self, context: RequestContext) -> Answer {
        let (tell, answer) = oneshot::channel();
        self.say(Said::Handed(context, tell));
        answer.await.unwrap_or(Answer::Reject(None))
    }

    pub fn regroup(&self, whole: bool, members: Vec<Member>) {
        self.say(Said::Happened(Input::Group { whole, members }));
    }

    /// Whether a try that has its connection may still go: asked once, right before its first byte, by all fronts.
    pub fn may_go(&self, id: MsgId, attempt: u32) -> bool {
        open(&self.core).may_go(clock::now(), id, attempt)
    }

    pub fn try_ended(&self, id: MsgId, attempt: u32, outcome: Outcome, over: bool, report: Option<Report>) {
        self.say(Said::Happened(Input::TryEnded { id, attempt, outcome, over, report }));
    }

    /// A partner told us to wait, whatever becomes of the try that it answered.
    pub fn told_wait(&self, host: HostId, dest: DestId, wait: Nanos) {
        self.say(Said::Happened(Input::ToldWait { host, dest, wait }));
    }

    pub fn notice_heard(&self, id: MsgId) {
        self.say(Said::Happened(Input::NoticeHeard(id)));
    }

    /// Brings what neighbours saw.
    pub fn hearsay(&self, sightings: Vec<Sighting>) {
        self.say(Said::Happened(Input::Hearsay(sightings)));
    }

    /// What this forwarder has seen itself of its endpoints.
    pub async fn known(&self) -> Vec<Sighting> {
        let (tell, known) = oneshot::channel();
        self.say(Said::Known(tell));
        known.await.unwrap_or_default()
    }

    /// An operator takes an endpoint out, or calls it back; answered once that holds.
    pub async fn hand(&self, uid: String, out: bool) -> Hand {
        let (tell, done) = oneshot::channel();
        self.say(Said::Hand { uid, out, tell });
        done.await.unwrap_or(Hand::Unwritten)
    }

    /// What operators are shown, kept from now on.
    pub fn figures(&self) -> Arc<Figures> {
        open(&self.core).shown(clock::now())
    }

    /// Waits for a word that comes by way of a client connection: a receipt for what a try sent.
    pub fn expect(&self, topic: &str) -> oneshot::Receiver<Bytes> {
        let (tell, word) = oneshot::channel();
        self.say(Said::Expect(topic.to_string(), tell));
        word
    }

    /// Brings such a word.
    pub fn word(&self, topic: String, word: Bytes) {
        self.say(Said::Word(topic, word));
    }

    /// Closes client connections between requests, or leaves those alone that come from now on.
    pub fn door(&self, open: bool) {
        self.say(Said::Door { open });
    }

    /// Whether the journal cannot be handed on now.
    pub fn bound(&self) -> bool {
        open(&self.core).bound()
    }

    /// Lets the journal go, and writes here what this process knows and what still comes of its calls. Once this returns,
    /// it writes the journal no more, takes nothing on and starts no try.
    pub async fn let_go(&self, late: Late) {
        let (tell, done) = oneshot::channel();
        self.say(Said::LetGo(late, tell));
        let _ = done.await;
    }

    /// Calls whose first byte may have gone out.
    pub fn calls_out(&self) -> usize {
        open(&self.core).calls_out()
    }

    /// What the process before this one says of its calls, and whether nothing more comes from it.
    pub fn elder(&self, records: Vec<Record>, gone: bool) {
        if !records.is_empty() {
            self.say(Said::Happened(Input::ElderSaid(records)));
        }
        if gone {
            self.say(Said::Happened(Input::ElderGone));
        }
    }

    /// Lets calls finish; returns when the process may end.
    pub async fn wind_up(&self) {
        let (tell, done) = oneshot::channel();
        self.say(Said::WindUp(tell));
        let _ = done.await;
    }

    /// Turns true when client connections are to be closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.clone()
    }

    fn say(&self, said: Said) {
        // The desk ends with the process only.
        let _ = self.said.send(said);
    }
}

struct Desk {
    core: Shared,
    /// The shortest time between two moments.
    tick: Duration,
    answers: BTreeMap<MsgId, oneshot::Sender<Answer>>,
    expected: BTreeMap<String, oneshot::Sender<Bytes>>,
    tries: UnboundedSender<Work>,
    notices: UnboundedSender<Notice>,
    words: UnboundedSender<Notice>,
    close: watch::Sender<bool>,
    /// The journal is another process's; what comes of calls goes here.
    late: Option<Late>,
    /// Operators' words of this moment: heard after all else that was said before them, the list among it.
    hands: Vec<(String, bool, oneshot::Sender<Hand>)>,
}

impl Desk {
    async fn run(mut self, mut hear: UnboundedReceiver<Said>) {
        let mut winding: Option<(tokio::time::Instant, oneshot::Sender<()>)> = None;
        let mut next = tokio::time::Instant::now();
        loop {
            let mut inputs = Vec::new();
            let wake = open(&self.core).wake().map(clock::instant);
            let stop = winding.as_ref().map(|(since, _)| next_step(*since));
            let sleep = wake.into_iter().chain(stop).min();
            tokio::select! {
                biased;
                said = hear.recv() => match said {
                    Some(said) => self.take(said, &mut inputs, &mut winding),
                    None => return,
                },
                () = sleep_until(sleep) => {}
            }
            // Guards the CPU on busy days: what a moment costs by itself is paid once a tick, as in the simulator,
            // and not once an event.
            tokio::time::sleep_until(next).await;
            next = tokio::time::Instant::now() + self.tick;
            while let Ok(said) = hear.try_recv() {
                self.take(said, &mut inputs, &mut winding);
            }
            if let Some(late) = &mut self.late {
                afterwards(&self.core, late, inputs).into_iter().for_each(|o| drop(self.carry_out(o)));
                continue;
            }
            let orders = open(&self.core).moment(clock::now(), inputs);
            for (uid, out, tell) in std::mem::take(&mut self.hands) {
                let _ = tell.send(open(&self.core).hand(clock::now(), uid, out));
            }
            let mut gone = Vec::new();
            orders.into_iter().for_each(|o| gone.extend(self.carry_out(o)));
            if !gone.is_empty() {
                let orders = open(&self.core).moment(clock::now(), gone);
                orders.into_iter().for_each(|o| drop(self.carry_out(o)));
            }
            if let Some((since, _)) = &winding {
                let past = since.elapsed();
                if past >= TRIES_FOR {
                    open(&self.core).rest();
                }
                let quiet = past >= TRIES_FOR && open(&self.core).tries_out() == 0;
                if past >= CONNECTIONS_FOR && (quiet || past >= GONE_BY) {
                    let _ = self.close.send(true);
                    if let Some((_, tell)) = winding.take() {
                        let _ = tell.send(());
                    }
                }
            }
        }
    }

    fn take(
        &mut self, said: Said, inputs: &mut Vec<Input>,
        winding: &mut Option<(tokio::time::Instant, oneshot::Sender<()>)>,
    ) {
        match said {
            Said::Handed(context, tell) => {
                let id = open(&self.core).next_id();
                self.answers.insert(id, tell);
                inputs.push(Input::Handed { id, context });
            }
            Said::Happened(input) => inputs.push(input),
            Said::Expect(topic, tell) => {
                if self.expected.len() >= EXPECTED_MOST {
                    self.expected.retain(|_, tell| !tell.is_closed());
                }
                self.expected.insert(topic, tell);
            }
            // A word that comes too late changes nothing: the try has had its outcome.
            Said::Word(topic, word) => match self.expected.remove(&topic).map(|tell| tell.send(word)) {
                Some(Ok(())) => {}
                Some(Err(_)) => log::warn!("receipt for {topic} after its try had ended: changes nothing"),
                None => {
                    log::warn!("receipt for {topic}, which no try of this process waits for: changes nothing")
                }
            },
            Said::Known(tell) => drop(tell.send(open(&self.core).known(clock::now()))),
            Said::Hand { uid, out, tell } => self.hands.push((uid, out, tell)),
            Said::Door { open } => drop(self.close.send(!open)),
            Said::LetGo(late, tell) => self.let_go(late, tell, inputs),
            Said::WindUp(tell) => *winding = Some((tokio::time::Instant::now(), tell)),
        }
    }

    /// What was said before is taken in first, on the journal that is still this process's.
    fn let_go(&mut self, mut late: Late, tell: oneshot::Sender<()>, inputs: &mut Vec<Input>) {
        let now = clock::now();
        let orders = open(&self.core).moment(now, std::mem::take(inputs));
        orders.into_iter().for_each(|o| inputs.extend(self.carry_out(o)));
        open(&self.core).let_go(now).iter().for_each(|record| late.add(record));
        self.late = Some(late);
        let _ = tell.send(());
    }

    /// Returns a withdrawal where the client has not waited for its answer.
    fn carry_out(&mut self, order: Order) -> Option<Input> {
        match order {
            Order::Answer(id, answer) => {
                let tell = self.answers.remove(&id)?;
                return tell.send(answer).is_err().then_some(Input::Withdrawn(id));
            }
            Order::Call(tries) => drop(self.tries.send(Work::Call(tries))),
            Order::GiveUp { id, attempt } => drop(self.tries.send(Work::GiveUp { id, attempt })),
            Order::Release(host) => drop(self.tries.send(Work::Release(host))),
            Order::Notice(notice) if notice.origin.is_empty() => drop(self.notices.send(notice)),
            Order::Notice(notice) => drop(self.words.send(notice)),
        }
        None
    }
}

/// What happens to a process that has let the journal go: its calls end, and it takes nothing on.
fn afterwards(core: &Shared, late: &mut Late, inputs: Vec<Input>) -> Vec<Order> {
    let (now, mut core, mut orders) = (clock::now(), open(core), Vec::new());
    for input in inputs {
        match input {
            Input::Handed { id, .. } => orders.push(Order::Answer(id, Answer::Reject(core.come_back()))),
            Input::TryEnded { id, attempt, outcome, over, .. } => {
                core.late(id, attempt, outcome, over).iter().for_each(|record| late.add(record));
            }
            Input::ToldWait { host, wait, .. } => {
                core.late_wait(now, host, wait).iter().for_each(|record| late.add(record));
            }
            // The next process hears of these itself.
            Input::Group { .. } | Input::Hearsay(_) | Input::NoticeHeard(_) | Input::Withdrawn(_) => {}
            Input::ElderSaid(_) | Input::ElderGone => {}
        }
    }
    orders
}

/// When winding up has its next step.
fn next_step(since: tokio::time::Instant) -> tokio::time::Instant {
    let steps = [CONNECTIONS_FOR, TRIES_FOR, GONE_BY].map(|d| since + d);
    let now = tokio::time::Instant::now();
    steps.into_iter().find(|s| *s > now).unwrap_or(now + Duration::from_millis(50))
}

async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
