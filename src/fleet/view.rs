//! The view as it is shown: a table for people, JSON for programs. The names in JSON are those of `docs/operate/fleet.md`
//! and stay, whatever the fields are called here.
use super::partition::PartitionSide;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Whether a member is present, as far as the observer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Known from gossip; it has not sent a datagram to the observer yet.
    Joining,
    /// It sends datagrams.
    Alive,
    /// It does not answer probes, and has not been declared dead.
    Suspect,
    /// It is shutting down, and completes what is in flight.
    Draining,
    /// It announced that it leaves, and departed.
    Left,
    /// Silent: it has ended or is cut off, which the observer cannot tell apart.
    Dead,
    /// Another member with its name has a later incarnation.
    #[serde(rename = "shut-out")]
    Superseded,
}

/// One member. Times are in seconds, as of the moment of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where it receives datagrams and accepts connections.
    pub address: String,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether it is present.
    pub state: MemberState,
    /// How long ago it became present or departed.
    #[serde(rename = "for_secs")]
    pub state_age_secs: f64,
    /// How long ago the observer last received a datagram of its own; none for the observer itself, and where it never
    /// did.
    #[serde(rename = "heard_secs_ago")]
    pub last_contact_secs_ago: Option<f64>,
    /// It has presented a valid certificate to the observer and counts for a majority.
    #[serde(rename = "counts")]
    pub counted: bool,
    /// How long ago it published its attributes, at least; none where they are not known.
    #[serde(rename = "facts_secs_old")]
    pub attributes_age_secs: Option<f64>,
    /// Its zone, empty where it has none.
    pub zone: String,
    /// Its program's version.
    pub version: String,
    /// Digest of its settings, in hexadecimal.
    #[serde(rename = "config")]
    pub settings_digest: String,
    /// Counts the settings that this incarnation has used, from 1 on.
    #[serde(rename = "epoch")]
    pub settings_epoch: u64,
    /// Version of the endpoint list that it uses.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// When it started, in seconds since 1970 by its own clock.
    pub started: u64,
    /// The side of a partition that it reports.
    pub side: PartitionSide,
}

/// The view of one member, the observer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Name of the observer.
    #[serde(rename = "of")]
    pub observer: String,
    /// One number, in hexadecimal, for who is present, in which incarnation, with which attributes.
    pub digest: String,
    /// All views that were reported to the observer lately are the same as its own.
    pub agreed: bool,
    /// The side of a partition that the observer is on.
    pub side: PartitionSide,
    /// Members that are present and count, the observer included.
    pub counted: usize,
    /// Members that fell silent without announcing that they leave.
    pub out_of_reach: usize,
    /// Size of the fleet when it was last agreed; 0 if it never was.
    pub last_agreed: usize,
    /// All members, by name.
    pub members: Vec<MemberView>,
}

const COLUMNS: usize = 12;
const HEADINGS: [&str; COLUMNS] = [
    "name", "address", "state", "for", "heard", "counts", "zone", "version", "config", "list", "life",
    "facts",
];
/// Stands for what is not known.
const UNKNOWN: &str = "-";

/// A time span for people, in the largest unit that still says something.
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

/// The name of an enum's variant in JSON, for tables and log lines.
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
    /// The table: a line of headings, one a member, and a summary.
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
