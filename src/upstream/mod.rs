//! Attempts on the wire: one task each, over pooled connections, one pool for each host.
mod as2;
mod batch;
mod platform;
mod pool;
mod tap;
#[cfg(test)]
mod tests;

use crate::as2::As2Settings;
use crate::core::Attempt;
use crate::exchange::{Exchange, UpstreamCommand};
use crate::settings::DeploymentSettings;
use crate::{EndpointId, LoadReport, Nanos, Outcome};
use pool::Pool;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// How an attempt ended, whether the endpoint says that the message is over, and what it told of its limit.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub outcome: Outcome,
    pub over: bool,
    pub report: Option<LoadReport>,
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Ending {
        Ending { outcome, over: false, report: None }
    }
}

/// By what an attempt that is out is called off.
enum Out {
    /// Its call carries it alone.
    Alone(AbortHandle),
    /// Among others.
    Among(UnboundedSender<batch::Place>),
}

impl Out {
    fn is_over(&self) -> bool {
        match self {
            Out::Alone(task) => task.is_finished(),
            Out::Among(off) => off.is_closed(),
        }
    }
}

/// Carries out attempts as the exchange hands them over.
pub async fn run(
    site: Arc<DeploymentSettings>, book: Option<Arc<As2Settings>>, exchange: Exchange,
    mut works: UnboundedReceiver<UpstreamCommand>,
) {
    let mut pools: BTreeMap<EndpointId, Arc<Pool>> = BTreeMap::new();
    let mut out: BTreeMap<batch::Place, Out> = BTreeMap::new();
    let mut sweep = tokio::time::interval(pool::sweep(&site));
    loop {
        let work = tokio::select! {
            biased;
            work = works.recv() => work,
            _ = sweep.tick() => {
                pools.values().for_each(|p| p.trim());
                continue;
            }
        };
        let Some(work) = work else { return };
        match work {
            UpstreamCommand::Call(attempts) => {
                let Some(first) = attempts.first() else { continue };
                let new = || Arc::new(Pool::new(&site, first.address.clone()));
                let pool = pools.entry(first.host).or_insert_with(new);
                if pool.address != first.address {
                    *pool = new();
                }
                out.retain(|_, call| !call.is_over());
                let partner = book.as_ref().is_some_and(|b| b.partner_at(&first.address).is_some());
                if attempts.len() > 1 && !partner {
                    let (off, calls_off) = unbounded_channel();
                    let places = attempts.iter().map(|one| (one.id, one.attempt));
                    out.extend(places.map(|place| (place, Out::Among(off.clone()))));
                    tokio::spawn(batch::run(pool.clone(), attempts, exchange.clone(), calls_off));
                    continue;
                }
                for one in attempts {
                    let place = (one.id, one.attempt);
                    let task = tokio::spawn(attempt(pool.clone(), one, book.clone(), exchange.clone()));
                    out.insert(place, Out::Alone(task.abort_handle()));
                }
            }
            UpstreamCommand::CancelAttempt { id, attempt } => {
                match out.remove(&(id, attempt)).filter(|call| !call.is_over()) {
                    // Dropping the call closes its connection, which calls it off.
                    Some(Out::Alone(task)) => {
                        task.abort();
                        exchange.attempt_ended(id, attempt, Outcome::Cancelled, false, None);
                    }
                    Some(Out::Among(off)) => drop(off.send((id, attempt))),
                    None => {}
                }
            }
            // Calls that are out go on, and close theirs when they end.
            UpstreamCommand::CloseIdle(host) => pools.remove(&host).into_iter().for_each(|p| p.close()),
        }
    }
}

async fn attempt(pool: Arc<Pool>, one: Attempt, book: Option<Arc<As2Settings>>, exchange: Exchange) {
    let partner = book.as_ref().and_then(|b| Some((b, b.partner_at(&one.address)?)));
    let call = async {
        match partner {
            Some((book, partner)) => as2::call(pool, &one, book, partner, &exchange).await,
            None => platform::call(pool, &one, &exchange).await,
        }
    };
    let ending = timeout(limit(&one), call).await.unwrap_or(Outcome::Timeout.into());
    tell(&exchange, &one, ending);
}

/// How long this attempt may take; 1 ms at the least.
fn limit(one: &Attempt) -> Duration {
    Duration::from_nanos(one.timeout.max(Nanos(1_000_000)).0)
}

/// The one place where an attempt's end is told, alone in its call or among others.
fn tell(exchange: &Exchange, one: &Attempt, ending: Ending) {
    let (message, dest) = (&one.context.name, one.context.dest);
    log::debug!(message, outcome:? = ending.outcome, "try" = one.attempt, dest, report:? = ending.report; "try ended");
    exchange.attempt_ended(one.id, one.attempt, ending.outcome, ending.over, ending.report);
}
