//! Checks liveness under every fair schedule: in each round every process polls at least once, and may poll several times
//! before the other one does.
//!
//! Guards against issue 48: the predecessor took the released journal back, because it tried the owner's lock immediately
//! after the release while the successor polled every 20 ms, and the lock was not reserved for the successor. The
//! predecessor released the journal and served again every 80 ms, up to 25 times, and the successor never served. In the
//! model, that is the schedule in which the first process polls three times between two polls of the second in each round.
use super::model::{Elapsed, InjectedFault, Outcome, Process, World};
use micaladder::takeover::state::State;
use std::collections::HashSet;

/// Maximum number of polls of one process in a round.
const MAX_POLLS: usize = 4;
/// Number of rounds within which a takeover completes: the first process sees the request, drains and releases the journal,
/// and the second one starts to serve.
const ROUNDS: usize = 4;

/// A state of the model, and how often each process has released the journal on the path to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    fault: InjectedFault,
    world: World,
    releases: [u8; 2],
}

/// Number of polls of each process in a round so far.
type Polls = [usize; 2];

impl Run {
    fn starting_at(world: World) -> Run {
        Run { fault: InjectedFault::None, world, releases: [0; 2] }
    }

    fn poll(&mut self, p: usize) {
        let before = self.world.processes[p].takeover.state;
        self.world.poll(self.fault, p, Elapsed::Drain);
        let after = self.world.processes[p].takeover.state;
        self.releases[p] += u8::from(before != after && after == State::Released);
    }
}

/// Returns all runs that one further round can lead to from any of `runs`. Each process in `live` polls at least once.
fn after_round(runs: &HashSet<Run>, live: &[usize]) -> HashSet<Run> {
    let mut seen: HashSet<(Run, Polls)> = runs.iter().map(|run| (run.clone(), [0, 0])).collect();
    let mut unexplored: Vec<_> = seen.iter().cloned().collect();
    let mut end_runs = HashSet::new();
    while let Some((run, polls)) = unexplored.pop() {
        if live.iter().all(|p| polls[*p] > 0) {
            end_runs.insert(run.clone());
        }
        for p in live.iter().copied().filter(|p| polls[*p] < MAX_POLLS) {
            let mut next = (run.clone(), polls);
            next.0.poll(p);
            next.1[p] += 1;
            if seen.insert(next.clone()) {
                unexplored.push(next);
            }
        }
    }
    end_runs
}

/// Returns all runs that this number of rounds can lead to from `start`.
fn after_rounds(start: Run, rounds: usize, live: &[usize]) -> HashSet<Run> {
    (0..rounds).fold(HashSet::from([start]), |runs, _| after_round(&runs, live))
}

/// Returns a state in which the first process serves and the second one has just started.
fn with_starting_successor() -> World {
    let mut world = World::new();
    world.poll(InjectedFault::None, 0, Elapsed::Drain);
    assert!(world.processes[0].accepts());
    world.processes[1] = Process::started(true);
    world
}

#[test]
fn a_successor_that_requests_the_folder_serves_under_every_fair_schedule() {
    for run in after_rounds(Run::starting_at(with_starting_successor()), ROUNDS, &[0, 1]) {
        assert!(
            run.world.processes[1].accepts(),
            "the successor does not serve after {ROUNDS} rounds: {run:#?}"
        );
        assert_eq!(run.releases, [1, 0], "the journal is released once: {run:#?}");
    }
}

#[test]
fn a_predecessor_serves_again_under_every_fair_schedule_after_its_successor_is_killed() {
    for rounds in 0..=ROUNDS {
        for mut run in after_rounds(Run::starting_at(with_starting_successor()), rounds, &[0, 1]) {
            run.world.kill(1);
            for run in after_rounds(run, ROUNDS, &[0]) {
                assert!(run.world.processes[0].accepts(), "killed after {rounds} rounds: {run:#?}");
            }
        }
    }
}

/// The call of the first process ends only after the second one serves.
#[test]
fn a_successor_serves_while_its_predecessor_has_a_call_in_flight() {
    let mut world = with_starting_successor();
    world.accept(0, 0);
    world.send(0, 0);
    for mut run in after_rounds(Run::starting_at(world), ROUNDS, &[0, 1]) {
        assert!(run.world.processes[1].accepts() && run.world.processes[0].has_calls_in_flight(), "{run:#?}");
        run.world.finish(0, 0, Outcome::Delivered).expect("the call is in flight");
        for run in after_rounds(run, ROUNDS, &[0, 1]) {
            assert!(
                run.world.processes[1].accepts(),
                "the predecessor took the journal back from a serving successor: {run:#?}"
            );
            assert_eq!(run.releases, [1, 0], "{run:#?}");
        }
    }
}

/// The successor is killed while the call is in flight. The first process serves again without waiting for the call to end.
#[test]
fn a_predecessor_serves_again_while_a_call_from_before_its_release_is_in_flight() {
    let mut world = with_starting_successor();
    world.accept(0, 0);
    world.send(0, 0);
    for rounds in 0..=ROUNDS {
        for mut run in after_rounds(Run::starting_at(world.clone()), rounds, &[0, 1]) {
            run.world.kill(1);
            for run in after_rounds(run, ROUNDS, &[0]) {
                assert!(run.world.processes[0].accepts(), "killed after {rounds} rounds: {run:#?}");
            }
        }
    }
}

#[test]
fn a_predecessor_that_reacquires_the_released_journal_keeps_its_successor_from_serving() {
    let fault = InjectedFault::ReleasedJournalReacquired;
    let runs = after_rounds(Run { fault, ..Run::starting_at(with_starting_successor()) }, ROUNDS, &[0, 1]);
    assert!(runs.iter().any(|run| !run.world.processes[1].accepts()));
}
