//! The processes of a forwarder that serve the callers.
use super::{unix_time, ClientRequest, RequestOutcome};
use crate::stand::*;
use std::ops::RangeInclusive;
use std::thread::sleep;
use std::time::Duration;

/// Resolution of the timestamps in a log.
const LOG_RESOLUTION: Duration = Duration::from_millis(1);

/// Time for the thread that reads the log of a killed process to reach its end.
const LOG_READ_TIME: Duration = Duration::from_millis(20);

/// Starts a forwarder with a management address; its only endpoint answers each call at once.
pub fn start_first() -> Daemon {
    start_first_with(&Server::always("200 OK"))
}

/// Starts a forwarder with a management address and this endpoint.
pub fn start_first_with(endpoint: &Server) -> Daemon {
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
    Setup { env, max_pending: 1000, ..setup(&start_discovery(known.clone()), known) }.start()
}

/// Starts a second process beside the first one, with another management address.
pub fn start_second(first: &Daemon) -> Daemon {
    first.start_second_process("RELAY_MGMT", &free_address().to_string())
}

/// A process that was killed while it owned the folder. The kill also ends the requests on its connections.
#[derive(Clone, Debug)]
pub struct KilledOwner {
    /// When the process began to listen, in Unix time.
    listened_at: Duration,
    /// From just before the signal was sent until the process had ended.
    killed: RangeInclusive<Duration>,
}

/// Kills a process; returns `Some` if it had owned the folder.
pub fn kill(process: &mut Daemon) -> Option<KilledOwner> {
    let signal_sent_at = unix_time();
    process.kill();
    let killed = signal_sent_at..=unix_time();
    sleep(LOG_READ_TIME);
    KilledOwner::from_log(&process.log(), killed)
}

impl KilledOwner {
    /// Reads from the log of a killed process when it began to listen; returns `None` if it never owned the folder.
    fn from_log(log: &str, killed: RangeInclusive<Duration>) -> Option<KilledOwner> {
        let line = log.lines().find(|line| line.contains("owner of the folder"))?;
        let seconds: f64 = line.split(' ').next()?.parse().expect("a log line without a timestamp");
        Some(KilledOwner { listened_at: Duration::from_secs_f64(seconds), killed })
    }

    /// Returns whether the kill may have interrupted this request: the process listened when the request began, the
    /// connection ended without a response, and the request overlaps the kill.
    pub fn interrupted(&self, request: &ClientRequest) -> bool {
        let is_cut = matches!(request.outcome, RequestOutcome::Reset | RequestOutcome::Closed);
        let listened = request.connected_at + LOG_RESOLUTION >= self.listened_at;
        is_cut
            && listened
            && request.connected_at <= *self.killed.end()
            && request.ended_at >= *self.killed.start()
    }
}
