//! The watch on discovery, which fills the upstream group.
use crate::backoff::Backoff;
use crate::core::Member;
use crate::exchange::Exchange;
use crate::settings::{GroupUpdate, Site, Target};
use crate::Listed;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use miniserde::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// An empty line is due every 2 s; after so long without one the watch is taken for dead.
const SILENCE: Duration = Duration::from_millis(4500);
const CONNECT_FOR: Duration = Duration::from_secs(1);
/// Longest window in which all that ask the same place do so once, after a start and after a move. Whatever such a
/// discovery has to tell counts as told 6 s after the one and 4 s after the other, whether it was asked or not.
const START_MOST: Duration = Duration::from_secs(5);
const MOVE_MOST: Duration = Duration::from_secs(3);
/// A longer line is no list of this deployment.
const LINE_MOST: usize = 4 << 20;

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
    // Guards a discovery that all ask (`Site::askers`) against a release: they start at once, and what each knows is
    // good enough to serve from until its turn has come.
    let mut pause = if held.serves { again.first(START_MOST) } else { Duration::ZERO };
    loop {
        let at = address.borrow_and_update().clone();
        let ask = async {
            tokio::time::sleep(pause).await;
            watch(&at, &site, &exchange, &mut held, &mut again).await
        };
        tokio::select! {
            Err(fault) = ask => {
                pause = again.pause();
                log::warn!(pause_ms = pause.as_millis() as u64; "discovery: {fault}; watching again after version {}", held.rev);
            }
            // Guards against a word missed: the old place says nothing more, and the new one may count its
            // versions in another way, so it is asked for the whole list.
            Ok(()) = address.changed() => {
                held.rev = 0;
                again.reset();
                pause = again.first(MOVE_MOST);
            }
        }
    }
}

async fn watch(
    at: &str, site: &Site, exchange: &Exchange, held: &mut Held, again: &mut Backoff,
) -> Result<(), Fault> {
    let socket = timeout(CONNECT_FOR, TcpStream::connect(at)).await??;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    let request = Request::get(format!("/v1/endpoints?watch=1&after={}", held.rev))
        .header("host", at)
        .body(Empty::<Bytes>::new())?;
    let mut answer = timeout(SILENCE, sender.send_request(request)).await??;
    if answer.status() != StatusCode::OK {
        return Err(format!("the watch was answered {}", answer.status()).into());
    }
    let mut bytes = Vec::new();
    while let Some(frame) = timeout(SILENCE, answer.body_mut().frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        bytes.extend_from_slice(&data);
        // A chunk may end anywhere: only whole lines are read.
        while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = bytes.drain(..=end).collect();
            take(&line, site, exchange, held);
            again.reset();
        }
        if bytes.len() > LINE_MOST {
            return Err("a line without end".into());
        }
    }
    Err("the watch ended".into())
}

fn take(line: &[u8], site: &Site, exchange: &Exchange, held: &mut Held) {
    let text = String::from_utf8_lossy(line);
    if text.trim().is_empty() {
        return;
    }
    match json::from_str::<GroupUpdate>(&text) {
        // Guards against a discovery that has lost its own list: nothing could be sent at all until it has it back.
        Ok(update) if held.serves && update.all && update.targets.is_empty() => {
            log::warn!("discovery: passed over a whole list without a line; the old one stands");
        }
        Ok(update) => {
            held.rev = update.rev;
            held.told.send_replace(held.rev);
            held.serves |= !update.targets.is_empty();
            log::info!(lines = update.targets.len(); "upstream group: version {}", held.rev);
            exchange.regroup(update.all, members(site, &update));
        }
        Err(_) => log::warn!("discovery: passed over a line that is no list: {:.80}", text.trim()),
    }
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
