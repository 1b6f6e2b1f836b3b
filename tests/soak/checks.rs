//! The checks of a run, from what clients, the endpoint and discovery observed.
use crate::callers::processes::KilledOwner;
use crate::callers::{timeline, ClientRequest, RequestOutcome};
use crate::stalls::Stall;
use crate::stand::{HttpMessage, Server};
use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a client of the platform waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for a message to complete: half a second after its deadline, which the callers set to 20 s.
const COMPLETED_WITHIN: Duration = Duration::from_millis(20_500);

/// Everything that was observed of a run.
pub struct Observations<'a> {
    pub requests: &'a [ClientRequest],
    pub killed_owners: &'a [KilledOwner],
    pub stalls: &'a [Stall],
    pub endpoint: &'a Server,
    pub discovery: &'a Server,
}

impl Observations<'_> {
    /// Returns how long a request took, without the time in which the machine was stalled.
    fn response_time(&self, request: &ClientRequest) -> Duration {
        let stalled: Duration = self.stalls.iter().map(|stall| stall.overlap(request)).sum();
        (request.ended_at - request.connected_at).saturating_sub(stalled)
    }

    fn is_interrupted_by_kill(&self, request: &ClientRequest) -> bool {
        self.killed_owners.iter().any(|owner| owner.interrupted(request))
    }

    pub fn summary(&self) -> String {
        let count = |matches: &dyn Fn(&ClientRequest) -> bool| {
            self.requests.iter().filter(|request| matches(request)).count()
        };
        format!(
            "{} requests, {} rejected, {} interrupted by a kill, {} raced with a close",
            self.requests.len(),
            count(&is_rejected),
            count(&|request| self.is_interrupted_by_kill(request)),
            count(&|request| request.raced_with_close() && !self.is_interrupted_by_kill(request)),
        )
    }
}

/// Returns a description of each problem.
pub fn check(observations: &Observations) -> Vec<String> {
    let requests = observations.requests;
    let received = || observations.endpoint.received();
    let mut problems = Vec::new();
    let mut add = |problem: &str, requests: Vec<&ClientRequest>| {
        if !requests.is_empty() {
            problems.push(format!("{problem}:\n{}", timeline(requests)));
        }
    };
    let is_excused =
        |request: &ClientRequest| observations.is_interrupted_by_kill(request) || request.raced_with_close();
    let unanswered = requests.iter().filter(|request| !request.is_settled() && !is_excused(request));
    add("requests without an answer", unanswered.collect());
    let is_late = |request: &&ClientRequest| {
        request.is_settled() && observations.response_time(request) > RESPONSE_TIMEOUT
    };
    add("requests answered after the client's 400 ms", requests.iter().filter(is_late).collect());
    let accepted: Vec<&ClientRequest> = requests.iter().filter(|request| is_accepted(request)).collect();
    add("messages accepted and never completed", find_incomplete(observations, &accepted));
    let deliveries = count_deliveries(&received());
    let is_delivered = |request: &&ClientRequest| deliveries.contains_key(&request.id);
    let rejected = requests.iter().filter(|request| is_rejected(request));
    add("messages rejected and yet delivered", rejected.filter(is_delivered).collect());
    let raced = requests
        .iter()
        .filter(|request| request.raced_with_close() && !observations.is_interrupted_by_kill(request));
    add("requests closed as not read and yet delivered", raced.filter(is_delivered).collect());
    problems.extend(find_duplicate_payouts(&received()));
    problems.extend(find_reordered(&received(), &accepted));
    problems
}

fn is_accepted(request: &ClientRequest) -> bool {
    matches!(request.outcome, RequestOutcome::Answered { status: 200 | 202, .. })
}

fn is_rejected(request: &ClientRequest) -> bool {
    matches!(request.outcome, RequestOutcome::Answered { status: 503, .. })
}

/// Counts how often the endpoint received each message.
fn count_deliveries(received: &[HttpMessage]) -> BTreeMap<String, usize> {
    let mut deliveries = BTreeMap::new();
    for message in received {
        *deliveries.entry(message.request_id().to_string()).or_default() += 1;
    }
    deliveries
}

/// Returns the accepted messages that are neither delivered nor reported by a completion callback in time.
fn find_incomplete<'a>(
    observations: &Observations, accepted: &[&'a ClientRequest],
) -> Vec<&'a ClientRequest> {
    let started = Instant::now();
    loop {
        let deliveries = count_deliveries(&observations.endpoint.received());
        let callbacks: String = observations.discovery.received().iter().map(HttpMessage::text).collect();
        let is_complete =
            |id: &str| deliveries.contains_key(id) || callbacks.contains(&format!(r#""id":"{id}""#));
        let incomplete: Vec<&ClientRequest> =
            accepted.iter().copied().filter(|request| !is_complete(&request.id)).collect();
        if incomplete.is_empty() || started.elapsed() > COMPLETED_WITHIN {
            return incomplete;
        }
        sleep(Duration::from_millis(100));
    }
}

/// Returns a problem for each payout that was delivered more than once. The endpoint answers every call with 200, so no
/// payout may be sent again.
fn find_duplicate_payouts(received: &[HttpMessage]) -> Vec<String> {
    let is_payout = |id: &str| ["c0-", "c1-", "before-kill-"].iter().any(|prefix| id.starts_with(prefix));
    let duplicates = count_deliveries(received).into_iter().filter(|(id, count)| is_payout(id) && *count > 1);
    duplicates.map(|(id, count)| format!("payout {id} was delivered {count} times")).collect()
}

/// Returns a problem for each message whose first delivery is not in the order in which the messages with its key were
/// accepted.
fn find_reordered(received: &[HttpMessage], accepted: &[&ClientRequest]) -> Vec<String> {
    let accepted: BTreeSet<&str> = accepted.iter().map(|request| request.id.as_str()).collect();
    let mut problems = Vec::new();
    for caller in ["c4-", "c5-"] {
        let mut latest = 0;
        let mut delivered = BTreeSet::new();
        for id in received
            .iter()
            .map(HttpMessage::request_id)
            .filter(|id| id.starts_with(caller) && accepted.contains(id))
        {
            let number: usize = id[caller.len()..].parse().expect("a request id without a number");
            if delivered.insert(number) && number < latest {
                problems.push(format!("{id} was first delivered after {caller}{latest}"));
            }
            latest = latest.max(number);
        }
    }
    problems
}
