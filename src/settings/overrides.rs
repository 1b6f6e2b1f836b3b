//! Values from the command line and the environment that take precedence over keys of the configuration file.
use super::file::ConfigFile;
use crate::flags::RunFlags;

/// The values that take precedence over the file's keys. They are determined once, at the start, and stay in force across
/// reloads.
#[derive(Clone)]
pub(super) struct CommandLineOverrides {
    pub(super) name: Option<String>,
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    pub(super) mgmt: Option<String>,
}

impl CommandLineOverrides {
    /// Collects the flags, and the variables that differ from the file's keys (see `RunFlags::override_for`).
    pub(super) fn new(run: &RunFlags, file: &ConfigFile) -> CommandLineOverrides {
        let listen = run.listen.map(|address| address.to_string());
        let mgmt = run.mgmt.map(|address| address.to_string());
        let mgmt_key = file.mgmt.as_deref().unwrap_or_default();
        CommandLineOverrides {
            name: run.override_for("name", run.name.clone(), &file.name),
            listen: run.override_for("listen", listen, &file.listen),
            discovery: run.override_for("discovery", run.discovery.clone(), &file.discovery),
            mgmt: run.override_for("mgmt", mgmt, mgmt_key),
        }
    }
}
