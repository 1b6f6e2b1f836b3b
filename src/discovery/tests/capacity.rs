//! Tests of many watchers that poll one discovery server of limited capacity, in virtual time.
//!
//! The forwarders do not know the capacity of the server. The server is down for a while and refuses connects. After its
//! recovery it warms up and then serves one list at a time. A request that finds the queue full gets a 503, which also costs
//! the server a fraction of the work of a list. A poll that is abandoned while it waits in the queue costs the work of a whole
//! list.
//!
//! These tests and `after_an_outage_one_of_many_forwarders_applies_the_list_in_time` guard against two faults. With a backoff of
//! up to 30 s after refused connects, forwarders noticed the recovery too late. With short delays after all failures, the server
//! collapsed on the bench: each 503 was followed by another poll within 0.2 s, and a hundred forwarders received 1,756 responses
//! of 503 in a run that had none before.
//!
//! Conditions under which the bound can be kept: all N forwarders notice the recovery at random times within the probe delay P
//! (4.6 s), and each must have its list 6 s after the recovery. With R lists per second, and half as many in the first second,
//! the server needs at least N / R + 0.5 s to serve N forwarders. With a margin for random variation, the bound can be kept if
//! (N + 2 sqrt(N)) / R + 0.5 s is at most P, which leaves the time for one response. If lists have L bytes and the network
//! carries B bytes per second, R is at most B / L.
//!
//! If the bound cannot be kept, each 503 halves the rate at which the forwarders poll, until the server can bear the rate. All
//! forwarders are then served within a small multiple of the shortest possible time, and the server never stops serving.
use super::super::timing::{SHARED_PROBE_DELAY, STALENESS_BOUND};
use super::*;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// Cost of a 503 response, relative to the cost of a list.
const REFUSAL_COST: f64 = 0.1;
/// Capacity of the request queue, in seconds of serving lists.
const QUEUE_SECS: f64 = 1.5;
/// How long the server serves at half its rate after its recovery.
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// The period in which all forwarders poll once doubles until it is long enough. The last period is at most twice the necessary
/// length, and all periods before it together are at most as long again.
const MAX_SLOWDOWN: u32 = 4;

/// The capacity of the server, and the time until which it is down.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    lists_per_sec: f64,
    down_until: Duration,
}

impl Capacity {
    fn list_time(&self, at: Duration) -> Duration {
        let is_warming_up = at < self.down_until + WARM_UP_TIME;
        Duration::from_secs_f64(if is_warming_up { 2.0 } else { 1.0 } / self.lists_per_sec)
    }

    fn queue_limit(&self) -> usize {
        (self.lists_per_sec * QUEUE_SECS).ceil() as usize
    }

    /// Returns the shortest time after the recovery in which the server can serve this many forwarders.
    fn shortest_time(&self, forwarders: usize) -> Duration {
        WARM_UP_TIME / 2 + Duration::from_secs_f64(forwarders as f64 / self.lists_per_sec)
    }

    /// Returns `factor` times the smallest capacity that can keep the bound for this many forwarders.
    fn relative_to_minimum(factor: f64, forwarders: usize, down_until: Duration) -> Capacity {
        let forwarders_with_margin = forwarders as f64 + 2.0 * (forwarders as f64).sqrt();
        let minimum = forwarders_with_margin / (SHARED_PROBE_DELAY - WARM_UP_TIME / 2).as_secs_f64();
        Capacity { lists_per_sec: minimum * factor, down_until }
    }

    /// Returns the number of lists that the server can serve within the bound, less the work of refusing 1.5 polls per forwarder:
    /// each polls once, and half of them poll once more.
    fn possible_in_time(&self, forwarders: usize) -> f64 {
        let lists = (STALENESS_BOUND - WARM_UP_TIME / 2).as_secs_f64() * self.lists_per_sec;
        (lists - 1.5 * forwarders as f64 * REFUSAL_COST).max(0.0)
    }
}

/// The queue and the counters of the server.
#[derive(Default)]
struct ServerState {
    polls: usize,
    refusals: usize,
    /// The times at which the server sent a list to a forwarder that still waited for it.
    served_at: Vec<Duration>,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Outstanding work for refusals, relative to the work of a list.
    refusal_work: f64,
}

/// A discovery server of limited capacity, polled by all forwarders.
#[derive(Clone)]
struct LimitedDiscovery {
    started_at: Instant,
    capacity: Capacity,
    state: Arc<Mutex<ServerState>>,
}

impl LimitedDiscovery {
    /// Serves the queued requests one at a time until the test ends.
    async fn serve(self) {
        loop {
            let list_time = self.capacity.list_time(self.started_at.elapsed());
            let (next, refusal_work) = {
                let mut state = self.state.lock().expect("lock");
                (state.waiting.pop_front(), std::mem::take(&mut state.refusal_work))
            };
            sleep(list_time.mul_f64(refusal_work)).await;
            let Some(next) = next else {
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            sleep(list_time).await;
            if next.send(()).is_ok() {
                self.state.lock().expect("lock").served_at.push(self.started_at.elapsed());
            }
        }
    }

    /// Queues a request. The returned receiver completes when the list may be sent. Returns `None` if the queue is full.
    fn admit(&self) -> Option<oneshot::Receiver<()>> {
        let mut state = self.state.lock().expect("lock");
        if state.waiting.len() >= self.capacity.queue_limit() {
            state.refusals += 1;
            state.refusal_work += REFUSAL_COST;
            return None;
        }
        let (served_sender, served) = oneshot::channel();
        state.waiting.push_back(served_sender);
        Some(served)
    }
}

impl Connector for LimitedDiscovery {
    type Stream = DuplexStream;

    async fn connect(&self, _: &str) -> io::Result<DuplexStream> {
        if self.started_at.elapsed() < self.capacity.down_until {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        self.state.lock().expect("lock").polls += 1;
        let (client, server) = duplex(64 * 1024);
        let (started_at, admitted) = (self.started_at, self.admit());
        tokio::spawn(async move {
            match admitted {
                None => respond(server, Status("503 Full"), started_at).await,
                Some(served) => {
                    if served.await.is_ok() {
                        respond(server, list(2), started_at).await;
                    }
                }
            }
        });
        Ok(client)
    }
}

/// The result of a run.
#[derive(Debug)]
struct RunReport {
    forwarders: usize,
    capacity: Capacity,
    /// For each forwarder, the time from the recovery until it applied the list, or `None` if it did not during the run.
    applied_after: Vec<Option<Duration>>,
    polls: usize,
    refusals: usize,
    /// The longest time after the recovery in which no list was served, up to the last list served.
    longest_service_pause: Duration,
}

impl RunReport {
    fn applied_within(&self, bound: Duration) -> usize {
        self.applied_after.iter().flatten().filter(|after| **after <= bound).count()
    }

    /// Returns the time from the recovery until all forwarders had applied the list.
    fn all_applied_after(&self) -> Option<Duration> {
        self.applied_after.iter().copied().collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

impl std::fmt::Display for RunReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Capacity { lists_per_sec, down_until } = self.capacity;
        let in_time = self.applied_within(STALENESS_BOUND);
        write!(
            f,
            "{} forwarders, {lists_per_sec:.0} lists/s, down {down_until:?}: {in_time} applied the list within 6 s, all after \
             {:?} (shortest possible time {:?}); {} polls, {} refused, longest pause in service {:?}",
            self.forwarders,
            self.all_applied_after(),
            self.capacity.shortest_time(self.forwarders),
            self.polls,
            self.refusals,
            self.longest_service_pause
        )
    }
}

/// The longest duration of a run after the recovery.
const MAX_RUN_TIME: Duration = Duration::from_secs(240);

/// Runs this many forwarders, which all start with an old list while the server is down. Ends when all have applied the new
/// list.
async fn run_forwarders(seed: u64, forwarders: usize, capacity: Capacity) -> RunReport {
    let started_at = Instant::now();
    let discovery = LimitedDiscovery { started_at, capacity, state: Arc::default() };
    tokio::spawn(discovery.clone().serve());
    let applied = Arc::new(Mutex::new(vec![None; forwarders]));
    for number in 0..forwarders {
        let (address_sender, address) = watch::channel(OLD_ADDRESS.to_string());
        let backoff = Backoff::new(forwarders, Pollers::Many.max_backoff(), seed * 10_000 + number as u64);
        let start =
            WatchStart { version: 1, can_serve: true, pollers: Pollers::Many, max_list_bytes: 4 << 20 };
        let applied = applied.clone();
        let watcher = Watcher::new(discovery.clone(), address, start, backoff).run(move |_, update| {
            applied.lock().expect("lock")[number].get_or_insert(started_at.elapsed());
            update.revision
        });
        tokio::spawn(async move {
            watcher.await;
            drop(address_sender);
        });
    }
    while started_at.elapsed() < capacity.down_until + MAX_RUN_TIME {
        sleep(Duration::from_secs(1)).await;
        if applied.lock().expect("lock").iter().all(Option::is_some) {
            break;
        }
    }
    let state = discovery.state.lock().expect("lock");
    let applied = applied.lock().expect("lock");
    RunReport {
        forwarders,
        capacity,
        applied_after: applied.iter().map(|at| at.map(|at: Duration| at - capacity.down_until)).collect(),
        polls: state.polls,
        refusals: state.refusals,
        longest_service_pause: longest_service_pause(&state.served_at, capacity.down_until),
    }
}

fn longest_service_pause(served_at: &[Duration], recovered_at: Duration) -> Duration {
    let mut previous = recovered_at;
    let mut longest = Duration::ZERO;
    for served in served_at {
        longest = longest.max(*served - previous);
        previous = *served;
    }
    longest
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn all_forwarders_apply_the_list_in_time_if_discovery_can_serve_them(
    #[values(20, 100, 300, 900)] forwarders: usize, #[values(8, 20)] down_secs: u64,
    #[values(1.0, 1.3, 2.0, 8.0)] capacity_factor: f64,
) {
    let capacity = Capacity::relative_to_minimum(capacity_factor, forwarders, Duration::from_secs(down_secs));
    for seed in 0..3 {
        let report = run_forwarders(seed, forwarders, capacity).await;
        println!("{report}");
        assert_eq!(report.applied_within(STALENESS_BOUND), forwarders, "seed {seed}: {report}");
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn overloaded_discovery_still_serves_all_forwarders_within_a_multiple_of_the_shortest_time(
    #[values(20, 100, 300, 900)] forwarders: usize, #[values(8, 20)] down_secs: u64,
    #[values(0.1, 0.3, 0.6)] capacity_factor: f64,
) {
    let capacity = Capacity::relative_to_minimum(capacity_factor, forwarders, Duration::from_secs(down_secs));
    for seed in 0..3 {
        let report = run_forwarders(seed, forwarders, capacity).await;
        println!("{report}");
        let allowed = SHARED_PROBE_DELAY + capacity.shortest_time(forwarders) * MAX_SLOWDOWN;
        let elapsed = report.all_applied_after();
        assert!(
            elapsed.is_some_and(|elapsed| elapsed <= allowed),
            "seed {seed}, at most {allowed:?}: {report}"
        );
        let possible = capacity.possible_in_time(forwarders);
        let in_time = report.applied_within(STALENESS_BOUND) as f64;
        assert!(in_time >= possible / 2.0, "seed {seed}, possible {possible:.0}: {report}");
    }
}
