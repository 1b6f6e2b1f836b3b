//! `micaladder-lab`: the shipped decisions in virtual time.
#![forbid(unsafe_code)]
use clap::{Parser, Subcommand};
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use micaladder_lab::report;
use micaladder_lab::runs::{play, Fault, Plan, Record, ALL};
use rayon::prelude::*;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;

/// Micaladder's shipped decisions in virtual time, at sizes that processes do not reach.
#[derive(Parser)]
#[command(name = "micaladder-lab", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays faults on fleets of several sizes, and writes records and a report.
    ///
    /// Each run is one seed at one size and one loss: a fleet starts, then meets one fault after another, each once it
    /// has settled; then a quiet time is counted.
    Fleet(Fleet),
}

#[derive(clap::Args)]
struct Fleet {
    /// Membership, one fleet of each size (3 to 3000).
    #[arg(long, value_delimiter = ',', default_value = "3,12,50", value_parser = clap::value_parser!(u64).range(3..=3000))]
    members: Vec<u64>,
    /// Percent of the datagrams that are lost.
    #[arg(long, value_delimiter = ',', default_value = "0,5,15", value_parser = clap::value_parser!(u32).range(0..=90))]
    loss: Vec<u32>,
    /// Seeds: 1 up to this one.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Play this seed alone: for a run that failed.
    #[arg(long, conflicts_with = "seeds")]
    seed: Option<u64>,
    /// Faults; all if none is named.
    #[arg(long, value_delimiter = ',')]
    faults: Vec<Fault>,
    /// Quiet seconds at the end of each run.
    #[arg(long, default_value_t = 300)]
    calm: u64,
    /// In the quiet time one after another stands still for 2 s, and 8 s pass between.
    #[arg(long)]
    stops: bool,
    /// Folder for `runs.jsonl` (a record a line), `report.html` and its plots.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
}

fn main() -> ExitCode {
    let Command::Fleet(said) = Line::parse().command;
    match fleet(&said) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn file(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), String> {
    let path = folder.join(name);
    std::fs::write(&path, bytes).map_err(|e| format!("{}: {e}", path.display()))
}

/// Whether each fleet settled after each fault.
fn fleet(said: &Fleet) -> Result<bool, String> {
    let out = &said.out;
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let lines = out.join("runs.jsonl");
    let lines = File::create(&lines).map_err(|e| format!("{}: {e}", lines.display()))?;
    let lines = Mutex::new(lines);
    let faults = if said.faults.is_empty() { ALL.to_vec() } else { said.faults.clone() };
    let seeds = match said.seed {
        Some(one) => one..=one,
        None => 1..=said.seeds,
    };
    let mut plans = Vec::new();
    // The longest first: none of them is left alone at the end.
    let mut sizes = said.members.clone();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    for members in sizes {
        for loss in &said.loss {
            plans.extend(seeds.clone().map(|seed| Plan {
                members: members as usize,
                loss: *loss,
                seed,
                calm: said.calm,
                stops: said.stops,
            }));
        }
    }
    let bar = ProgressBar::new(plans.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {bar:40} {pos}/{len} runs, {eta} left")
    {
        bar.set_style(style);
    }
    let records: Result<Vec<Record>, String> = plans
        .into_par_iter()
        .progress_with(bar)
        .map(|plan| {
            let record = play(plan, &faults);
            let text = serde_json::to_string(&record).map_err(|e| e.to_string())? + "\n";
            let mut lines = lines.lock().map_err(|e| e.to_string())?;
            lines.write_all(text.as_bytes()).map_err(|e| e.to_string())?;
            Ok(record)
        })
        .collect();
    let records = records?;
    let rows = report::rows(&records);
    print!("{}", report::table(&rows));
    for (name, plot) in report::plots(&rows)? {
        file(out, &name, plot.as_bytes())?;
    }
    file(out, "report.html", report::page(&rows)?.as_bytes())?;
    println!("{}: runs.jsonl, report.html", out.display());
    let failed: Vec<&Record> = records.iter().filter(|r| r.settled.iter().any(|s| s.1.is_none())).collect();
    for record in &failed {
        let Plan { members, loss, seed, .. } = record.plan;
        eprintln!("never settled: --members {members} --loss {loss} --seed {seed}");
    }
    Ok(failed.is_empty())
}
