//! The processes of a forwarder that callers meet.
use super::{unix_time, Call, End};
use crate::stand::*;
use std::ops::RangeInclusive;
use std::thread::sleep;
use std::time::Duration;

/// The times in a log are full milliseconds.
const LOG_RESOLUTION: Duration = Duration::from_millis(1);

const LOG_READ_TIME: Duration = Duration::from_millis(20);

/// A forwarder with a management address, whose only endpoint answers each call at once.
pub fn start_first() -> Daemon {
    start_first_with(&Server::always("200 OK"))
}

/// The same with this endpoint.
pub fn start_first_with(endpoint: &Server) -> Daemon {
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
    Setup { env, max_pending: 1000, ..setup(&start_discovery(known.clone()), known) }.start()
}

/// A second process beside this one, with a management address of its own.
pub fn start_second(first: &Daemon) -> Daemon {
    first.start_second_process("RELAY_MGMT", &free_address().to_string())
}

/// A process was killed while it owned the folder: what was on its connections died with it, as in any kill.
#[derive(Clone, Debug)]
pub struct KilledOwner {
    listened_at: Duration,
    /// The kill was asked for, and the process was gone.
    killed: RangeInclusive<Duration>,
}

/// Kills a process. `Some` where it owned the folder.
pub fn kill(process: &mut Daemon) -> Option<KilledOwner> {
    let kill_asked_at = unix_time();
    process.kill();
    let killed = kill_asked_at..=unix_time();
    // Its log is read to the end by another thread.
    sleep(LOG_READ_TIME);
    KilledOwner::of(&process.log(), killed)
}

impl KilledOwner {
    /// Of a process that was killed in this time and has left this log; `None` where it never owned the folder.
    fn of(log: &str, killed: RangeInclusive<Duration>) -> Option<KilledOwner> {
        let line = log.lines().find(|line| line.contains("owner of the folder"))?;
        let seconds: f64 = line.split(' ').next()?.parse().expect("a time");
        Some(KilledOwner { listened_at: Duration::from_secs_f64(seconds), killed })
    }

    /// Whether this call went to that process.
    pub fn took_along(&self, call: &Call) -> bool {
        let is_cut = matches!(call.end, End::Reset | End::Closed);
        let listened = call.connected_at + LOG_RESOLUTION >= self.listened_at;
        is_cut && listened && call.connected_at <= *self.killed.end() && call.ended_at >= *self.killed.start()
    }
}
