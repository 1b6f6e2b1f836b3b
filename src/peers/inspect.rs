//! `micaladder fleet`: asks a member for its view of the fleet, on the connection that members use and with a certificate
//! of the same kind.
use super::connect::Connector;
use super::credentials::{CredentialFiles, Credentials};
use super::session::{self, LocalIdentity, SessionEnd};
use crate::flags;
use crate::fleet::view::FleetView;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// How a look at the fleet ends: 0 and 1 say whether the view was agreed.
const WRONG_FLAGS: u8 = 2;
const NOBODY: u8 = 3;

/// What of a view is news to one who watches: not its ages.
fn gist(view: &FleetView) -> impl PartialEq {
    let lines = view.members.iter().map(|m| {
        (
            m.name.clone(),
            m.address.clone(),
            m.incarnation,
            m.state,
            m.counted,
            m.settings_digest.clone(),
            m.list_version,
            m.settings_epoch,
        )
    });
    (view.observer.clone(), view.digest.clone(), view.agreed, view.side, lines.collect::<Vec<_>>())
}

fn text(view: &FleetView, json: bool) -> String {
    match json {
        // Writing it to memory fails for no view.
        true => serde_json::to_string(view).unwrap_or_default() + "\n",
        false => view.table(),
    }
}

/// Shows the fleet once, or each time that it has changed.
pub async fn run(flags: &flags::FleetQueryFlags, watch: Option<Duration>) -> ExitCode {
    let trust = match CredentialFiles::from_flags(&flags.identity).map(Credentials::new) {
        Some(Ok(trust)) => Arc::new(trust),
        Some(Err(fault)) => {
            eprintln!("{fault}");
            return ExitCode::from(WRONG_FLAGS);
        }
        None => return ExitCode::from(WRONG_FLAGS),
    };
    let me = LocalIdentity { name: "fleet".into(), group: flags.identity.group.clone(), fleet: None };
    let dial = Connector { from: IpAddr::V4(Ipv4Addr::UNSPECIFIED), trust, me };
    let (mut last, mut agreed) = (None, None);
    let mut shut = false;
    loop {
        let mut why = Vec::new();
        for at in &flags.ask {
            let take = |view: FleetView| {
                let fresh = gist(&view);
                if last.as_ref() != Some(&fresh) {
                    // A pipe that is closed wants no more.
                    shut = std::io::stdout().write_all(text(&view, flags.json).as_bytes()).is_err();
                }
                (last, agreed) = (Some(fresh), Some(view.agreed));
                watch.is_some() && !shut
            };
            let asked =
                async { session::look(dial.to(*at).await?, &dial.me, take, watch.unwrap_or_default()).await };
            match asked.await {
                Ok(()) => break,
                Err(SessionEnd::Closed(e) | SessionEnd::Rejected(e)) => why.push(format!("{at}: {e}")),
            }
        }
        let ends = watch.is_none() || shut || agreed.is_none();
        // Whoever did not answer matters where nobody did, and to one who watches.
        if watch.is_some() || agreed.is_none() {
            why.iter().for_each(|w| eprintln!("{w}"));
        }
        match agreed {
            _ if !ends => tokio::time::sleep(watch.unwrap_or_default()).await,
            Some(true) => return ExitCode::SUCCESS,
            Some(false) => return ExitCode::FAILURE,
            None => return ExitCode::from(NOBODY),
        }
    }
}
