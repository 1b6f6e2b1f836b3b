//! The command-line program: parses its arguments and runs the requested command. The daemon itself is `micaladder::daemon`.
#![forbid(unsafe_code)]
use micaladder::config_error::ConfigError;
use micaladder::flags::{self, Command, FileFlags, FleetCommand, RunFlags};
use micaladder::{check, daemon, logger, peers};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let command = match flags::parse(std::env::args_os()) {
        Ok(command) => command,
        Err(message) => {
            // `message` may also be the text of --help or --version; a failure to print it, as to a closed pipe, is ignored.
            let _ = message.print();
            return ExitCode::from(message.exit_code() as u8);
        }
    };
    match command {
        Command::Run(flags) => run_daemon(&flags),
        Command::Check(files) => report_file_errors(&files),
        Command::Fleet(command) => show_fleet(&command),
        Command::Completions(shell) => {
            flags::write_completions(shell);
            ExitCode::SUCCESS
        }
    }
}

fn run_daemon(flags: &RunFlags) -> ExitCode {
    let log_flags = &flags.log;
    logger::install(&log_flags.filter, log_flags.format, log_flags.burst);
    logger::log_panics();
    match daemon::run(flags) {
        Ok(()) => {
            log::info!(reason = "SIGTERM"; "process ends");
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("cannot start or continue: {error}");
            log::error!(reason = "error"; "process ends");
            ExitCode::FAILURE
        }
    }
}

/// Checks the files and prints their errors, one per line.
fn report_file_errors(files: &FileFlags) -> ExitCode {
    let errors: Vec<ConfigError> = check::check_files(files);
    if errors.is_empty() {
        println!("{}: good", files.config.display());
        return ExitCode::SUCCESS;
    }
    for error in &errors {
        eprintln!("{error}");
    }
    ExitCode::FAILURE
}

/// Prints a running member's view of the fleet, once or whenever it changes.
fn show_fleet(command: &FleetCommand) -> ExitCode {
    let (query, interval) = match command {
        FleetCommand::Show(query) => (query, None),
        FleetCommand::Watch { query, every } => (query, Some(Duration::from_secs_f64(*every))),
    };
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(peers::inspect::run(query, interval))
}
