//! The command line: what may be said there or in the environment, each with one definition. A flag goes before its
//! variable. Holds no settings of the platform's own files; those are `settings`.
use crate::logger::{Filter, Format};
use clap::parser::ValueSource;
use clap::{ArgMatches, Args, CommandFactory, FromArgMatches, Parser, Subcommand};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the AS2 front's file and the scripts lie, from the folder that the program is started in.
const AS2: &str = "deploy/as2.json";
const PLUGINS: &str = "deploy/plugins";

/// Forwards messages to partners' endpoints: in time, at most as often as allowed, with one final answer.
#[derive(Parser, Debug)]
#[command(
    name = "micaladder",
    version,
    after_help = "Without a command it runs, and takes the flags of run. Exit codes: 0 done, 1 cannot go on, 2 wrong \
        flags."
)]
struct Line {
    #[command(subcommand)]
    command: Word,
}

#[derive(Subcommand, Debug)]
enum Word {
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

/// What is to be done.
#[derive(Debug)]
pub enum Command {
    /// Run the forwarder.
    Run(RunFlags),
    /// Read all files and say what is wrong.
    Check(FileFlags),
    /// Show the fleet's view.
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
    #[arg(long, env = "MICALADDER_AS2", value_name = "FILE", default_value = AS2)]
    pub as2: PathBuf,
    /// The folder of scripts; there need not be one.
    #[arg(long, env = "MICALADDER_PLUGINS", value_name = "FOLDER", default_value = PLUGINS)]
    pub plugins: PathBuf,
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
        #[command(flatten)]
        query: FleetQueryFlags,
        /// Seconds between two questions.
        #[arg(long, value_name = "SECONDS", default_value_t = 1.0, value_parser = pause)]
        every: f64,
    },
}

fn pause(text: &str) -> Result<f64, String> {
    let secs = text.parse::<f64>().map_err(|e| e.to_string())?;
    (0.1..=3600.0).contains(&secs).then_some(secs).ok_or("between 0.1 and 3600 seconds".into())
}

/// What a forwarder is told at its start.
#[derive(Args, Debug, Clone)]
pub struct RunFlags {
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
pub fn parse<I: IntoIterator<Item = T>, T: Into<OsString>>(words: I) -> Result<Command, clap::Error> {
    let mut words: Vec<OsString> = words.into_iter().map(Into::into).collect();
    let of_line = |w: &OsString| matches!(w.to_str(), Some("-h" | "--help" | "-V" | "--version"));
    // A bare command with nothing or with flags is `run`: so the deploy file starts it.
    if words.get(1).is_none_or(|w| w.to_string_lossy().starts_with('-') && !of_line(w)) {
        words.insert(1.min(words.len()), "run".into());
    }
    let matches = Line::command().try_get_matches_from(words)?;
    let line = Line::from_arg_matches(&matches)?;
    let with_flags = |mut run: RunFlags, matches: &ArgMatches| {
        run.given_as_flags = ["name", "listen", "discovery", "mgmt"]
            .into_iter()
            .filter(|id| matches.value_source(id) == Some(ValueSource::CommandLine))
            .map(str::to_string)
            .collect();
        Command::Run(run)
    };
    Ok(match line.command {
        Word::Run(run) => with_flags(run, matches.subcommand().map_or(&matches, |s| s.1)),
        Word::Check(files) => Command::Check(files),
        Word::Fleet(what) => Command::Fleet(what),
        Word::Completions { shell } => Command::Completions(shell),
    })
}

/// Writes the completions to standard output.
pub fn write_completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut Line::command(), "micaladder", &mut std::io::stdout());
}

impl RunFlags {
    /// What stands before a key of the configuration: a flag always, a variable only where it differs. The platform
    /// sets the variables to what the file says; one that only repeats its key must not hold the key's old value
    /// after a reload.
    pub fn override_for(&self, id: &str, value: Option<String>, key: &str) -> Option<String> {
        value.filter(|s| s != key || self.given_as_flags.iter().any(|f| f == id))
    }
}
