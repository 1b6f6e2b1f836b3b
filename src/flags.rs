//! The command line: flags and environment variables, each defined once. A flag takes precedence over its variable. The
//! settings in the platform's own files belong to `settings`.
//!
//! The doc comments of flags and commands are the help texts that users see: editing one changes the program's output.
#![warn(missing_docs)]
use crate::logger::{Filter, Format};
use clap::parser::ValueSource;
use clap::{ArgMatches, Args, CommandFactory, FromArgMatches, Parser, Subcommand};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The AS2 front's file, relative to the folder that the program is started in.
const DEFAULT_AS2_FILE: &str = "deploy/as2.json";
/// The folder of scripts, relative to the folder that the program is started in.
const DEFAULT_PLUGINS_FOLDER: &str = "deploy/plugins";
/// The shortest and the longest pause of `fleet watch`, in seconds.
const WATCH_PAUSE_SECS: RangeInclusive<f64> = 0.1..=3600.0;
/// The flags that stand before a key of the configuration, by the name of their field.
const OVERRIDING_FLAGS: [&str; 4] = ["name", "listen", "discovery", "mgmt"];

/// Forwards messages to partners' endpoints: in time, at most as often as allowed, with one final answer.
#[derive(Parser, Debug)]
#[command(
    name = "micaladder",
    version,
    after_help = "Without a command it runs, and takes the flags of run. Exit codes: 0 done, 1 cannot go on, 2 wrong \
        flags."
)]
struct CommandLine {
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Subcommand, Debug)]
enum Subcommands {
    /// Takes messages and delivers them, until SIGTERM. The usual command.
    Run(RunFlags),
    /// Reads every file that `run` would read and says what is wrong in them, by file and key; starts nothing.
    Check(FileFlags),
    /// Asks a running member for its view of the fleet.
    #[command(
        subcommand,
        after_help = "Exit codes of show, and of watch once its output is closed: 0 all have the same view, 1 they have \
            not (yet), 2 wrong flags or files, 3 nobody answers."
    )]
    Fleet(FleetCommand),
    /// Writes a script by which a shell completes this command line.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Run the forwarder.
    Run(RunFlags),
    /// Read all files and say what is wrong.
    Check(FileFlags),
    /// Show a member's view of the fleet.
    Fleet(FleetCommand),
    /// Write the completions of a shell.
    Completions(clap_complete::Shell),
}

/// The files that are read.
#[derive(Args, Debug, Clone)]
pub struct FileFlags {
    /// The configuration, JSON.
    #[arg(long, env = "RELAY_CONFIG", value_name = "FILE")]
    pub config: PathBuf,
    /// The AS2 front's file; there need not be one at the usual place.
    #[arg(long, env = "MICALADDER_AS2", value_name = "FILE", default_value = DEFAULT_AS2_FILE)]
    pub as2: PathBuf,
    /// The folder of scripts; there need not be one.
    #[arg(long, env = "MICALADDER_PLUGINS", value_name = "FOLDER", default_value = DEFAULT_PLUGINS_FOLDER)]
    pub plugins: PathBuf,
    /// The flags of the peers.
    #[command(flatten)]
    pub peers: PeerFlags,
}

/// Learning from running neighbours; off without an address.
#[derive(Args, Debug, Clone)]
pub struct PeerFlags {
    /// Where neighbours reach this forwarder, by UDP and by TCP; without it there are none.
    #[arg(id = "neighbours-listen", long, env = "MICALADDER_NEIGHBOURS_LISTEN", value_name = "IP:PORT",
        requires_all = ["neighbours-certificate", "neighbours-key", "neighbours-authority"])]
    pub listen: Option<SocketAddr>,
    /// What the others are told as its address, where they reach it by another than it listens on: behind address
    /// translation, say.
    #[arg(
        id = "neighbours-advertise",
        long,
        env = "MICALADDER_NEIGHBOURS_ADVERTISE",
        value_name = "IP:PORT",
        requires = "neighbours-listen"
    )]
    pub advertise: Option<SocketAddr>,
    /// Some of the others, by the same kind of address.
    #[arg(
        id = "neighbours-seeds",
        long,
        env = "MICALADDER_NEIGHBOURS_SEEDS",
        value_name = "IP:PORT,...",
        value_delimiter = ','
    )]
    pub seeds: Vec<SocketAddr>,
    /// About how many there are.
    #[arg(id = "neighbours-size", long, env = "MICALADDER_NEIGHBOURS_SIZE", default_value_t = 10)]
    pub size: u32,
    /// The group and the certificates.
    #[command(flatten)]
    pub identity: PeerIdentityFlags,
}

/// By what forwarders of one fleet know each other.
#[derive(Args, Debug, Clone)]
pub struct PeerIdentityFlags {
    /// Forwarders of other groups are not learned from.
    #[arg(id = "neighbours-group", long, env = "MICALADDER_NEIGHBOURS_GROUP", default_value = "micaladder")]
    pub group: String,
    /// This forwarder's certificate, PEM.
    #[arg(
        id = "neighbours-certificate",
        long,
        env = "MICALADDER_NEIGHBOURS_CERTIFICATE",
        value_name = "FILE"
    )]
    pub certificate: Option<PathBuf>,
    /// Its key, PEM.
    #[arg(id = "neighbours-key", long, env = "MICALADDER_NEIGHBOURS_KEY", value_name = "FILE")]
    pub key: Option<PathBuf>,
    /// The certificate of the authority whose certificates are believed, PEM.
    #[arg(id = "neighbours-authority", long, env = "MICALADDER_NEIGHBOURS_AUTHORITY", value_name = "FILE")]
    pub authority: Option<PathBuf>,
}

/// Whom to ask for the fleet.
#[derive(Args, Debug, Clone)]
pub struct FleetQueryFlags {
    /// Members to ask, by the addresses on which they listen for neighbours: the first that answers.
    #[arg(long, env = "MICALADDER_FLEET_ASK", value_name = "IP:PORT,...", value_delimiter = ',', required = true,
        requires_all = ["neighbours-certificate", "neighbours-key", "neighbours-authority"])]
    pub ask: Vec<SocketAddr>,
    /// JSON, an object a line, and not a table.
    #[arg(long)]
    pub json: bool,
    /// The group and the certificates.
    #[command(flatten)]
    pub identity: PeerIdentityFlags,
}

/// What to do with the fleet's view.
#[derive(Subcommand, Debug)]
pub enum FleetCommand {
    /// Shows it once: who is there, since when, with which versions, and whether all have the same view.
    Show(FleetQueryFlags),
    /// Shows it, and again each time that it has changed.
    Watch {
        /// Whom to ask, and how the answer is printed.
        #[command(flatten)]
        query: FleetQueryFlags,
        /// Seconds between two questions.
        #[arg(long, value_name = "SECONDS", default_value_t = 1.0, value_parser = parse_watch_pause)]
        every: f64,
    },
}

fn parse_watch_pause(text: &str) -> Result<f64, String> {
    let seconds = text.parse::<f64>().map_err(|error| error.to_string())?;
    if !WATCH_PAUSE_SECS.contains(&seconds) {
        return Err("between 0.1 and 3600 seconds".into());
    }
    Ok(seconds)
}

/// What a forwarder is told at its start.
#[derive(Args, Debug, Clone)]
pub struct RunFlags {
    /// The files that are read.
    #[command(flatten)]
    pub files: FileFlags,
    /// The folder that lasts: the journal lies there.
    #[arg(long, env = "RELAY_STATE", value_name = "FOLDER")]
    pub state: PathBuf,
    /// Its name, the same after a restart; else the configuration's.
    #[arg(long, env = "RELAY_NAME")]
    pub name: Option<String>,
    /// Where clients connect; else the configuration's.
    #[arg(long, env = "RELAY_LISTEN", value_name = "IP:PORT")]
    pub listen: Option<SocketAddr>,
    /// Where discovery is; else the configuration's.
    #[arg(long, env = "RELAY_DISCOVERY", value_name = "HOST:PORT")]
    pub discovery: Option<String>,
    /// Where operators call; else the configuration's, and without that nobody listens for them.
    #[arg(long, env = "RELAY_MGMT", value_name = "IP:PORT")]
    pub mgmt: Option<SocketAddr>,
    /// The flags of the log.
    #[command(flatten)]
    pub log: LogFlags,
    /// Which of the settings that stand before keys were flags, and not variables.
    #[arg(skip)]
    pub given_as_flags: Vec<String>,
}

/// What is logged, and how.
#[derive(Args, Debug, Clone)]
pub struct LogFlags {
    /// `LEVEL`, or `MODULE=LEVEL`, or several with commas: `info,core=debug,upstream=trace`.
    #[arg(long = "log-filter", env = "MICALADDER_LOG", value_name = "FILTER", default_value = "info")]
    pub filter: Filter,
    /// `text`, or `json` with an object a line.
    #[arg(long = "log-format", env = "MICALADDER_LOG_FORMAT", value_name = "FORMAT", default_value = "text")]
    pub format: Format,
    /// So many lines from one place in the program at once, then one a second that says how many were kept back;
    /// 0 writes all.
    #[arg(long = "log-burst", env = "MICALADDER_LOG_BURST", value_name = "LINES", default_value_t = 20)]
    pub burst: u32,
}

/// Reads the command line and the environment.
///
/// # Errors
///
/// What is wrong with a flag or a variable, named, as clap puts it; also the texts of `--help` and `--version`.
pub fn parse<I: IntoIterator<Item = T>, T: Into<OsString>>(arguments: I) -> Result<Command, clap::Error> {
    let mut arguments: Vec<OsString> = arguments.into_iter().map(Into::into).collect();
    if is_bare_run(&arguments) {
        arguments.insert(1.min(arguments.len()), "run".into());
    }
    let matches = CommandLine::command().try_get_matches_from(arguments)?;
    let command_line = CommandLine::from_arg_matches(&matches)?;
    Ok(match command_line.command {
        Subcommands::Run(mut flags) => {
            let run_matches = matches.subcommand().map_or(&matches, |(_, matches)| matches);
            flags.given_as_flags = flags_on_command_line(run_matches);
            Command::Run(flags)
        }
        Subcommands::Check(files) => Command::Check(files),
        Subcommands::Fleet(command) => Command::Fleet(command),
        Subcommands::Completions { shell } => Command::Completions(shell),
    })
}

/// Whether there is no command, or only flags of `run`: so the deploy file starts the daemon.
fn is_bare_run(arguments: &[OsString]) -> bool {
    let Some(first) = arguments.get(1) else { return true };
    let asks_for_text = matches!(first.to_str(), Some("-h" | "--help" | "-V" | "--version"));
    first.to_string_lossy().starts_with('-') && !asks_for_text
}

fn flags_on_command_line(matches: &ArgMatches) -> Vec<String> {
    let is_flag = |id: &&str| matches.value_source(id) == Some(ValueSource::CommandLine);
    OVERRIDING_FLAGS.into_iter().filter(is_flag).map(str::to_string).collect()
}

/// Writes the completions to standard output.
pub fn write_completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut CommandLine::command(), "micaladder", &mut std::io::stdout());
}

impl RunFlags {
    /// The value that overrides `key` of the configuration: that of a flag always, that of a variable only where it
    /// differs. The platform sets the variables to what the file says; one that only repeats its key must not keep the
    /// key's old value in force after a reload. `id` is the name of the flag's field.
    pub fn override_for(&self, id: &str, value: Option<String>, key: &str) -> Option<String> {
        let is_flag = self.given_as_flags.iter().any(|flag| flag == id);
        value.filter(|value| value != key || is_flag)
    }
}
