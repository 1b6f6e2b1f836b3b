//! Tries on the wire: one task each, over pooled connections, one pool for each host.
mod as2;
mod platform;
mod tap;

use crate::as2::Book;
use crate::core::Try;
use crate::exchange::{Exchange, Work};
use crate::settings::Site;
use crate::{HostId, MsgId, Nanos, Outcome};
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tap::Tapped;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::AbortHandle;
use tower::util::MapResponse;
use tower::ServiceExt;

type Tapping = fn(TokioIo<TcpStream>) -> TokioIo<Tapped>;
pub type Pool = Client<MapResponse<HttpConnector, Tapping>, Full<Bytes>>;

/// Idle connections are closed after this share of the time after which the endpoint's machine does so.
const IDLE_SHARE: f64 = 0.7;

/// Connections to one endpoint that are kept while they stand idle.
const IDLE_MOST: usize = 3;
/// The head of an answer is shorter.
const HEAD_MOST: usize = 16 * 1024;

/// How a try ended, and whether the endpoint says that the message is over.
pub struct Ending {
    pub outcome: Outcome,
    pub over: bool,
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Ending {
        Ending { outcome, over: false }
    }
}

fn pool(site: &Site) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_nanos(site.connect_timeout.0)));
    Client::builder(TokioExecutor::new())
        // Guards against double effects: a call that the library sent again by itself would count twice.
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        // Guards against connections that the endpoint drops while they stand idle: a request written to such
        // a one is a reset.
        .pool_idle_timeout(Duration::from_secs_f64(site.module.conn_idle.secs() * IDLE_SHARE))
        // Guards endpoints that hold few connections, idle ones counted: each call has one of its own here, so a
        // burst would leave as many standing, and the endpoint would turn all further ones away.
        .pool_max_idle_per_host(IDLE_MOST)
        .http1_max_buf_size(HEAD_MOST)
        .build(connector.map_response(|io| TokioIo::new(Tapped::new(io.into_inner()))))
}

/// Carries out tries as the exchange hands them over.
pub async fn run(
    site: Arc<Site>, book: Option<Arc<Book>>, exchange: Exchange, mut works: UnboundedReceiver<Work>,
) {
    let mut pools: BTreeMap<HostId, Pool> = BTreeMap::new();
    let mut out: BTreeMap<(MsgId, u32), AbortHandle> = BTreeMap::new();
    while let Some(work) = works.recv().await {
        match work {
            Work::Try(one) => {
                let pool = pools.entry(one.host).or_insert_with(|| pool(&site)).clone();
                let place = (one.id, one.attempt);
                let task = tokio::spawn(attempt(pool, one, book.clone(), exchange.clone()));
                out.retain(|_, handle| !handle.is_finished());
                out.insert(place, task.abort_handle());
            }
            Work::GiveUp { id, attempt } => {
                // Dropping the call closes its connection, which calls it off.
                if let Some(handle) = out.remove(&(id, attempt)).filter(|h| !h.is_finished()) {
                    handle.abort();
                    exchange.try_ended(id, attempt, Outcome::Cancelled, false);
                }
            }
            // The pool's idle connections close with it; calls that are out hold it until they end.
            Work::Release(host) => drop(pools.remove(&host)),
        }
    }
}

async fn attempt(pool: Pool, one: Try, book: Option<Arc<Book>>, exchange: Exchange) {
    let limit = Duration::from_nanos(one.timeout.max(Nanos(1_000_000)).0);
    let partner = book.as_ref().and_then(|b| Some((b, b.at(&one.address)?)));
    let call = async {
        match partner {
            Some((book, partner)) => as2::call(&pool, &one, book, partner, &exchange).await,
            None => platform::call(&pool, &one).await,
        }
    };
    let ending = tokio::time::timeout(limit, call).await.unwrap_or(Outcome::Timeout.into());
    let (message, dest) = (&one.context.name, one.context.dest);
    log::debug!(message, outcome:? = ending.outcome, "try" = one.attempt, dest; "try ended");
    exchange.try_ended(one.id, one.attempt, ending.outcome, ending.over);
}
