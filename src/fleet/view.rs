//! The output format of the view: a table for people and JSON for programs. The JSON names are documented in
//! `docs/operate/fleet.md` and do not follow renamed fields.
use super::partition::PartitionSide;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// State of a member, as far as the observer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member is known from gossip and has not sent a datagram to the observer yet.
    Joining,
    /// The member sends datagrams.
    Alive,
    /// The member does not answer probes and has not been declared dead.
    Suspect,
    /// The member is shutting down and completes its messages in flight.
    Draining,
    /// The member departed after it announced that it leaves.
    Left,
    /// The member is silent: stopped or unreachable, which the observer cannot distinguish.
    Dead,
    /// Another member of the same name has a higher incarnation.
    #[serde(rename = "shut-out")]
    Superseded,
}

/// One member in the view. Ages are in seconds before the time of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the member.
    pub name: String,
    /// The address where the member receives datagrams and accepts connections.
    pub address: String,
    /// Incarnation of the member.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
    /// How long ago the member became present or departed.
    #[serde(rename = "for_secs")]
    pub state_age_secs: f64,
    /// How long ago the observer last received a datagram that the member itself sent. `None` for the observer, and for a
    /// member that never sent one.
    #[serde(rename = "heard_secs_ago")]
    pub last_contact_secs_ago: Option<f64>,
    /// Whether the member counts for a majority: it is present, has presented a valid certificate to the observer and is not
    /// superseded.
    #[serde(rename = "counts")]
    pub counted: bool,
    /// Minimum time since the member published its attributes; `None` if they are not known.
    #[serde(rename = "facts_secs_old")]
    pub attributes_age_secs: Option<f64>,
    /// Zone of the member, empty if it has none.
    pub zone: String,
    /// Program version of the member.
    pub version: String,
    /// Digest of the member's settings, in hexadecimal.
    #[serde(rename = "config")]
    pub settings_digest: String,
    /// Version of the settings that this incarnation uses: 1 at its start, incremented by each change.
    #[serde(rename = "epoch")]
    pub settings_epoch: u64,
    /// Version of the endpoint list that the member uses.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// When the member started, in seconds since 1970 by its own clock.
    pub started: u64,
    /// The side of a partition that the member reports.
    pub side: PartitionSide,
}

/// The fleet as seen by one member, the observer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Name of the observer.
    #[serde(rename = "of")]
    pub observer: String,
    /// Digest of the present members, their incarnations and attributes, in hexadecimal.
    pub digest: String,
    /// Whether all views recently reported to the observer are equal to its own.
    pub agreed: bool,
    /// The side of a partition that the observer is on.
    pub side: PartitionSide,
    /// Number of present members that count for a majority, including the observer.
    pub counted: usize,
    /// Number of members that became silent without announcing that they leave.
    pub out_of_reach: usize,
    /// Size of the fleet last agreed on; 0 if there was no agreement.
    pub last_agreed: usize,
    /// All members in order of name.
    pub members: Vec<MemberView>,
}

const COLUMNS: usize = 12;
const HEADINGS: [&str; COLUMNS] = [
    "name", "address", "state", "for", "heard", "counts", "zone", "version", "config", "list", "life",
    "facts",
];
/// Cell of a value that is not known.
const UNKNOWN: &str = "-";

/// Formats a time span for people, in a unit that suits its length.
fn format_span(secs: f64) -> String {
    match secs {
        s if s < 10.0 => format!("{s:.1}s"),
        s if s < 120.0 => format!("{s:.0}s"),
        s if s < 7200.0 => format!("{:.0}m", s / 60.0),
        s if s < 172_800.0 => format!("{:.0}h", s / 3600.0),
        s => format!("{:.0}d", s / 86_400.0),
    }
}

fn format_optional_span(secs: Option<f64>) -> String {
    match secs {
        Some(secs) => format_span(secs),
        None => UNKNOWN.into(),
    }
}

fn or_unknown(text: &str) -> String {
    match text {
        "" => UNKNOWN.into(),
        text => text.into(),
    }
}

/// Returns the JSON name of an enum variant, for tables and log lines.
pub(super) fn serialized_name<T: Serialize>(variant: &T) -> String {
    match serde_json::to_value(variant) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

impl MemberView {
    fn cells(&self) -> [String; COLUMNS] {
        let (settings, list) = match self.attributes_age_secs {
            Some(_) => {
                (format!("{}/{}", self.settings_digest, self.settings_epoch), self.list_version.to_string())
            }
            None => (UNKNOWN.into(), UNKNOWN.into()),
        };
        [
            or_unknown(&self.name),
            self.address.clone(),
            serialized_name(&self.state),
            format_span(self.state_age_secs),
            format_optional_span(self.last_contact_secs_ago),
            if self.counted { "yes" } else { "no" }.into(),
            or_unknown(&self.zone),
            or_unknown(&self.version),
            settings,
            list,
            self.incarnation.to_string(),
            format_optional_span(self.attributes_age_secs),
        ]
    }
}

impl FleetView {
    /// Formats the view as a table: a line of headings, a line per member and a summary.
    pub fn table(&self) -> String {
        let mut rows = vec![HEADINGS.map(String::from)];
        rows.extend(self.members.iter().map(MemberView::cells));
        let mut widths = [0; COLUMNS];
        for row in &rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        let mut text = String::new();
        for row in &rows {
            let cells: Vec<String> =
                row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            // Writing to memory cannot fail.
            let _ = writeln!(text, "{}", cells.join("  ").trim_end());
        }
        let _ = writeln!(text, "{}", self.summary());
        text
    }

    fn summary(&self) -> String {
        format!(
            "seen by {}: {}, digest {}, {} counted, {} out of reach, last agreed on {}, side: {}",
            self.observer,
            if self.agreed { "agreed" } else { "not agreed" },
            self.digest,
            self.counted,
            self.out_of_reach,
            self.last_agreed,
            serialized_name(&self.side)
        )
    }
}

#[cfg(test)]
mod tests;
