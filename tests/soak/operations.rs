//! What is done to the processes in a run, drawn from its seed.
use rand::rngs::StdRng;
use rand::Rng;
use std::time::Duration;

/// One operation.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    /// SIGHUP.
    Reload,
    /// A second process takes over, and the first is told to end.
    TakeOver,
    /// A second process is killed so long after its start.
    KillSuccessor(Duration),
    /// A second process is told to end so long after its start.
    TerminateSuccessor(Duration),
    /// The first process is told to end so long after a second one has been started.
    TerminateDuringTakeover(Duration),
    /// A second process takes over, and a third one from it, before the first is told to end.
    TakeOverTwice,
    /// SIGHUP, SIGTERM and SIGTERM; the next process is started when it has ended.
    Restart,
    /// SIGKILL right behind an answer that takes a message on; the next process is started at once.
    Kill,
}

/// Operations of one run.
const OPERATIONS: usize = 5;

pub fn draw(random: &mut StdRng) -> Vec<Operation> {
    (0..OPERATIONS).map(|_| draw_one(random)).collect()
}

fn draw_one(random: &mut StdRng) -> Operation {
    let moment = Duration::from_millis(random.random_range(0..250));
    match random.random_range(0..10) {
        0 => Operation::Reload,
        1 | 2 => Operation::TakeOver,
        3 | 4 => Operation::KillSuccessor(moment),
        5 => Operation::TerminateSuccessor(moment),
        6 => Operation::TerminateDuringTakeover(moment),
        7 => Operation::TakeOverTwice,
        8 => Operation::Restart,
        _ => Operation::Kill,
    }
}
