//! Errors in configuration files, located by file and key.
//!
//! The daemon parses its files leniently at start; [`explain_parse_failure`] says why that failed. `micaladder check`
//! parses them strictly: every key must be known, and every error names its place. This module knows no file format;
//! each package checks its own file with [`ConfigErrors`].
#![warn(missing_docs)]
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// One error in a configuration file. Its text reads `FILE: KEY: MESSAGE`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ConfigError {
    /// The file that contains the error.
    pub file: PathBuf,
    /// The key, as `settings.classes[0].effect`; empty if the error concerns the whole file.
    pub key: String,
    /// What is wrong and which values are allowed.
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

/// Collects the errors of one file.
pub struct ConfigErrors<'a> {
    file: &'a Path,
    /// The errors found so far, in the order of the checks.
    pub errors: Vec<ConfigError>,
}

impl<'a> ConfigErrors<'a> {
    /// An empty collection for `file`.
    pub fn new(file: &'a Path) -> ConfigErrors<'a> {
        ConfigErrors { file, errors: Vec::new() }
    }

    /// Adds an error at `key`; an empty key stands for the whole file.
    pub fn add(&mut self, key: impl Into<String>, message: impl fmt::Display) {
        let (file, key, message) = (self.file.into(), key.into(), message.to_string());
        self.errors.push(ConfigError { file, key, message });
    }

    /// Adds an error unless `condition` holds.
    pub fn require(&mut self, condition: bool, key: impl Into<String>, message: impl fmt::Display) {
        if !condition {
            self.add(key, message);
        }
    }

    /// Adds an error if there is a value and it is not one of `allowed`.
    pub fn require_one_of(&mut self, value: Option<&str>, allowed: &[&str], key: impl Into<String>) {
        if let Some(value) = value.filter(|v| !allowed.contains(v)) {
            self.add(key, format!("{value:?} is none of {}", allowed.join(", ")));
        }
    }

    /// Adds an error unless `text` is an IP address with a port.
    pub fn require_socket_address(&mut self, text: &str, key: impl Into<String>) {
        let valid = text.parse::<SocketAddr>().is_ok();
        self.require(valid, key, format!("not a socket address: {text:?}"));
    }

    /// Adds an error if there is a name and it is not one of `names`.
    pub fn require_known(
        &mut self, name: &Option<String>, names: &[String], key: impl Into<String>, message: &str,
    ) {
        let known = name.as_ref().is_none_or(|n| names.contains(n));
        self.require(known, key, message);
    }

    /// Adds an error for each name that has occurred before; `key` gives the key of the name at an index.
    pub fn reject_duplicates<'n>(
        &mut self, names: impl Iterator<Item = &'n str>, key: impl Fn(usize) -> String,
    ) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let is_new = seen.insert(name);
            self.require(is_new, key(index), format!("{name:?} is there twice"));
        }
    }

    /// Parses JSON strictly: adds the parse error, if any, and an error for each unknown key. `unused` lists the keys
    /// that may be present although this program ignores them, with `[]` for any index.
    ///
    /// Returns the parsed value, also if unknown keys were found.
    pub fn parse_json<T: DeserializeOwned>(&mut self, text: &str, unused: &[&str]) -> Option<T> {
        let mut ignored = Vec::new();
        let mut json = serde_json::Deserializer::from_str(text);
        let mut track = serde_path_to_error::Track::new();
        let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
        let parsed =
            serde_ignored::deserialize(tracked, |path| ignored.push(with_brackets(&path.to_string())));
        // Text behind the value is an error too.
        let parsed = parsed.and_then(|value| json.end().map(|()| value));
        let value = match parsed {
            Ok(value) => Some(value),
            Err(error) => {
                // A position that is not known yet and the document itself contribute no key.
                let path = track.path().to_string();
                self.add(path.trim_end_matches(['.', '?']), error);
                None
            }
        };
        for key in ignored {
            let allowed = unused.contains(&without_indices(&key).as_str());
            self.require(allowed, key, "no such key");
        }
        value
    }
}

/// Rewrites `a.?.0.b` as `a[0].b`; an optional value (`?`) contributes nothing to its path.
fn with_brackets(path: &str) -> String {
    let mut key = String::new();
    for part in path.split('.').filter(|p| *p != "?") {
        if part.bytes().all(|b| b.is_ascii_digit()) {
            key.push_str(&format!("[{part}]"));
            continue;
        }
        if !key.is_empty() {
            key.push('.');
        }
        key.push_str(part);
    }
    key
}

/// Rewrites `a[0].b` as `a[].b`.
fn without_indices(key: &str) -> String {
    let mut out = String::with_capacity(key.len());
    let mut in_brackets = false;
    for c in key.chars() {
        match c {
            '[' => in_brackets = true,
            ']' => in_brackets = false,
            _ if in_brackets => continue,
            _ => {}
        }
        out.push(c);
    }
    out
}

/// Explains why the text of `file` could not be parsed as `T`.
pub fn explain_parse_failure<T: DeserializeOwned>(file: &Path, text: &str) -> ConfigError {
    let mut errors = ConfigErrors::new(file);
    let parsed: Option<T> = errors.parse_json(text, &[]);
    let first = errors.errors.into_iter().next();
    match (parsed, first) {
        (None, Some(error)) => error,
        // The strict parser accepts the text, so it cannot name a place.
        _ => ConfigError { file: file.into(), key: String::new(), message: "cannot be read".into() },
    }
}
