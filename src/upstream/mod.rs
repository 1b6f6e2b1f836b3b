//! Sends calls to endpoints over pooled connections, with one pool per endpoint.
//!
//! - `platform`, `batch`, `as2`: encode attempts and carry out their calls
//! - `response`: what a response proves, and from which moment on
//! - `pool`, `connection`: the connections to one endpoint
//! - `monitored_stream`: monitors the bytes on a connection below hyper
#![warn(missing_docs)]
mod as2;
mod batch;
mod connection;
mod monitored_stream;
mod platform;
mod pool;
mod response;
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

/// The shortest timeout of an attempt.
const MIN_ATTEMPT_TIMEOUT: Nanos = Nanos(1_000_000);

/// Executes the commands of the exchange until the process exits. `as2_settings` contains the AS2 partners, if any are
/// configured.
pub async fn run(
    deployment: Arc<DeploymentSettings>, as2_settings: Option<Arc<As2Settings>>, exchange: Exchange,
    mut commands: UnboundedReceiver<UpstreamCommand>,
) {
    let mut expiry_check = tokio::time::interval(pool::expiry_check_interval(&deployment));
    let (pools, in_flight) = (BTreeMap::new(), BTreeMap::new());
    let mut dispatcher = Dispatcher { deployment, as2_settings, exchange, pools, in_flight };
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

/// The handle that cancels an attempt in flight.
enum InFlight {
    /// The task of a call that carries only this attempt.
    Single(AbortHandle),
    /// The cancellation channel of a call that carries several attempts.
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

/// Starts calls, each in a separate task, and cancels them.
struct Dispatcher {
    deployment: Arc<DeploymentSettings>,
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
            // Calls in flight continue and close their connections when they end.
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

    /// Returns the pool of this endpoint. Creates a new pool if the endpoint is new or has moved to another address.
    fn pool(&mut self, endpoint: EndpointId, address: &str) -> Arc<Pool> {
        let new_pool = || Arc::new(Pool::new(&self.deployment, address.to_string()));
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
            // Aborting the task drops the call, which closes its connection and so signals the cancellation to the endpoint.
            InFlight::Single(task) => {
                task.abort();
                self.exchange.attempt_ended(id, Outcome::Cancelled.into());
            }
            InFlight::Batch(cancellations) => {
                // The send fails if the call has ended in the meantime.
                let _ = cancellations.send(id);
            }
        }
    }
}

/// Makes a call that carries one attempt, and reports the result.
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

/// Returns the timeout of this attempt.
fn attempt_timeout(attempt: &Attempt) -> Duration {
    Duration::from_nanos(attempt.timeout.max(MIN_ATTEMPT_TIMEOUT).0)
}

/// Logs the result of an attempt and reports it to the exchange. Used for single and batch calls.
fn report(exchange: &Exchange, attempt: &Attempt, result: AttemptResult) {
    let (message, dest) = (&attempt.context.name, attempt.context.dest);
    let AttemptResult { outcome, report, .. } = result;
    log::debug!(message, outcome:?, attempt = attempt.attempt, dest, report:?; "attempt ended");
    exchange.attempt_ended(attempt.into(), result);
}
