//! The operations on the processes in a run, drawn from its seed.
use rand::rngs::StdRng;
use rand::Rng;
use std::time::Duration;

/// An operation on the processes of the forwarder.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    /// Sends SIGHUP.
    Reload,
    /// A second process takes over, then the first one receives SIGTERM.
    TakeOver,
    /// A second process is killed this time after its start.
    KillSuccessor(Duration),
    /// A second process receives SIGTERM this time after its start.
    TerminateSuccessor(Duration),
    /// The first process receives SIGTERM this time after a second one was started.
    TerminateDuringTakeover(Duration),
    /// A second process takes over and a third one takes over from it before the first two receive SIGTERM.
    TakeOverTwice,
    /// The process receives SIGHUP, SIGTERM and SIGTERM; the next one is started when it has exited.
    Restart,
    /// The process is killed right after a response that accepts a message; the next one is started at once.
    Kill,
}

/// Number of operations in a run.
const OPERATIONS_PER_RUN: usize = 5;

pub fn draw(random: &mut StdRng) -> Vec<Operation> {
    (0..OPERATIONS_PER_RUN).map(|_| draw_one(random)).collect()
}

fn draw_one(random: &mut StdRng) -> Operation {
    let delay = Duration::from_millis(random.random_range(0..250));
    match random.random_range(0..10) {
        0 => Operation::Reload,
        1 | 2 => Operation::TakeOver,
        3 | 4 => Operation::KillSuccessor(delay),
        5 => Operation::TerminateSuccessor(delay),
        6 => Operation::TerminateDuringTakeover(delay),
        7 => Operation::TakeOverTwice,
        8 => Operation::Restart,
        _ => Operation::Kill,
    }
}
