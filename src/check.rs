//! Every file that a start would read, and all that is wrong in them: each package checks its own, here they are called.
use crate::config_error::ConfigError;
use crate::peers::trust::Files;
use crate::{as2, flags, plugins, settings};

/// Reads every file that a start would read, and gives all that is wrong in them.
pub fn all(files: &flags::Files) -> Vec<ConfigError> {
    let (mut found, site) = settings::check::file(&files.config);
    found.extend(as2::check::file(&files.as2, site.as_ref()));
    found.extend(plugins::check(&files.plugins));
    found.extend(Files::of(&files.neighbours.papers).and_then(|f| f.read().err()));
    found
}
