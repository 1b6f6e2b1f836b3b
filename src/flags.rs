//! Command line and environment variables. A flag takes precedence over its environment variable. The platform's
//! configuration files are read by `settings`.
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

/// Default path of the AS2 settings, relative to the working directory.
const DEFAULT_AS2_FILE: &str = "deploy/as2.json";
/// Default path of the plug-in folder, relative to the working directory.
const DEFAULT_PLUGINS_FOLDER: &str = "deploy/plugins";
/// The allowed polling intervals of `fleet watch`, in seconds.
const WATCH_INTERVAL_SECS: RangeInclusive<f64> = 0.1..=3600.0;
/// Flags that override a key of the configuration file, by the name of their field in [`RunFlags`].
const OVERRIDING_FLAGS: [&str; 4] = ["name", "listen", "discovery", "mgmt"];

/// Forwards messages to partners' endpoints: before the deadline, at most as often as allowed, with one final answer.
#[derive(Parser, Debug)]
#[command(
    name = "micaladder",
    version,
    after_help = "Without a command, run is executed with the given flags. Exit codes: 0 success, 1 cannot start or continue \
        (check: errors in the files), 2 invalid flags."
)]
struct CommandLine {
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Subcommand, Debug)]
enum Subcommands {
    /// Accepts and delivers messages until SIGTERM. This is the default command.
    Run(RunFlags),
    /// Checks every file that `run` would read and reports each error with its file and key; starts nothing.
    Check(FileFlags),
    /// Queries a running member for its view of the fleet.
    #[command(
        subcommand,
        after_help = "Exit codes of show, and of watch once its output is closed: 0 all members have the same view, \
            1 they do not (yet), 2 invalid flags or files, 3 no member responds."
    )]
    Fleet(FleetCommand),
    /// Prints the completion script of a shell.
    Completions {
        /// Shell to print the script for.
        shell: clap_complete::Shell,
    },
}

/// A parsed command line.
#[derive(Debug)]
pub enum Command {
    /// Run the forwarder.
    Run(RunFlags),
    /// Check all files and report the errors.
    Check(FileFlags),
    /// Show a member's view of the fleet.
    Fleet(FleetCommand),
    /// Print the completion script of a shell.
    Completions(clap_complete::Shell),
}

/// Paths of the files to read.
#[derive(Args, Debug, Clone)]
pub struct FileFlags {
    /// Configuration file (JSON).
    #[arg(long, env = "RELAY_CONFIG", value_name = "FILE")]
    pub config: PathBuf,
    /// AS2 settings (JSON); optional.
    #[arg(long, env = "MICALADDER_AS2", value_name = "FILE", default_value = DEFAULT_AS2_FILE)]
    pub as2: PathBuf,
    /// Folder of plug-in scripts; optional.
    #[arg(long, env = "MICALADDER_PLUGINS", value_name = "FOLDER", default_value = DEFAULT_PLUGINS_FOLDER)]
    pub plugins: PathBuf,
    /// Flags of the peer protocol.
    #[command(flatten)]
    pub peers: PeerFlags,
}

/// Flags of the peer protocol, which is off without a listen address.
#[derive(Args, Debug, Clone)]
pub struct PeerFlags {
    /// Address on which this forwarder listens for its peers (UDP and TCP); without it, the peer protocol is off.
    #[arg(id = "neighbours-listen", long, env = "MICALADDER_NEIGHBOURS_LISTEN", value_name = "IP:PORT",
        requires_all = ["neighbours-certificate", "neighbours-key", "neighbours-authority"])]
    pub listen: Option<SocketAddr>,
    /// Address that is advertised to peers, if it differs from the listen address, for instance behind network address
    /// translation.
    #[arg(
        id = "neighbours-advertise",
        long,
        env = "MICALADDER_NEIGHBOURS_ADVERTISE",
        value_name = "IP:PORT",
        requires = "neighbours-listen"
    )]
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of some other members, through which this forwarder joins the fleet.
    #[arg(
        id = "neighbours-seeds",
        long,
        env = "MICALADDER_NEIGHBOURS_SEEDS",
        value_name = "IP:PORT,...",
        value_delimiter = ','
    )]
    pub seeds: Vec<SocketAddr>,
    /// Approximate number of members in the fleet.
    #[arg(id = "neighbours-size", long, env = "MICALADDER_NEIGHBOURS_SIZE", default_value_t = 10)]
    pub size: u32,
    /// Group and certificates of this forwarder.
    #[command(flatten)]
    pub identity: PeerIdentityFlags,
}

/// How the forwarders of a fleet authenticate each other.
#[derive(Args, Debug, Clone)]
pub struct PeerIdentityFlags {
    /// Group of this forwarder; sessions with peers of another group are rejected.
    #[arg(id = "neighbours-group", long, env = "MICALADDER_NEIGHBOURS_GROUP", default_value = "micaladder")]
    pub group: String,
    /// Certificate of this forwarder (PEM).
    #[arg(
        id = "neighbours-certificate",
        long,
        env = "MICALADDER_NEIGHBOURS_CERTIFICATE",
        value_name = "FILE"
    )]
    pub certificate: Option<PathBuf>,
    /// Private key of the certificate (PEM).
    #[arg(id = "neighbours-key", long, env = "MICALADDER_NEIGHBOURS_KEY", value_name = "FILE")]
    pub key: Option<PathBuf>,
    /// Certificate of the authority that signs the certificates of trusted peers (PEM).
    #[arg(id = "neighbours-authority", long, env = "MICALADDER_NEIGHBOURS_AUTHORITY", value_name = "FILE")]
    pub authority: Option<PathBuf>,
}

/// Which members to query for their view of the fleet, and how to print it.
#[derive(Args, Debug, Clone)]
pub struct FleetQueryFlags {
    /// Peer addresses of the members to query, in this order until one responds.
    #[arg(long, env = "MICALADDER_FLEET_ASK", value_name = "IP:PORT,...", value_delimiter = ',', required = true,
        requires_all = ["neighbours-certificate", "neighbours-key", "neighbours-authority"])]
    pub ask: Vec<SocketAddr>,
    /// Print JSON, one object per line, instead of a table.
    #[arg(long)]
    pub json: bool,
    /// Group and certificates for the connection.
    #[command(flatten)]
    pub identity: PeerIdentityFlags,
}

/// Commands that show a member's view of the fleet.
#[derive(Subcommand, Debug)]
pub enum FleetCommand {
    /// Prints the view once: the members, their age, their versions, and whether all members have the same view.
    Show(FleetQueryFlags),
    /// Prints the view, and prints it again after each change.
    Watch {
        /// Members to query and output format.
        #[command(flatten)]
        query: FleetQueryFlags,
        /// Seconds between two queries.
        #[arg(long, value_name = "SECONDS", default_value_t = 1.0, value_parser = parse_watch_interval)]
        every: f64,
    },
}

fn parse_watch_interval(text: &str) -> Result<f64, String> {
    let seconds = text.parse::<f64>().map_err(|error| error.to_string())?;
    if !WATCH_INTERVAL_SECS.contains(&seconds) {
        return Err("must be between 0.1 and 3600 seconds".into());
    }
    Ok(seconds)
}

/// Flags of `run`.
#[derive(Args, Debug, Clone)]
pub struct RunFlags {
    /// Paths of the files to read.
    #[command(flatten)]
    pub files: FileFlags,
    /// State folder, which holds the journal and must persist across restarts.
    #[arg(long, env = "RELAY_STATE", value_name = "FOLDER")]
    pub state: PathBuf,
    /// Name of this forwarder, the same after each restart; defaults to the configuration's name.
    #[arg(long, env = "RELAY_NAME")]
    pub name: Option<String>,
    /// Address on which the forwarder listens for clients; defaults to the configuration's address.
    #[arg(long, env = "RELAY_LISTEN", value_name = "IP:PORT")]
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service; defaults to the configuration's address.
    #[arg(long, env = "RELAY_DISCOVERY", value_name = "HOST:PORT")]
    pub discovery: Option<String>,
    /// Management address for operators; defaults to the configuration's address. Without either, there is no management
    /// listener.
    #[arg(long, env = "RELAY_MGMT", value_name = "IP:PORT")]
    pub mgmt: Option<SocketAddr>,
    /// Flags of the log.
    #[command(flatten)]
    pub log: LogFlags,
    /// Fields with a key in the configuration that were set by a flag on the command line, not by an environment variable.
    #[arg(skip)]
    pub given_as_flags: Vec<String>,
}

/// Flags of the log.
#[derive(Args, Debug, Clone)]
pub struct LogFlags {
    /// Comma-separated list of `LEVEL` and `MODULE=LEVEL`, for instance `info,core=debug,upstream=trace`.
    #[arg(long = "log-filter", env = "MICALADDER_LOG", value_name = "FILTER", default_value = "info")]
    pub filter: Filter,
    /// Format of a log line: `text`, or `json` with one object per line.
    #[arg(long = "log-format", env = "MICALADDER_LOG_FORMAT", value_name = "FORMAT", default_value = "text")]
    pub format: Format,
    /// Number of lines that one call site may log in a burst. Beyond it, a call site logs one line per second, with the
    /// number of suppressed lines. 0 disables the limit.
    #[arg(long = "log-burst", env = "MICALADDER_LOG_BURST", value_name = "LINES", default_value_t = 20)]
    pub burst: u32,
}

/// Parses the command line and the environment variables.
///
/// # Errors
///
/// A flag or variable is invalid. clap also returns the texts of `--help` and `--version` as errors.
pub fn parse<I: IntoIterator<Item = T>, T: Into<OsString>>(arguments: I) -> Result<Command, clap::Error> {
    let mut arguments: Vec<OsString> = arguments.into_iter().map(Into::into).collect();
    if omits_command(&arguments) {
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

/// Returns whether the arguments contain no command, which means `run`: the deploy file starts the daemon in this way.
fn omits_command(arguments: &[OsString]) -> bool {
    let Some(first) = arguments.get(1) else { return true };
    let is_help_or_version = matches!(first.to_str(), Some("-h" | "--help" | "-V" | "--version"));
    first.to_string_lossy().starts_with('-') && !is_help_or_version
}

fn flags_on_command_line(matches: &ArgMatches) -> Vec<String> {
    let is_flag = |id: &&str| matches.value_source(id) == Some(ValueSource::CommandLine);
    OVERRIDING_FLAGS.into_iter().filter(is_flag).map(str::to_string).collect()
}

/// Writes the completion script of `shell` to standard output.
pub fn write_completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut CommandLine::command(), "micaladder", &mut std::io::stdout());
}

impl RunFlags {
    /// Returns the value that overrides `key`, the value in the configuration file. A flag always overrides the file; an
    /// environment variable does so only if its value differs. The platform sets the variables to the values in the file,
    /// and a variable that only repeats its key must not keep the old value in force after a reload of the file. `id` is
    /// the name of the flag's field.
    pub fn override_for(&self, id: &str, value: Option<String>, key: &str) -> Option<String> {
        let is_flag = self.given_as_flags.iter().any(|flag| flag == id);
        value.filter(|value| value != key || is_flag)
    }
}
