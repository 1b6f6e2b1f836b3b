//! Tests of `report`.
use super::*;
use crate::scenario::{QuietTime, RunConfig};

fn result(seed: u64, secs: Option<f64>) -> RunResult {
    let quiet_time = QuietTime::Undisturbed;
    RunResult {
        config: RunConfig { members: 3, loss_percent: 5, seed, quiet_secs: 1, quiet_time },
        settle_secs: vec![(Fault::Crash, secs)],
        bytes_per_sec: 100.0,
        max_bytes_per_sec: 110.0,
        suspicions_per_hour: 0.0,
        false_deaths_per_hour: 0.0,
    }
}

#[test]
fn summarizes_a_fault_and_counts_runs_that_never_settled() {
    let results = [result(1, Some(1.0)), result(2, Some(3.0)), result(3, None), result(4, Some(2.0))];
    let rows = summarize(&results);
    let crash =
        rows.iter().find(|row| row.figure == "crash (s)").expect("the summary has a row for the crash");
    assert_eq!((crash.min, crash.median, crash.max), (1.0, 2.0, 3.0));
    assert_eq!((crash.runs, crash.never_settled), (4, 1));
    assert!(page(&rows).expect("the page is rendered").contains("class=\"never\""));
    assert!(table(&rows).contains("crash (s)"));
    let plots = plots(&rows).expect("the plots are drawn");
    assert!(plots.iter().any(|plot| plot.file_name == "crash--s.svg" && plot.svg.contains("<svg")));
}
