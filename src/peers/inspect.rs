//! Client of `micaladder fleet show` and `micaladder fleet watch`. Requests a member's view of the fleet over the protocol
//! between members, with a certificate of the same authority.
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

/// Exit code for invalid flags or credential files. Exit codes 0 and 1 mean that the view is agreed or not agreed.
const EXIT_INVALID_FLAGS: u8 = 2;
/// Exit code if no member responded.
const EXIT_NO_RESPONSE: u8 = 3;

/// Prints the fleet's view. With `watch`, requests the view again after this pause and prints each change.
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
        let failures = query_first_reachable(&connector, &flags.ask, &mut printer).await;
        let agreed = printer.last.as_ref().map(|summary| summary.agreed);
        // A single request reports failures only if no member responded; a watch reports all of them.
        if watch.is_some() || agreed.is_none() {
            failures.iter().for_each(|failure| eprintln!("{failure}"));
        }
        match (watch, agreed) {
            (Some(pause), Some(_)) if printer.output == Output::Open => tokio::time::sleep(pause).await,
            (_, Some(true)) => return ExitCode::SUCCESS,
            (_, Some(false)) => return ExitCode::FAILURE,
            (_, None) => return ExitCode::from(EXIT_NO_RESPONSE),
        }
    }
}

/// Queries the members in order until one session succeeds. Returns an error text for each failed session.
async fn query_first_reachable(
    connector: &Connector, members: &[SocketAddr], printer: &mut ViewPrinter,
) -> Vec<String> {
    let mut failures = Vec::new();
    for member in members {
        match query(connector, *member, printer).await {
            Ok(()) => break,
            Err(end) => failures.push(format!("{member}: {end}")),
        }
    }
    failures
}

async fn query(
    connector: &Connector, member: SocketAddr, printer: &mut ViewPrinter,
) -> Result<(), SessionEnd> {
    let stream = connector.connect(member).await?;
    let pause = printer.watch.unwrap_or_default();
    session::watch_view(stream, &connector.identity, |view| printer.print_if_changed(&view), pause).await
}

/// State of standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    Open,
    /// A write failed, as to a closed pipe, which ends a watch.
    Closed,
}

/// Prints each view that differs from the previous one.
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
            // Serializing a view to memory cannot fail.
            true => serde_json::to_string(view).unwrap_or_default() + "\n",
            false => view.table(),
        }
    }
}

/// Fields of a view that are compared to detect a change. Ages are left out, because they differ in each response.
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
