//! What holds of a run, seen from outside.
use crate::callers::processes::KilledOwner;
use crate::callers::{timeline, Call, End};
use crate::stalls::Stall;
use crate::stand::{HttpMessage, Server};
use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A client of the platform waits so long for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// A message has ended half a second after its time at the latest; callers give theirs 20 s.
const DELIVERED_WITHIN: Duration = Duration::from_millis(20_500);

/// All that was seen of a run.
pub struct Seen<'a> {
    pub calls: &'a [Call],
    pub killed_owners: &'a [KilledOwner],
    pub stalls: &'a [Stall],
    pub endpoint: &'a Server,
    pub discovery: &'a Server,
}

impl Seen<'_> {
    /// The time of a call, without that in which the machine stood still.
    fn time_of(&self, call: &Call) -> Duration {
        let stalled: Duration = self.stalls.iter().map(|stall| stall.share_of(call)).sum();
        (call.ended_at - call.connected_at).saturating_sub(stalled)
    }

    fn died_with_a_process(&self, call: &Call) -> bool {
        self.killed_owners.iter().any(|owner| owner.took_along(call))
    }

    pub fn summary(&self) -> String {
        let count = |fits: &dyn Fn(&Call) -> bool| self.calls.iter().filter(|call| fits(call)).count();
        format!(
            "{} calls, {} turned away, {} died with a killed process, {} crossed a close",
            self.calls.len(),
            count(&|call| matches!(call.end, End::Answered { status: 503, .. })),
            count(&|call| self.died_with_a_process(call)),
            count(&|call| call.crossed_a_close() && !self.died_with_a_process(call)),
        )
    }
}

/// What is wrong, a text each.
pub fn check(seen: &Seen) -> Vec<String> {
    let mut problems = Vec::new();
    let mut add = |what: &str, calls: Vec<&Call>| {
        if !calls.is_empty() {
            problems.push(format!("{what}:\n{}", timeline(calls)));
        }
    };
    let excused = |call: &Call| seen.died_with_a_process(call) || call.crossed_a_close();
    let unanswered = seen.calls.iter().filter(|call| !call.is_settled() && !excused(call));
    add("without an answer", unanswered.collect());
    let late = |call: &&Call| call.is_settled() && seen.time_of(call) > ANSWER_TIMEOUT;
    add("answered after the client's 400 ms", seen.calls.iter().filter(late).collect());
    let accepted: Vec<&Call> = seen.calls.iter().filter(|call| is_accepted(call)).collect();
    add("taken on, and never ended", never_ended(seen, &accepted));
    let runs = runs(&seen.endpoint.received());
    let ran = |call: &&Call| runs.contains_key(&call.id);
    let rejected = seen.calls.iter().filter(|call| matches!(call.end, End::Answered { status: 503, .. }));
    add("turned away, and run", rejected.filter(ran).collect());
    let crossed = seen.calls.iter().filter(|call| call.crossed_a_close() && !seen.died_with_a_process(call));
    add("closed on as not read, and run", crossed.filter(ran).collect());
    problems.extend(ran_twice(&seen.endpoint.received()));
    problems.extend(out_of_order(&seen.endpoint.received(), &accepted));
    problems
}

fn is_accepted(call: &Call) -> bool {
    matches!(call.end, End::Answered { status: 200 | 202, .. })
}

/// How often each message was heard.
fn runs(heard: &[HttpMessage]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for message in heard {
        *runs.entry(message.request_id().to_string()).or_default() += 1;
    }
    runs
}

/// Of these, the ones that neither ran nor had a callback with another end.
fn never_ended<'a>(seen: &Seen, accepted: &[&'a Call]) -> Vec<&'a Call> {
    let begun = Instant::now();
    loop {
        let runs = runs(&seen.endpoint.received());
        let callbacks: String = seen.discovery.received().iter().map(HttpMessage::text).collect();
        let has_ended = |id: &str| runs.contains_key(id) || callbacks.contains(&format!(r#""id":"{id}""#));
        let open: Vec<&Call> = accepted.iter().copied().filter(|call| !has_ended(&call.id)).collect();
        if open.is_empty() || begun.elapsed() > DELIVERED_WITHIN {
            return open;
        }
        sleep(Duration::from_millis(100));
    }
}

/// Payouts are heard once at most: the endpoint has answered each of them with a delivery.
fn ran_twice(heard: &[HttpMessage]) -> Vec<String> {
    let is_payout = |id: &str| ["c0-", "c1-", "before-kill-"].iter().any(|prefix| id.starts_with(prefix));
    let twice = runs(heard).into_iter().filter(|(id, count)| is_payout(id) && *count > 1);
    twice.map(|(id, count)| format!("payout {id} ran {count} times")).collect()
}

/// Messages of one key are first heard in the order in which they were taken on.
fn out_of_order(heard: &[HttpMessage], accepted: &[&Call]) -> Vec<String> {
    let accepted: BTreeSet<&str> = accepted.iter().map(|call| call.id.as_str()).collect();
    let mut problems = Vec::new();
    for caller in ["c4-", "c5-"] {
        let mut latest = 0;
        let mut known = BTreeSet::new();
        for id in heard
            .iter()
            .map(HttpMessage::request_id)
            .filter(|id| id.starts_with(caller) && accepted.contains(id))
        {
            let number: usize = id[caller.len()..].parse().expect("a number");
            if known.insert(number) && number < latest {
                problems.push(format!("{id} was first heard after {caller}{latest}"));
            }
            latest = latest.max(number);
        }
    }
    problems
}
