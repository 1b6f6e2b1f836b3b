//! `micaladder-lab`: runs the shipped fleet code in virtual time.
#![forbid(unsafe_code)]
use clap::{Parser, Subcommand};
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use micaladder_lab::error::LabError;
use micaladder_lab::report;
use micaladder_lab::scenario::{run, Fault, QuietTime, RunConfig, RunResult, ALL_FAULTS};
use rayon::prelude::*;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;

/// Exit code if the lab itself fails. Exit code 1 means that a fleet has not settled.
const LAB_FAILED: u8 = 2;

/// Runs Micaladder's shipped fleet code in virtual time, in larger fleets than real processes allow.
#[derive(Parser)]
#[command(name = "micaladder-lab", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates faults in fleets of several sizes, and writes the results and a report.
    ///
    /// Each run has one seed, one fleet size and one loss rate. A fleet starts, and each fault is injected once the fleet
    /// has settled after the previous one. In the quiet time at the end, traffic and false deaths are measured.
    Fleet(FleetOptions),
}

#[derive(clap::Args)]
struct FleetOptions {
    /// Sizes of the fleets, in members (3 to 3000).
    #[arg(long, value_delimiter = ',', default_value = "3,12,50", value_parser = clap::value_parser!(u64).range(3..=3000))]
    members: Vec<u64>,
    /// Percentages of the datagrams that are lost (0 to 90).
    #[arg(long, value_delimiter = ',', default_value = "0,5,15", value_parser = clap::value_parser!(u32).range(0..=90))]
    loss: Vec<u32>,
    /// Number of seeds: each size and loss is run with the seeds from 1 to this number.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// The only seed to run, for example to repeat a failed run.
    #[arg(long, conflicts_with = "seeds")]
    seed: Option<u64>,
    /// Faults to inject; all if none is given.
    #[arg(long, value_delimiter = ',')]
    faults: Vec<Fault>,
    /// Length of the quiet time at the end of each run, in seconds.
    #[arg(long, default_value_t = 300)]
    calm: u64,
    /// Suspend one member after another for 2 s in the quiet time, with 8 s between suspensions.
    #[arg(long)]
    stops: bool,
    /// Folder for `runs.jsonl` (one result per line), `report.html` and its plots.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
}

/// Result of all runs: whether every fleet settled after every fault.
#[derive(PartialEq)]
enum Verdict {
    AllSettled,
    SomeNeverSettled,
}

fn main() -> ExitCode {
    let Command::Fleet(options) = CommandLine::parse().command;
    match run_fleets(&options) {
        Ok(Verdict::AllSettled) => ExitCode::SUCCESS,
        Ok(Verdict::SomeNeverSettled) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(LAB_FAILED)
        }
    }
}

fn run_fleets(options: &FleetOptions) -> Result<Verdict, LabError> {
    let folder = &options.out;
    std::fs::create_dir_all(folder).map_err(|e| output_error(folder, e))?;
    let results = run_all(options)?;
    let rows = report::summarize(&results);
    print!("{}", report::table(&rows));
    for plot in report::plots(&rows)? {
        write_file(&folder.join(&plot.file_name), &plot.svg)?;
    }
    write_file(&folder.join("report.html"), &report::page(&rows)?)?;
    println!("{}: runs.jsonl, report.html", folder.display());
    Ok(report_never_settled(&results))
}

/// Executes all runs in parallel, and writes each result to a line of `runs.jsonl` when its run ends.
fn run_all(options: &FleetOptions) -> Result<Vec<RunResult>, LabError> {
    let path = options.out.join("runs.jsonl");
    let file = File::create(&path).map_err(|e| output_error(&path, e))?;
    let file = Mutex::new(file);
    let faults = if options.faults.is_empty() { ALL_FAULTS.to_vec() } else { options.faults.clone() };
    let configs = run_configs(options);
    let progress = progress_bar(configs.len());
    let run_and_write = |config: RunConfig| -> Result<RunResult, LabError> {
        let result = run(config, &faults);
        let line = serde_json::to_string(&result)? + "\n";
        let mut file = file.lock().map_err(|_| LabError::Poisoned)?;
        file.write_all(line.as_bytes()).map_err(|e| output_error(&path, e))?;
        Ok(result)
    };
    configs.into_par_iter().progress_with(progress).map(run_and_write).collect()
}

fn run_configs(options: &FleetOptions) -> Vec<RunConfig> {
    let seeds = match options.seed {
        Some(seed) => seed..=seed,
        None => 1..=options.seeds,
    };
    // The longest runs come first, so that none of them runs alone at the end while other threads are idle.
    let mut sizes = options.members.clone();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let mut configs = Vec::new();
    for members in sizes {
        for loss_percent in &options.loss {
            for seed in seeds.clone() {
                configs.push(RunConfig {
                    members: members as usize,
                    loss_percent: *loss_percent,
                    seed,
                    quiet_secs: options.calm,
                    quiet_time: QuietTime::from(options.stops),
                });
            }
        }
    }
    configs
}

fn progress_bar(runs: usize) -> ProgressBar {
    let bar = ProgressBar::new(runs as u64);
    let template = "{elapsed_precise} {bar:40} {pos}/{len} runs, {eta} left";
    // If the template is invalid, the bar keeps the library's default style.
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

/// Prints, for each run in which the fleet did not settle, the options that repeat it. Returns whether there was such a run.
fn report_never_settled(results: &[RunResult]) -> Verdict {
    let mut verdict = Verdict::AllSettled;
    for result in results {
        if result.settle_secs.iter().all(|(_, secs)| secs.is_some()) {
            continue;
        }
        let RunConfig { members, loss_percent, seed, .. } = result.config;
        eprintln!("never settled: --members {members} --loss {loss_percent} --seed {seed}");
        verdict = Verdict::SomeNeverSettled;
    }
    verdict
}

fn write_file(path: &Path, text: &str) -> Result<(), LabError> {
    std::fs::write(path, text).map_err(|e| output_error(path, e))
}

fn output_error(path: &Path, source: std::io::Error) -> LabError {
    LabError::Output { path: path.into(), source }
}
