//! Errors in configuration files, located by file and key.
//!
//! At its start the daemon ignores unknown keys; if it cannot parse a file, [`explain_parse_failure`] locates the error.
//! `micaladder check` also rejects unknown keys. This module is independent of the file formats: each module checks its own
//! file with [`ConfigErrors`].
#![warn(missing_docs)]
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// An error in a configuration file, displayed as `FILE: KEY: MESSAGE`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ConfigError {
    /// The file that contains the error.
    pub file: PathBuf,
    /// The key, for example `settings.classes[0].effect`; empty if the error concerns the whole file.
    pub key: String,
    /// What is wrong, and the allowed values where that helps.
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

/// A collector of the errors in one file.
pub struct ConfigErrors<'a> {
    file: &'a Path,
    /// The errors found so far, in the order of the checks.
    pub errors: Vec<ConfigError>,
}

impl<'a> ConfigErrors<'a> {
    /// Creates an empty collector for `file`.
    pub fn new(file: &'a Path) -> ConfigErrors<'a> {
        ConfigErrors { file, errors: Vec::new() }
    }

    /// Adds an error at `key`; an empty key refers to the whole file.
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

    /// Adds an error if `value` is present and not one of `allowed`.
    pub fn require_one_of(&mut self, value: Option<&str>, allowed: &[&str], key: impl Into<String>) {
        if let Some(value) = value.filter(|v| !allowed.contains(v)) {
            self.add(key, format!("{value:?} is not one of {}", allowed.join(", ")));
        }
    }

    /// Adds an error unless `text` is an IP address with a port.
    pub fn require_socket_address(&mut self, text: &str, key: impl Into<String>) {
        let valid = text.parse::<SocketAddr>().is_ok();
        self.require(valid, key, format!("not a socket address: {text:?}"));
    }

    /// Adds an error if `name` is present and not one of `names`.
    pub fn require_known(
        &mut self, name: &Option<String>, names: &[String], key: impl Into<String>, message: &str,
    ) {
        let known = name.as_ref().is_none_or(|n| names.contains(n));
        self.require(known, key, message);
    }

    /// Adds an error for each name that repeats an earlier one; `key` returns the key of the name at an index.
    pub fn reject_duplicates<'n>(
        &mut self, names: impl Iterator<Item = &'n str>, key: impl Fn(usize) -> String,
    ) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let is_new = seen.insert(name);
            self.require(is_new, key(index), format!("{name:?} occurs more than once"));
        }
    }

    /// Parses JSON strictly: adds the parse error, if any, and an error for each unknown key. `unused` lists the keys
    /// that are allowed although this program ignores them, with `[]` for any index.
    ///
    /// Returns the parsed value even if unknown keys were found.
    pub fn parse_json<T: DeserializeOwned>(&mut self, text: &str, unused: &[&str]) -> Option<T> {
        let mut ignored = Vec::new();
        let mut json = serde_json::Deserializer::from_str(text);
        let mut track = serde_path_to_error::Track::new();
        let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
        let parsed =
            serde_ignored::deserialize(tracked, |path| ignored.push(with_brackets(&path.to_string())));
        // Trailing text after the value is an error too.
        let parsed = parsed.and_then(|value| json.end().map(|()| value));
        let value = match parsed {
            Ok(value) => Some(value),
            Err(error) => {
                // The path of the whole document is ".", and an undetermined position ends with "?": neither is part of a key.
                let path = track.path().to_string();
                self.add(path.trim_end_matches(['.', '?']), error);
                None
            }
        };
        for key in ignored {
            let allowed = unused.contains(&without_indices(&key).as_str());
            self.require(allowed, key, "unknown key");
        }
        value
    }
}

/// Rewrites `a.?.0.b` as `a[0].b`; drops `?`, which marks an optional value.
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

/// Returns the error that prevents `text`, the content of `file`, from being parsed as `T`.
pub fn explain_parse_failure<T: DeserializeOwned>(file: &Path, text: &str) -> ConfigError {
    let mut errors = ConfigErrors::new(file);
    let parsed: Option<T> = errors.parse_json(text, &[]);
    let first = errors.errors.into_iter().next();
    match (parsed, first) {
        (None, Some(error)) => error,
        // This parser accepts the text, although the daemon's did not, so the error has no location.
        _ => ConfigError { file: file.into(), key: String::new(), message: "cannot be parsed".into() },
    }
}
