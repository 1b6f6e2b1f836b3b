//! Detects stalls of the machine: a thread that sleeps for some milliseconds wakes up much later.
use crate::callers::{unix_time, ClientRequest};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::Duration;

const SLEEP_TIME: Duration = Duration::from_millis(5);
/// How much longer than `SLEEP_TIME` a sleep takes during a stall.
const MIN_STALL: Duration = Duration::from_millis(50);

/// A period in which the machine was stalled, in Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    from: Duration,
    to: Duration,
}

impl Stall {
    /// Returns how much of the stall falls within a request.
    pub fn overlap(&self, request: &ClientRequest) -> Duration {
        self.to.min(request.ended_at).saturating_sub(self.from.max(request.connected_at))
    }
}

/// A thread that records the stalls of the machine.
pub struct StallDetector {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Stall>>,
}

impl StallDetector {
    pub fn start() -> StallDetector {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            let mut stalls = Vec::new();
            while !stop_requested.load(Ordering::Relaxed) {
                let from = unix_time();
                sleep(SLEEP_TIME);
                let to = unix_time();
                if to - from > SLEEP_TIME + MIN_STALL {
                    stalls.push(Stall { from, to });
                }
            }
            stalls
        });
        StallDetector { stop, thread }
    }

    pub fn stop(self) -> Vec<Stall> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the stall detector panicked")
    }
}
