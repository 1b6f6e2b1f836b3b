//! The view as it is shown: a table for people, JSON for programs.
use super::partition::PartitionSide;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// What is known of a member's being there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Known by hearsay; it has not spoken itself yet.
    Joining,
    /// It speaks.
    Alive,
    /// It does not answer, and has not been given up.
    Suspect,
    /// It was told to end and finishes what it holds.
    Draining,
    /// It said that it goes, and went.
    Left,
    /// Silent: ended or cut off, which cannot be told from here.
    Dead,
    /// Its name is borne by a later life elsewhere.
    ShutOut,
}

/// One member. Spans are in seconds, and as of the moment of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    pub name: String,
    pub address: String,
    /// The number of its life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub state: MemberState,
    /// Since when it is there, or is there no more.
    #[serde(rename = "for_secs")]
    pub state_age_secs: f64,
    /// Since it last spoke to the one asked; none for that one itself, and where it never did.
    #[serde(rename = "heard_secs_ago")]
    pub last_heard_secs_ago: Option<f64>,
    /// It has shown a certificate to the one asked: it counts.
    #[serde(rename = "counts")]
    pub counted: bool,
    /// What it wrote of itself, and how old that is at least.
    #[serde(rename = "facts_secs_old")]
    pub attributes_age_secs: Option<f64>,
    pub zone: String,
    pub version: String,
    /// Digest of its settings, and which of its life they are.
    #[serde(rename = "config")]
    pub settings_digest: String,
    #[serde(rename = "epoch")]
    pub settings_epoch: u64,
    #[serde(rename = "list")]
    pub list_version: u64,
    /// Seconds since 1970 by its own clock.
    pub started: u64,
    pub side: PartitionSide,
}

/// The view of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Who was asked.
    #[serde(rename = "of")]
    pub observer: String,
    /// One number for who is there, in which life, with which facts.
    pub digest: String,
    /// All views that the one asked has heard lately are the same as its own.
    pub agreed: bool,
    /// The side that it is on.
    pub side: PartitionSide,
    /// Membership there that count, it included.
    pub counted: usize,
    /// Membership that went without a word.
    pub out_of_reach: usize,
    /// How many the fleet had when it was last agreed; 0 if it never was.
    pub last_agreed: usize,
    pub members: Vec<MemberView>,
}

/// A span for people.
fn span(secs: f64) -> String {
    match secs {
        s if s < 10.0 => format!("{s:.1}s"),
        s if s < 120.0 => format!("{s:.0}s"),
        s if s < 7200.0 => format!("{:.0}m", s / 60.0),
        s if s < 172_800.0 => format!("{:.0}h", s / 3600.0),
        s => format!("{:.0}d", s / 86_400.0),
    }
}

/// The word that stands for a value in JSON, for tables and log lines.
pub(super) fn word<T: Serialize>(of: &T) -> String {
    serde_json::to_value(of).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
}

impl FleetView {
    /// The table: a line of heads, one a member, and one on the whole.
    pub fn table(&self) -> String {
        let heads = [
            "name", "address", "state", "for", "heard", "counts", "zone", "version", "config", "list",
            "life", "facts",
        ];
        let mut rows = vec![heads.map(String::from)];
        for m in &self.members {
            let dash = |text: &str| if text.is_empty() { "-".into() } else { text.to_string() };
            let known = m.attributes_age_secs.is_some();
            let fact = |text: String| if known { text } else { "-".into() };
            rows.push([
                dash(&m.name),
                m.address.clone(),
                word(&m.state),
                span(m.state_age_secs),
                m.last_heard_secs_ago.map_or("-".into(), span),
                if m.counted { "yes" } else { "no" }.into(),
                dash(&m.zone),
                dash(&m.version),
                fact(format!("{}/{}", m.settings_digest, m.settings_epoch)),
                fact(m.list_version.to_string()),
                m.incarnation.to_string(),
                m.attributes_age_secs.map_or("-".into(), span),
            ]);
        }
        let wide = |n: usize| rows.iter().map(|r| r[n].chars().count()).max().unwrap_or(0);
        let wide: Vec<usize> = (0..heads.len()).map(wide).collect();
        let mut out = String::new();
        for row in &rows {
            let cells: Vec<String> = row.iter().zip(&wide).map(|(c, w)| format!("{c:<w$}")).collect();
            // Writing to memory does not fail.
            let _ = writeln!(out, "{}", cells.join("  ").trim_end());
        }
        let agreed = if self.agreed { "agreed" } else { "not agreed" };
        let _ = writeln!(
            out,
            "seen by {}: {agreed}, digest {}, {} counted, {} out of reach, last agreed on {}, side: {}",
            self.observer,
            self.digest,
            self.counted,
            self.out_of_reach,
            self.last_agreed,
            word(&self.side)
        );
        out
    }
}

#[cfg(test)]
mod tests;
