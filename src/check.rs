//! `micaladder check`: reports all errors in all files that the daemon reads at its start. Each module checks its own files.
#![warn(missing_docs)]
use crate::config_error::ConfigError;
use crate::peers::credentials::CredentialFiles;
use crate::{as2, flags, plugins, settings};

/// Checks the configuration, the AS2 settings, the plug-in scripts and the peers' certificates, in this order, and returns all
/// errors. Does not start the daemon or write files.
pub fn check_files(files: &flags::FileFlags) -> Vec<ConfigError> {
    let (mut errors, deployment) = settings::check::check_file(&files.config);
    errors.extend(as2::check::check_file(&files.as2, deployment.as_ref()));
    errors.extend(plugins::check(&files.plugins));
    errors.extend(CredentialFiles::from_flags(&files.peers.identity).and_then(|f| f.load().err()));
    errors
}
