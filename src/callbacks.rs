//! Completion callbacks: tells the platform of accepted messages that were not delivered, and sends each callback again
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

/// How long the first attempt is waited for before the same batch is sent once more, while the first is still listened to.
/// A callback must arrive 300 ms after its message's deadline, and a connection may be dead: this leaves time for three of
/// them in a row.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// The longest such delay. It doubles with each attempt, for a platform that is slow or down.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// After an answer that is no acknowledgement, the next attempt comes within the delay divided by this.
const FAILED_ATTEMPT_DIVISOR: u32 = 3;
/// How long the answer to one attempt is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Batches in flight at once. Guards later callbacks against a batch whose connections are dead: only when all batches are
/// taken do callbacks wait, and then they travel together.
const MAX_BATCHES_IN_FLIGHT: usize = 8;

type PlatformClient = Client<HttpConnector, Full<Bytes>>;

/// The HTTP clients for the platform. The first attempt of a batch takes the pooled connection, which costs nothing and works
/// while new ones cannot be made; each retry opens a connection of its own. Guards against connections that died while they
/// were idle: a pool would hand out one such after the other until the callback's time is up.
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
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(max_idle_connections).build_http()
}

/// Sends callbacks as they come, for as long as the process runs; those that come together travel in one batch. `address` is
/// the platform's, which may change.
pub async fn run(
    address: watch::Receiver<String>, exchange: Exchange, mut callbacks: UnboundedReceiver<Callback>,
) {
    let clients = PlatformClients::new();
    let mut in_flight = JoinSet::new();
    while let Some(first) = callbacks.recv().await {
        let mut batch = vec![first];
        take_available(&mut callbacks, &mut batch);
        while in_flight.len() >= MAX_BATCHES_IN_FLIGHT && in_flight.join_next().await.is_some() {}
        // More may have come while the batch waited.
        take_available(&mut callbacks, &mut batch);
        while in_flight.try_join_next().is_some() {}
        in_flight.spawn(deliver(clients.clone(), address.clone(), exchange.clone(), batch));
    }
}

fn take_available(callbacks: &mut UnboundedReceiver<Callback>, batch: &mut Vec<Callback>) {
    while let Ok(callback) = callbacks.try_recv() {
        batch.push(callback);
    }
}

/// Delivers one batch and acknowledges its callbacks to the exchange.
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

/// The delivery of one batch: attempts that may overlap, until one is answered for good.
struct BatchDelivery {
    clients: PlatformClients,
    /// The platform's address, which a reload changes.
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

    /// Runs until the platform has acknowledged the batch or says that it cannot read it.
    async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                Some(response) = self.attempts.join_next() => {
                    if self.is_final(response) {
                        return;
                    }
                }
                Ok(()) = self.address.changed() => self.address_changed(),
                () = sleep_until(self.next_attempt_at) => self.start_attempt(),
            }
        }
    }

    /// Whether this response ends the delivery; otherwise the next attempt comes sooner.
    fn is_final(&mut self, response: Result<CallbackResponse, JoinError>) -> bool {
        match response {
            Ok(CallbackResponse::Acknowledged) => true,
            // It would be rejected again for ever.
            Ok(CallbackResponse::Unreadable) => {
                log::error!("callbacks: the platform cannot read {:?}; dropped", self.body);
                true
            }
            Ok(CallbackResponse::Failed(reason)) => {
                log::warn!("callbacks: {reason}; sending again");
                let soon = Instant::now() + self.retry_delay / FAILED_ATTEMPT_DIVISOR;
                self.next_attempt_at = self.next_attempt_at.min(soon);
                false
            }
            // The attempt panicked; the next one follows by itself.
            Err(_) => false,
        }
    }

    /// After a reload, a batch that is not acknowledged goes to the new address at once.
    fn address_changed(&mut self) {
        self.current_address = Arc::new(self.address.borrow_and_update().clone());
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.next_attempt_at = Instant::now();
    }

    fn start_attempt(&mut self) {
        let is_retry = self.next_attempt_at > self.started;
        if is_retry {
            let elapsed_ms = self.started.elapsed().as_millis();
            log::warn!("callbacks: not acknowledged after {elapsed_ms} ms; sending once more");
        }
        let client = if is_retry { &self.clients.unpooled } else { &self.clients.pooled };
        self.attempts.spawn(send(client.clone(), self.current_address.clone(), self.body.clone()));
        self.next_attempt_at = Instant::now() + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// The platform's response to one attempt.
enum CallbackResponse {
    /// 204: the batch has been taken in.
    Acknowledged,
    /// 400: the platform cannot read the batch.
    Unreadable,
    /// Any other answer, or none: what went wrong.
    Failed(String),
}

async fn send(client: PlatformClient, address: Arc<String>, body: Bytes) -> CallbackResponse {
    let request = Request::post(format!("http://{address}/reports"))
        .header("content-type", "application/x-ndjson")
        .body(Full::new(body));
    let Ok(request) = request else {
        return CallbackResponse::Failed(format!("{address} is not a valid address"));
    };
    match timeout(RESPONSE_TIMEOUT, client.request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::NO_CONTENT => CallbackResponse::Acknowledged,
        Ok(Ok(answer)) if answer.status() == StatusCode::BAD_REQUEST => CallbackResponse::Unreadable,
        Ok(Ok(answer)) => CallbackResponse::Failed(format!("answered {}", answer.status())),
        Ok(Err(e)) => CallbackResponse::Failed(e.to_string()),
        Err(_) => CallbackResponse::Failed("no answer".to_string()),
    }
}

/// A callback as one line of the request's body (newline-delimited JSON).
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
