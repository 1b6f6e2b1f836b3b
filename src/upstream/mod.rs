//! Attempts on the wire: calls to endpoints over pooled connections, one pool for each endpoint.
//!
//! - `platform`, `batch`, `as2`: how an attempt is encoded, and what its answer means
//! - `pool`, `connection`: the connections to one endpoint
//! - `monitored_stream`: what passes on a connection, below what hyper shows
#![warn(missing_docs)]
mod as2;
mod batch;
mod connection;
mod monitored_stream;
mod platform;
mod pool;
#[cfg(test)]
mod tests;

use crate::as2::As2Settings;
use crate::core::Attempt;
use crate::exchange::{AttemptId, AttemptResult, Exchange, UpstreamCommand};
use crate::settings::DeploymentSettings;
use crate::{EndpointId, Nanos, Outcome};
use pool::Pool;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The shortest time that an attempt gets.
const MIN_ATTEMPT_TIMEOUT: Nanos = Nanos(1_000_000);

/// Carries out the commands of the exchange, for as long as the process runs. `as2_settings` names the AS2 partners, where there are
/// any.
pub async fn run(
    site: Arc<DeploymentSettings>, as2_settings: Option<Arc<As2Settings>>, exchange: Exchange,
    mut commands: UnboundedReceiver<UpstreamCommand>,
) {
    let mut expiry_check = tokio::time::interval(pool::expiry_check_interval(&site));
    let (pools, in_flight) = (BTreeMap::new(), BTreeMap::new());
    let mut dispatcher = Dispatcher { site, as2_settings, exchange, pools, in_flight };
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => dispatcher.execute(command),
                None => return,
            },
            _ = expiry_check.tick() => dispatcher.pools.values().for_each(|pool| pool.close_expired()),
        }
    }
}

/// By what an attempt in flight is cancelled.
enum InFlight {
    /// It has a call of its own: the task of that call.
    Single(AbortHandle),
    /// Its call carries others as well: where that call takes cancellations.
    Batch(UnboundedSender<AttemptId>),
}

impl InFlight {
    fn is_finished(&self) -> bool {
        match self {
            InFlight::Single(task) => task.is_finished(),
            InFlight::Batch(cancellations) => cancellations.is_closed(),
        }
    }
}

/// Starts calls, each in a task of its own, and cancels them.
struct Dispatcher {
    site: Arc<DeploymentSettings>,
    as2_settings: Option<Arc<As2Settings>>,
    exchange: Exchange,
    pools: BTreeMap<EndpointId, Arc<Pool>>,
    in_flight: BTreeMap<AttemptId, InFlight>,
}

impl Dispatcher {
    fn execute(&mut self, command: UpstreamCommand) {
        match command {
            UpstreamCommand::Call(attempts) => self.start_call(attempts),
            UpstreamCommand::CancelAttempt(id) => self.cancel(id),
            // Calls in flight go on, and close their connections when they end.
            UpstreamCommand::CloseIdle(endpoint) => {
                if let Some(pool) = self.pools.remove(&endpoint) {
                    pool.close_all_idle();
                }
            }
        }
    }

    fn start_call(&mut self, attempts: Vec<Attempt>) {
        let Some(first) = attempts.first() else { return };
        let pool = self.pool(first.host, &first.address);
        self.in_flight.retain(|_, call| !call.is_finished());
        let is_as2 = self
            .as2_settings
            .as_ref()
            .is_some_and(|as2_settings| as2_settings.partner_at(&first.address).is_some());
        if attempts.len() > 1 && !is_as2 {
            self.start_batch(pool, attempts);
            return;
        }
        for attempt in attempts {
            self.start_single(pool.clone(), attempt);
        }
    }

    /// The pool of this endpoint; a new one where the endpoint has moved to another address.
    fn pool(&mut self, endpoint: EndpointId, address: &str) -> Arc<Pool> {
        let new_pool = || Arc::new(Pool::new(&self.site, address.to_string()));
        let pool = self.pools.entry(endpoint).or_insert_with(new_pool);
        if pool.address != address {
            *pool = new_pool();
        }
        pool.clone()
    }

    fn start_batch(&mut self, pool: Arc<Pool>, attempts: Vec<Attempt>) {
        let (cancellations, cancellations_received) = unbounded_channel();
        for attempt in &attempts {
            self.in_flight.insert(attempt.into(), InFlight::Batch(cancellations.clone()));
        }
        tokio::spawn(batch::run(pool, attempts, self.exchange.clone(), cancellations_received));
    }

    fn start_single(&mut self, pool: Arc<Pool>, attempt: Attempt) {
        let id = AttemptId::from(&attempt);
        let task = tokio::spawn(run_single(pool, attempt, self.as2_settings.clone(), self.exchange.clone()));
        self.in_flight.insert(id, InFlight::Single(task.abort_handle()));
    }

    fn cancel(&mut self, id: AttemptId) {
        let Some(call) = self.in_flight.remove(&id) else { return };
        if call.is_finished() {
            return;
        }
        match call {
            // Dropping the call closes its connection, by which the endpoint learns of it.
            InFlight::Single(task) => {
                task.abort();
                self.exchange.attempt_ended(id, Outcome::Cancelled.into());
            }
            InFlight::Batch(cancellations) => {
                // It has ended since then where nobody receives this.
                let _ = cancellations.send(id);
            }
        }
    }
}

/// Makes the call of one attempt and reports how it ended.
async fn run_single(
    pool: Arc<Pool>, attempt: Attempt, as2_settings: Option<Arc<As2Settings>>, exchange: Exchange,
) {
    let call = call_single(pool, &attempt, as2_settings.as_deref(), &exchange);
    let result = timeout(attempt_timeout(&attempt), call).await.unwrap_or(Outcome::Timeout.into());
    report(&exchange, &attempt, result);
}

async fn call_single(
    pool: Arc<Pool>, attempt: &Attempt, as2_settings: Option<&As2Settings>, exchange: &Exchange,
) -> AttemptResult {
    if let Some(as2_settings) = as2_settings {
        if let Some(partner) = as2_settings.partner_at(&attempt.address) {
            return as2::call(pool, attempt, as2_settings, partner, exchange).await;
        }
    }
    platform::call(pool, attempt, exchange).await
}

/// How long this attempt may take.
fn attempt_timeout(attempt: &Attempt) -> Duration {
    Duration::from_nanos(attempt.timeout.max(MIN_ATTEMPT_TIMEOUT).0)
}

/// The one place where the end of an attempt is reported, whether it had a call of its own or not.
fn report(exchange: &Exchange, attempt: &Attempt, result: AttemptResult) {
    let (message, dest) = (&attempt.context.name, attempt.context.dest);
    let AttemptResult { outcome, report, .. } = result;
    log::debug!(message, outcome:?, "try" = attempt.attempt, dest, report:?; "attempt ended");
    exchange.attempt_ended(attempt.into(), result);
}
