//! What is wrong in a file, by file and key. Reads JSON the strict way: each key must be known, and a fault names its
//! place. The daemon's start reads the same files leniently; this says why it could not, and `check` says the rest.
//! Knows no file: each package checks its own.
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The file in which it stands.
    pub file: PathBuf,
    /// The key, as `settings.classes[0].effect`; empty for the file as a whole.
    pub key: String,
    /// What is wrong with it, and what it may be.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// The errors of one file.
pub struct ConfigErrors<'a> {
    file: &'a Path,
    /// All that were found, in the order of the file.
    pub errors: Vec<ConfigError>,
}

impl<'a> ConfigErrors<'a> {
    /// None yet.
    pub fn new(file: &'a Path) -> ConfigErrors<'a> {
        ConfigErrors { file, errors: Vec::new() }
    }

    /// Adds one.
    pub fn add(&mut self, key: impl Into<String>, message: impl fmt::Display) {
        self.errors.push(ConfigError {
            file: self.file.into(),
            key: key.into(),
            message: message.to_string(),
        });
    }

    /// Adds one unless it holds.
    pub fn require(&mut self, holds: bool, key: impl Into<String>, message: impl fmt::Display) {
        if !holds {
            self.add(key, message);
        }
    }

    /// Adds one if the word is none of these.
    pub fn require_one_of(&mut self, word: Option<&str>, of: &[&str], key: impl Into<String>) {
        if let Some(word) = word.filter(|w| !of.contains(w)) {
            self.add(key, format!("{word:?} is none of {}", of.join(", ")));
        }
    }

    /// Adds one unless it is a socket address.
    pub fn require_socket_address(&mut self, text: &str, key: impl Into<String>) {
        let good = text.parse::<SocketAddr>().is_ok();
        self.require(good, key, format!("not a socket address: {text:?}"));
    }

    /// Adds one if there is a name that is not among these.
    pub fn require_known(
        &mut self, name: &Option<String>, names: &[String], key: impl Into<String>, message: &str,
    ) {
        self.require(name.as_ref().is_none_or(|n| names.contains(n)), key, message);
    }

    /// Adds one for each name that stands twice.
    pub fn reject_duplicates<'n>(
        &mut self, names: impl Iterator<Item = &'n str>, key: impl Fn(usize) -> String,
    ) {
        let mut seen = std::collections::BTreeSet::new();
        for (i, name) in names.enumerate() {
            self.require(seen.insert(name), key(i), format!("{name:?} is there twice"));
        }
    }

    /// Reads a text as JSON: what it holds, if it can be read, and the keys that nobody knows. `unused` are those
    /// that may stand in the file though this program has no use for them, with `[]` for any place in a list.
    pub fn parse_json<T: DeserializeOwned>(&mut self, text: &str, unused: &[&str]) -> Option<T> {
        let mut unknown = Vec::new();
        let mut json = serde_json::Deserializer::from_str(text);
        let mut track = serde_path_to_error::Track::new();
        let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
        let read = serde_ignored::deserialize(tracked, |path| unknown.push(brackets(&path.to_string())));
        let read = read.and_then(|value| json.end().map(|()| value));
        let value = match read {
            Ok(value) => Some(value),
            Err(fault) => {
                // A place that is not known yet, or the file itself, adds nothing.
                let path = track.path().to_string();
                self.add(path.trim_end_matches(['.', '?']), fault);
                None
            }
        };
        for key in unknown {
            let any = any_place(&key);
            self.require(unused.contains(&any.as_str()), key, "no such key");
        }
        value
    }
}

/// `a.?.0.b` as `a[0].b`: a value that may be missing adds nothing to its path.
fn brackets(path: &str) -> String {
    let mut out = String::new();
    for part in path.split('.').filter(|p| *p != "?") {
        if part.bytes().all(|b| b.is_ascii_digit()) {
            out.push_str(&format!("[{part}]"));
        } else {
            out.push_str(if out.is_empty() { "" } else { "." });
            out.push_str(part);
        }
    }
    out
}

/// `a[0].b` as `a[].b`.
fn any_place(key: &str) -> String {
    let mut inside = false;
    key.chars()
        .filter(|c| {
            inside = *c == '[' || inside && *c != ']';
            !inside || *c == '['
        })
        .collect()
}

/// Why a file that must be read could not be, in one line.
pub fn explain_parse_failure<T: DeserializeOwned>(file: &Path, text: &str) -> String {
    let mut errors = ConfigErrors::new(file);
    let read: Option<T> = errors.parse_json(text, &[]);
    let missing = ConfigError { file: file.into(), key: String::new(), message: "cannot be read".into() };
    let first = errors.errors.into_iter().next().filter(|_| read.is_none()).unwrap_or(missing);
    first.to_string()
}

#[cfg(test)]
mod tests;
