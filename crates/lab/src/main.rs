//! `micaladder-lab`: the shipped decisions in virtual time.
#![forbid(unsafe_code)]
use clap::{Parser, Subcommand};
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use micaladder_lab::error::LabError;
use micaladder_lab::report;
use micaladder_lab::scenario::{play, Fault, QuietTime, RunConfig, RunResult, ALL_FAULTS};
use rayon::prelude::*;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;

/// Exit code where the lab itself fails; 1 says that a fleet has not settled.
const LAB_FAILED: u8 = 2;

/// Micaladder's shipped decisions in virtual time, at sizes that processes do not reach.
#[derive(Parser)]
#[command(name = "micaladder-lab", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays faults on fleets of several sizes, and writes records and a report.
    ///
    /// Each run is one seed at one size and one loss: a fleet starts, then meets one fault after another, each once it
    /// has settled; then a quiet time is counted.
    Fleet(FleetOptions),
}

#[derive(clap::Args)]
struct FleetOptions {
    /// Members, one fleet of each size (3 to 3000).
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

/// Whether all fleets have settled after all faults.
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
    let results = play_all(options)?;
    let rows = report::summarize(&results);
    print!("{}", report::table(&rows));
    for plot in report::plots(&rows)? {
        write_file(&folder.join(&plot.file_name), &plot.svg)?;
    }
    write_file(&folder.join("report.html"), &report::page(&rows)?)?;
    println!("{}: runs.jsonl, report.html", folder.display());
    Ok(report_never_settled(&results))
}

/// Plays all runs in parallel, and writes each result as a line of `runs.jsonl` when it is there.
fn play_all(options: &FleetOptions) -> Result<Vec<RunResult>, LabError> {
    let path = options.out.join("runs.jsonl");
    let file = File::create(&path).map_err(|e| output_error(&path, e))?;
    let file = Mutex::new(file);
    let faults = if options.faults.is_empty() { ALL_FAULTS.to_vec() } else { options.faults.clone() };
    let configs = run_configs(options);
    let progress = progress_bar(configs.len());
    let play_and_write = |config: RunConfig| -> Result<RunResult, LabError> {
        let result = play(config, &faults);
        let line = serde_json::to_string(&result)? + "\n";
        let mut file = file.lock().map_err(|_| LabError::Poisoned)?;
        file.write_all(line.as_bytes()).map_err(|e| output_error(&path, e))?;
        Ok(result)
    };
    configs.into_par_iter().progress_with(progress).map(play_and_write).collect()
}

fn run_configs(options: &FleetOptions) -> Vec<RunConfig> {
    let seeds = match options.seed {
        Some(seed) => seed..=seed,
        None => 1..=options.seeds,
    };
    // The longest runs first, so that none of them is left alone at the end.
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
    // Without the template the bar has the library's own form.
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

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
