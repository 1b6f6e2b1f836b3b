//! Tests of `report`.
use super::*;
use crate::runs::Plan;

fn record(seed: u64, secs: Option<f64>) -> Record {
    Record {
        plan: Plan { members: 3, loss: 5, seed, calm: 1, stops: false },
        settled: vec![(Fault::Crash, secs)],
        bytes: 100.0,
        bytes_most: 110.0,
        suspicions_an_hour: 0.0,
        false_deaths_an_hour: 0.0,
    }
}

#[test]
fn a_run_that_never_settled_is_counted_and_not_passed_over() {
    let rows = rows(&[record(1, Some(1.0)), record(2, Some(3.0)), record(3, None), record(4, Some(2.0))]);
    let crash = rows.iter().find(|r| r.what == "crash (s)").expect("a row");
    assert_eq!((crash.least, crash.middle, crash.most, crash.runs, crash.never), (1.0, 2.0, 3.0, 4, 1));
    assert!(page(&rows).expect("a page").contains("class=\"never\""));
    assert!(table(&rows).contains("crash (s)"));
    assert!(plots(&rows)
        .expect("plots")
        .iter()
        .any(|(name, svg)| name == "crash--s.svg" && svg.contains("<svg")));
}
