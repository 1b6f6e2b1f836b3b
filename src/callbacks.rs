//! Completion callbacks: notifies the platform of accepted messages that were not delivered, and retries each callback
//! until the platform acknowledges it.
#![warn(missing_docs)]
use crate::core::Callback;
use crate::exchange::Exchange;
use crate::journal::Completion;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};

/// Delay after the first attempt before the batch is sent again, while the first attempt stays in flight. A callback must
/// arrive within 300 ms of its message's deadline; this delay leaves time for three dead connections in a row.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum delay between attempts. The delay doubles with each attempt, since the platform may be slow or down.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// After a failed attempt, the next one starts within the retry delay divided by this number.
const FAILED_ATTEMPT_DIVISOR: u32 = 3;
/// Time limit for the response to one attempt.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of batches in flight, so that one batch with dead connections does not block later callbacks. At the
/// limit, new callbacks wait and are sent together in the next batch.
const MAX_BATCHES_IN_FLIGHT: usize = 8;

/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

type PlatformClient = Client<HttpConnector, Full<Bytes>>;

/// HTTP clients for the platform. The first attempt of a batch uses the pooled connection, which needs no handshake and
/// works even when no new connection can be opened. Each retry opens a new connection: a pool could hand out one dead idle
/// connection after another until the callback is too late.
#[derive(Clone)]
struct PlatformClients {
    pooled: PlatformClient,
    unpooled: PlatformClient,
}

impl PlatformClients {
    fn new() -> PlatformClients {
        PlatformClients { pooled: client(1), unpooled: client(0) }
    }
}

fn client(max_idle_connections: usize) -> PlatformClient {
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(max_idle_connections)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build_http()
}

/// Sends callbacks until the process ends. Callbacks that arrive together are sent in one batch. `address` is the address
/// of the platform, which may change.
pub async fn run(
    address: watch::Receiver<String>, exchange: Exchange, mut callbacks: UnboundedReceiver<Callback>,
) {
    let clients = PlatformClients::new();
    let mut in_flight = JoinSet::new();
    while let Some(first) = callbacks.recv().await {
        let mut batch = vec![first];
        drain_available(&mut callbacks, &mut batch);
        while in_flight.len() >= MAX_BATCHES_IN_FLIGHT && in_flight.join_next().await.is_some() {}
        // More callbacks may have arrived while the batch waited.
        drain_available(&mut callbacks, &mut batch);
        while in_flight.try_join_next().is_some() {}
        in_flight.spawn(deliver(clients.clone(), address.clone(), exchange.clone(), batch));
    }
}

/// Moves the callbacks that have already arrived into `batch`, without waiting for more.
fn drain_available(callbacks: &mut UnboundedReceiver<Callback>, batch: &mut Vec<Callback>) {
    while let Ok(callback) = callbacks.try_recv() {
        batch.push(callback);
    }
}

/// Delivers one batch and reports its callbacks to the exchange as acknowledged.
async fn deliver(
    clients: PlatformClients, address: watch::Receiver<String>, exchange: Exchange, batch: Vec<Callback>,
) {
    let delivery = BatchDelivery::new(clients, address, &batch);
    let started = delivery.started;
    delivery.run().await;
    for callback in &batch {
        let elapsed_ms = started.elapsed().as_millis();
        log::debug!(
            "callback acknowledged for {}: {:?}, after {elapsed_ms} ms",
            callback.name,
            callback.completion
        );
        exchange.callback_acknowledged(callback.id);
    }
}

/// Delivery of one batch, by attempts that may overlap, until one of them has a final response.
struct BatchDelivery {
    clients: PlatformClients,
    /// Address of the platform, which a reload of the configuration may change.
    address: watch::Receiver<String>,
    current_address: Arc<String>,
    body: Bytes,
    started: Instant,
    attempts: JoinSet<CallbackResponse>,
    retry_delay: Duration,
    next_attempt_at: Instant,
}

impl BatchDelivery {
    fn new(
        clients: PlatformClients, mut address: watch::Receiver<String>, batch: &[Callback],
    ) -> BatchDelivery {
        let current_address = Arc::new(address.borrow_and_update().clone());
        let started = Instant::now();
        BatchDelivery {
            clients,
            address,
            current_address,
            body: batch.iter().map(to_json_line).collect::<String>().into(),
            started,
            attempts: JoinSet::new(),
            retry_delay: INITIAL_RETRY_DELAY,
            next_attempt_at: started,
        }
    }

    /// Sends the batch until the platform acknowledges it or responds that it cannot parse it.
    async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                Some(response) = self.attempts.join_next() => {
                    if self.handle_response(response) {
                        return;
                    }
                }
                Ok(()) = self.address.changed() => self.address_changed(),
                () = sleep_until(self.next_attempt_at) => self.start_attempt(),
            }
        }
    }

    /// Returns whether this response ends the delivery. After a failed attempt, schedules the next one earlier.
    fn handle_response(&mut self, response: Result<CallbackResponse, JoinError>) -> bool {
        match response {
            Ok(CallbackResponse::Acknowledged) => true,
            // The platform would reject every retry as well.
            Ok(CallbackResponse::Malformed) => {
                log::error!(
                    "callbacks: the platform rejected the batch as malformed, dropped: {:?}",
                    self.body
                );
                true
            }
            Ok(CallbackResponse::Failed(reason)) => {
                log::warn!("callbacks: attempt failed, retrying: {reason}");
                let soon = Instant::now() + self.retry_delay / FAILED_ATTEMPT_DIVISOR;
                self.next_attempt_at = self.next_attempt_at.min(soon);
                false
            }
            // The attempt panicked. The next one is already scheduled.
            Err(_) => false,
        }
    }

    /// Schedules an immediate attempt at the platform's new address, after a reload of the configuration.
    fn address_changed(&mut self) {
        self.current_address = Arc::new(self.address.borrow_and_update().clone());
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.next_attempt_at = Instant::now();
    }

    fn start_attempt(&mut self) {
        let is_retry = self.next_attempt_at > self.started;
        if is_retry {
            let elapsed_ms = self.started.elapsed().as_millis();
            log::warn!("callbacks: batch not acknowledged after {elapsed_ms} ms, retrying");
        }
        let client = if is_retry { &self.clients.unpooled } else { &self.clients.pooled };
        self.attempts.spawn(send(client.clone(), self.current_address.clone(), self.body.clone()));
        self.next_attempt_at = Instant::now() + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// The platform's response to one attempt.
enum CallbackResponse {
    /// 204: the platform has accepted the batch.
    Acknowledged,
    /// 400: the platform cannot parse the batch.
    Malformed,
    /// Any other response, or no response; holds the reason.
    Failed(String),
}

async fn send(client: PlatformClient, address: Arc<String>, body: Bytes) -> CallbackResponse {
    let request = Request::post(format!("http://{address}/reports"))
        .header("content-type", "application/x-ndjson")
        .body(Full::new(body));
    let Ok(request) = request else {
        return CallbackResponse::Failed(format!("invalid platform address: {address}"));
    };
    match timeout(RESPONSE_TIMEOUT, client.request(request)).await {
        Ok(Ok(response)) if response.status() == StatusCode::NO_CONTENT => CallbackResponse::Acknowledged,
        Ok(Ok(response)) if response.status() == StatusCode::BAD_REQUEST => CallbackResponse::Malformed,
        Ok(Ok(response)) => {
            CallbackResponse::Failed(format!("unexpected response status {}", response.status()))
        }
        Ok(Err(e)) => CallbackResponse::Failed(e.to_string()),
        Err(_) => CallbackResponse::Failed(format!("no response within {RESPONSE_TIMEOUT:?}")),
    }
}

/// Formats a callback as one line of the request body (newline-delimited JSON).
fn to_json_line(callback: &Callback) -> String {
    let id = miniserde::json::to_string(&callback.name);
    match callback.completion {
        Completion::Deferred(Some(ms)) => {
            format!("{{\"id\":{id},\"status\":\"deferred\",\"again_ms\":{ms}}}\n")
        }
        Completion::Deferred(None) => format!("{{\"id\":{id},\"status\":\"deferred\"}}\n"),
        Completion::Undeliverable | Completion::Delivered | Completion::Withdrawn => {
            format!("{{\"id\":{id},\"status\":\"undeliverable\"}}\n")
        }
    }
}
