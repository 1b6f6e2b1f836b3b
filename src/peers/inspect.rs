//! `micaladder fleet show` and `micaladder fleet watch`: asks a member for its view of the fleet, over the same protocol
//! as members use and with a certificate of the same kind.
use super::connect::Connector;
use super::credentials::{CredentialFiles, Credentials};
use super::error::SessionEnd;
use super::session::{self, LocalIdentity, WatchControl};
use crate::flags;
use crate::fleet::partition::PartitionSide;
use crate::fleet::view::{FleetView, MemberState, MemberView};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Exit code for flags or credential files that cannot be used. 0 and 1 say whether the view was agreed.
const EXIT_INVALID_FLAGS: u8 = 2;
/// Exit code for no answer from any of the members.
const EXIT_NO_ANSWER: u8 = 3;

/// Prints the fleet's view once, or each time that it has changed, with `watch` as the pause between two requests.
pub async fn run(flags: &flags::FleetQueryFlags, watch: Option<Duration>) -> ExitCode {
    let credentials = match CredentialFiles::from_flags(&flags.identity).map(Credentials::new) {
        Some(Ok(credentials)) => Arc::new(credentials),
        Some(Err(error)) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_FLAGS);
        }
        None => return ExitCode::from(EXIT_INVALID_FLAGS),
    };
    let identity = LocalIdentity { name: "fleet".into(), group: flags.identity.group.clone(), fleet: None };
    let connector = Connector { source: IpAddr::V4(Ipv4Addr::UNSPECIFIED), credentials, identity };
    let mut printer = ViewPrinter { json: flags.json, watch, last: None, output: Output::Open };
    loop {
        let failures = ask_first_reachable(&connector, &flags.ask, &mut printer).await;
        let answer = printer.last.as_ref().map(|summary| summary.agreed);
        // Who did not answer matters where nobody did, and to a watcher.
        if watch.is_some() || answer.is_none() {
            failures.iter().for_each(|failure| eprintln!("{failure}"));
        }
        match (watch, answer) {
            (Some(pause), Some(_)) if printer.output == Output::Open => tokio::time::sleep(pause).await,
            (_, Some(true)) => return ExitCode::SUCCESS,
            (_, Some(false)) => return ExitCode::FAILURE,
            (_, None) => return ExitCode::from(EXIT_NO_ANSWER),
        }
    }
}

/// Asks the members in their order until one session ends well, and says why those before it failed.
async fn ask_first_reachable(
    connector: &Connector, members: &[SocketAddr], printer: &mut ViewPrinter,
) -> Vec<String> {
    let mut failures = Vec::new();
    for member in members {
        match ask(connector, *member, printer).await {
            Ok(()) => break,
            Err(end) => failures.push(format!("{member}: {end}")),
        }
    }
    failures
}

async fn ask(connector: &Connector, member: SocketAddr, printer: &mut ViewPrinter) -> Result<(), SessionEnd> {
    let stream = connector.connect(member).await?;
    let pause = printer.watch.unwrap_or_default();
    session::watch_view(stream, &connector.identity, |view| printer.print_if_changed(&view), pause).await
}

/// Whether standard output still takes text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    Open,
    /// A closed pipe ends a watch.
    Closed,
}

/// Prints the views that differ from the one before.
struct ViewPrinter {
    json: bool,
    watch: Option<Duration>,
    last: Option<ViewSummary>,
    output: Output,
}

impl ViewPrinter {
    fn print_if_changed(&mut self, view: &FleetView) -> WatchControl {
        let summary = ViewSummary::of(view);
        if self.last.as_ref() != Some(&summary) {
            let written = std::io::stdout().write_all(self.format(view).as_bytes());
            self.output = if written.is_ok() { Output::Open } else { Output::Closed };
        }
        self.last = Some(summary);
        match (self.watch, self.output) {
            (Some(_), Output::Open) => WatchControl::Continue,
            (None, _) | (_, Output::Closed) => WatchControl::Stop,
        }
    }

    fn format(&self, view: &FleetView) -> String {
        match self.json {
            // Serializing to memory fails for no view.
            true => serde_json::to_string(view).unwrap_or_default() + "\n",
            false => view.table(),
        }
    }
}

/// What of a view counts as a change: not its ages, which differ in each answer.
#[derive(PartialEq)]
struct ViewSummary {
    observer: String,
    digest: String,
    agreed: bool,
    side: PartitionSide,
    members: Vec<MemberSummary>,
}

#[derive(PartialEq)]
struct MemberSummary {
    name: String,
    address: String,
    incarnation: u64,
    state: MemberState,
    counted: bool,
    settings_digest: String,
    settings_epoch: u64,
    list_version: u64,
}

impl ViewSummary {
    fn of(view: &FleetView) -> ViewSummary {
        ViewSummary {
            observer: view.observer.clone(),
            digest: view.digest.clone(),
            agreed: view.agreed,
            side: view.side,
            members: view.members.iter().map(MemberSummary::of).collect(),
        }
    }
}

impl MemberSummary {
    fn of(member: &MemberView) -> MemberSummary {
        MemberSummary {
            name: member.name.clone(),
            address: member.address.clone(),
            incarnation: member.incarnation,
            state: member.state,
            counted: member.counted,
            settings_digest: member.settings_digest.clone(),
            settings_epoch: member.settings_epoch,
            list_version: member.list_version,
        }
    }
}
