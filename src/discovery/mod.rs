//! The watch on discovery, which fills the upstream group. What is said on it is read as values, not as lines
//! (`values`); one that falls silent is opened anew beside the old one, again and again, and whichever speaks first
//! counts.
mod values;

use crate::backoff::Backoff;
use crate::core::Member;
use crate::exchange::Exchange;
use crate::settings::{GroupUpdate, Site, Target};
use crate::Listed;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};
use values::{Said, Values};

/// What a watch has not brought counts as told so long after it fell silent.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// A word is due every 2 s, so one that has said nothing for longer may have fallen silent right after its last word.
const WORD_EACH: Duration = Duration::from_secs(2);
/// While nothing has been said, a further watch is opened so much later, and the earlier ones go on.
const ASK_EACH: Duration = Duration::from_secs(1);
/// So many of those may be silent too, and then one may take so long to connect and to answer.
const SILENT_TOO: u32 = 2;
const ANSWER_FOR: Duration = Duration::from_millis(1200);
/// Silence from which a watch is taken for broken: as long as the above leave, before what it misses counts as told.
const SILENCE: Duration =
    TOLD_AFTER.saturating_sub(ASK_EACH.saturating_mul(SILENT_TOO)).saturating_sub(ANSWER_FOR);
const _: () =
    assert!(SILENCE.as_millis() > WORD_EACH.as_millis() + 500, "a word may be late by half a second");
/// An ask that has heard nothing for so long is given up. Bounds those that are under way.
const ASK_FOR: Duration = Duration::from_secs(3);
/// Longest window in which all that ask the same place do so once, after a start and after a move. Whatever such a
/// discovery has to tell counts as told 6 s after the one and 4 s after the other, whether it was asked or not.
const START_MOST: Duration = Duration::from_secs(5);
const MOVE_MOST: Duration = Duration::from_secs(3);

type Fault = Box<dyn std::error::Error + Send + Sync>;

/// What is known of the list.
pub struct Held {
    pub rev: u64,
    /// It has had a line, so that messages can be sent.
    pub serves: bool,
    /// Where the version is told.
    pub told: watch::Sender<u64>,
}

/// Watches for as long as the process runs; each new watch goes on from the version last held.
pub async fn run(
    site: Arc<Site>, mut held: Held, mut address: watch::Receiver<String>, exchange: Exchange,
    mut again: Backoff,
) {
    let mut at = address.borrow_and_update().clone();
    let mut watch: Option<Watch> = None;
    let mut asks: JoinSet<Result<(Watch, Said), Fault>> = JoinSet::new();
    // Guards a discovery that all ask (`Site::askers`) against a release: they start at once, and what each knows is
    // good enough to serve from until its turn has come.
    let mut next = Instant::now() + if held.serves { again.first(START_MOST) } else { Duration::ZERO };
    loop {
        let said = tokio::select! {
            biased;
            // Guards against a word missed: the old place says nothing more, and the new one may count its
            // versions in another way, so it is asked for the whole list.
            Ok(()) = address.changed() => {
                at.clone_from(&address.borrow_and_update());
                (watch, asks, held.rev) = (None, JoinSet::new(), 0);
                again.reset();
                next = Instant::now() + again.first(MOVE_MOST);
                continue;
            }
            said = hear(&mut watch) => said.inspect_err(|_| watch = None),
            Some(done) = asks.join_next() => match done {
                Ok(Ok((opened, said))) => {
                    watch = Some(opened);
                    Ok(said)
                }
                Ok(Err(fault)) => Err(fault),
                Err(fault) => Err(fault.into()),
            },
            () = sleep_until(next) => {
                if watch.is_some() && asks.is_empty() {
                    log::warn!("discovery: silent for {} ms; opening the watch anew", SILENCE.as_millis());
                }
                // One alone is no herd; those that ask the same place again go apart.
                let herd = site.askers() > 1 && !asks.is_empty();
                let apart = if herd { again.pause() } else { Duration::ZERO };
                asks.spawn(open(at.clone(), held.rev));
                next = Instant::now() + ASK_EACH + apart;
                continue;
            }
        };
        match said {
            Ok(said) => {
                asks = JoinSet::new();
                again.reset();
                next = Instant::now() + SILENCE;
                if let Said::List(update) = said {
                    take(update, &site, &exchange, &mut held);
                }
            }
            Err(fault) => {
                let pause = again.pause();
                log::warn!(pause_ms = pause.as_millis() as u64; "discovery: {fault}; watching again after version {}", held.rev);
                if asks.is_empty() {
                    next = Instant::now() + pause;
                }
            }
        }
    }
}

/// An open watch. Dropped, its connection closes.
struct Watch {
    body: Incoming,
    values: Values,
    _connection: JoinSet<hyper::Result<()>>,
}

/// What the watch says next; nothing ever where there is none.
async fn hear(watch: &mut Option<Watch>) -> Result<Said, Fault> {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}

impl Watch {
    async fn next(&mut self) -> Result<Said, Fault> {
        loop {
            if let Some(said) = self.values.next()? {
                return Ok(said);
            }
            match self.body.frame().await {
                Some(frame) => frame?.into_data().into_iter().for_each(|data| self.values.push(&data)),
                None => return Err("the watch ended".into()),
            }
        }
    }
}

/// Opens a watch and waits for its first word.
async fn open(at: String, after: u64) -> Result<(Watch, Said), Fault> {
    let ask = async {
        let socket = TcpStream::connect(&at).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
        let mut running = JoinSet::new();
        running.spawn(connection);
        let request = Request::get(format!("/v1/endpoints?watch=1&after={after}"))
            .header("host", &at)
            .body(Empty::<Bytes>::new())?;
        let answer = sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            return Err(format!("the watch was answered {}", answer.status()).into());
        }
        let (body, values) = (answer.into_body(), Values::default());
        let mut watch = Watch { body, values, _connection: running };
        let said = watch.next().await?;
        Ok((watch, said))
    };
    timeout(ASK_FOR, ask).await.unwrap_or_else(|_| Err("an ask without an answer".into()))
}

fn take(update: GroupUpdate, site: &Site, exchange: &Exchange, held: &mut Held) {
    // Guards against a discovery that has lost its own list: nothing could be sent at all until it has it back.
    if held.serves && update.all && update.targets.is_empty() {
        log::warn!("discovery: passed over a whole list without a line; the old one stands");
        return;
    }
    held.rev = update.rev;
    held.told.send_replace(held.rev);
    held.serves |= !update.targets.is_empty();
    log::info!(lines = update.targets.len(); "upstream group: version {}", held.rev);
    exchange.regroup(update.all, members(site, &update));
}

/// The members that an update names.
pub fn members(site: &Site, update: &GroupUpdate) -> Vec<Member> {
    update.targets.iter().map(|t| member(site, t)).collect()
}

fn member(site: &Site, t: &Target) -> Member {
    let place = |names: &[String], name: &Option<String>| {
        names.iter().position(|n| Some(n) == name.as_ref()).unwrap_or(0)
    };
    Member {
        uid: t.uid.clone(),
        address: t.endpoint.clone(),
        zone: place(&site.zones, &t.az),
        kind: place(&site.kinds, &t.model),
        dest: t.pod_group,
        state: match t.state.as_str() {
            "Ready" => Listed::Running,
            "Gone" => Listed::Gone,
            // Guards drains against words that are not known: nothing new goes where it may not be wanted.
            _ => Listed::Stopping,
        },
        rate: t.capacity_hint.unwrap_or(0.0),
    }
}
