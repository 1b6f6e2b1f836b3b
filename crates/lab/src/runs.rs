//! One run: a fleet that starts, and then one fault after another, each from a fleet that has settled; how long it took
//! to settle again. A run is one seed at one size and one loss.
use crate::net::{Net, Weather};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longer than anything may take.
const WITHIN: Duration = Duration::from_secs(120);
/// A cut lasts so long: all that can be taken for dead is.
const CUT: Duration = Duration::from_secs(20);
/// Between the last fault and the quiet time.
const REST: Duration = Duration::from_secs(60);
/// Whoever stands still does so for this long.
const STILL: Duration = Duration::from_secs(8);

/// What happens to a fleet that has settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// All start within a second.
    Start,
    /// One more comes.
    Join,
    /// One is told to end.
    Leave,
    /// One is killed.
    Crash,
    /// It comes back.
    Back,
    /// A clean cut in halves is healed.
    Cut,
    /// A third hears the others and is not heard: healed.
    OneWay,
    /// A cut is healed while a tenth of each side starts anew.
    CutRestart,
    /// Half stand still for 8 s and go on.
    Still,
    /// All are killed and start again within a second, without their seeds.
    Whole,
}

/// All of them, in the order in which a run has them.
pub const ALL: [Fault; 10] = [
    Fault::Start,
    Fault::Join,
    Fault::Leave,
    Fault::Crash,
    Fault::Back,
    Fault::Cut,
    Fault::OneWay,
    Fault::CutRestart,
    Fault::Still,
    Fault::Whole,
];

/// What a run is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub members: usize,
    /// Percent of the datagrams that are lost.
    pub loss: u32,
    pub seed: u64,
    /// Quiet seconds, in which bytes and false deaths are counted.
    pub calm: u64,
    /// In the quiet time one after another stands still for 2 s.
    pub stops: bool,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub plan: Plan,
    /// Seconds until all had the same view again, none if they never had.
    pub settled: Vec<(Fault, Option<f64>)>,
    /// In the quiet time: bytes a second that a member sent, on the average and the most.
    pub bytes: f64,
    pub bytes_most: f64,
    /// In the quiet time, per hour.
    pub suspicions_an_hour: f64,
    pub false_deaths_an_hour: f64,
}

/// Plays a plan; `only` those faults (the start is always one).
pub fn play(plan: Plan, only: &[Fault]) -> Record {
    let mut net = Net::new(plan.seed, plan.members, &[0, 1]);
    net.weather =
        Weather { lost: f64::from(plan.loss) / 100.0, doubled: 0.01, jitter: Duration::from_millis(2) };
    let mut settled = Vec::new();
    for fault in ALL.into_iter().filter(|f| *f == Fault::Start || only.contains(f)) {
        let took = cause(&mut net, &plan, fault);
        settled.push((fault, took.map(|t| t.as_secs_f64())));
    }
    // What the last fault has left to tell is told by then.
    net.run_for(REST);
    let (bytes, suspicions, deaths) = (net.bytes.clone(), net.suspicions(), net.false_deaths());
    let all = net.running();
    let calm = Duration::from_secs(plan.calm);
    let until = net.now + calm;
    let mut turn = 0;
    while net.now < until {
        match plan.stops {
            true => {
                let n = all[turn % all.len()];
                net.stop(n);
                net.run_for(Duration::from_secs(2));
                net.go_on(n);
                net.run_for(Duration::from_secs(8));
                turn += 1;
            }
            false => net.run_to(until),
        }
    }
    let secs = calm.as_secs_f64().max(1.0);
    let sent: Vec<f64> = all.iter().map(|n| (net.bytes[*n] - bytes[*n]) as f64 / secs).collect();
    let an_hour = |count: u64| count as f64 * 3600.0 / secs;
    Record {
        plan,
        settled,
        bytes: sent.iter().sum::<f64>() / sent.len().max(1) as f64,
        bytes_most: sent.iter().copied().fold(0.0, f64::max),
        suspicions_an_hour: an_hour(net.suspicions() - suspicions),
        false_deaths_an_hour: an_hour(net.false_deaths() - deaths),
    }
}

/// Causes one fault and waits until all have one view again: counted from the moment from which they could.
fn cause(net: &mut Net, plan: &Plan, fault: Fault) -> Option<Duration> {
    let n = plan.members;
    let all: Vec<usize> = (0..n).collect();
    let (half, third) = (n / 2, (n / 3).max(1));
    // One that a crash has ended is back before anything else happens.
    if fault != Fault::Start && !net.running().contains(&(n - 1)) {
        net.start(n - 1, false);
        if fault != Fault::Back {
            net.until_settled(&all, WITHIN)?;
        }
    }
    match fault {
        Fault::Start => {
            for m in &all {
                net.start(*m, false);
                net.run_for(Duration::from_secs(1) / n as u32);
            }
        }
        Fault::Join => {
            net.start(n, false);
            let took = net.until_settled(&(0..=n).collect::<Vec<_>>(), WITHIN);
            net.terminate(n);
            net.until_settled(&all, WITHIN)?;
            return took;
        }
        Fault::Leave => {
            net.terminate(n - 1);
            let took = net.until_settled(&all[..n - 1], WITHIN);
            net.start(n - 1, false);
            net.until_settled(&all, WITHIN)?;
            return took;
        }
        Fault::Crash => {
            net.kill(n - 1);
            return net.until_settled(&all[..n - 1], WITHIN);
        }
        // It was started above.
        Fault::Back => {}
        Fault::Cut => {
            net.cut_apart(&all[..half], &all[half..]);
            net.run_for(CUT);
            net.heal();
        }
        Fault::OneWay => {
            net.cut_one_way(&all[..third], &all[third..]);
            net.run_for(CUT);
            net.heal();
        }
        Fault::CutRestart => {
            net.cut_apart(&all[..half], &all[half..]);
            net.run_for(CUT);
            let some: Vec<usize> = all.iter().copied().filter(|m| m % 10 == 3 || n < 10 && *m == 1).collect();
            some.iter().for_each(|m| net.kill(*m));
            net.heal();
            net.run_for(Duration::from_millis(200));
            some.iter().for_each(|m| net.start(*m, false));
        }
        Fault::Still => {
            all[..half].iter().for_each(|m| net.stop(*m));
            net.run_for(STILL);
            all[..half].iter().for_each(|m| net.go_on(*m));
        }
        Fault::Whole => {
            all.iter().for_each(|m| net.kill(*m));
            // Its seeds stay dead until the others have found each other.
            let rest = &all[2.min(n - 1)..];
            for m in rest {
                net.start(*m, false);
                net.run_for(Duration::from_millis(500) / n as u32);
            }
            let took = net.until_settled(rest, WITHIN);
            all[..2.min(n - 1)].iter().for_each(|m| net.start(*m, false));
            net.until_settled(&all, WITHIN)?;
            return took;
        }
    }
    net.until_settled(&all, WITHIN)
}
