//! Every file that a start would read, and all that is wrong in them: each package checks its own, here they are called.
use crate::config_error::ConfigError;
use crate::peers::credentials::CredentialFiles;
use crate::{as2, flags, plugins, settings};

/// Reads every file that a start would read, and gives all that is wrong in them.
pub fn check_files(files: &flags::FileFlags) -> Vec<ConfigError> {
    let (mut found, site) = settings::check::check_file(&files.config);
    found.extend(as2::check::check_file(&files.as2, site.as_ref()));
    found.extend(plugins::check(&files.plugins));
    found.extend(CredentialFiles::from_flags(&files.peers.identity).and_then(|f| f.load().err()));
    found
}
