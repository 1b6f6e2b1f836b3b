//! Reads the platform's configuration at the start and on SIGHUP, and converts it into the types of the program.
//!
//! `file` defines the file's format, `convert` turns its `settings` into [`DeploymentSettings`], `overrides` holds the values
//! from the command line that replace keys of the file, `digest` lets peers compare their shared settings, and [`check`]
//! reports all errors by key.
#![warn(missing_docs)]
pub mod check;
mod convert;
mod digest;
mod error;
mod file;
mod overrides;

pub use error::SettingsError;
pub use file::{EndpointListUpdate, ListedEndpoint};

use crate::flags::RunFlags;
use crate::{Nanos, Settings};
use file::ConfigFile;
use hyper::http::uri::Authority;
use overrides::CommandLineOverrides;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Memory limit of a configuration without `limits.memory_mb`: the least that a deployment of the platform has.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Bytes in a megabyte of `limits.disk_mb` and `limits.memory_mb`.
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The configuration of one forwarder.
#[derive(Clone)]
pub struct Config {
    /// The forwarder's name, the same after a restart.
    pub name: String,
    /// The address for platform clients.
    pub listen: SocketAddr,
    /// The discovery service, `HOST:PORT`.
    pub discovery: String,
    /// The management address; `None` disables the management listener.
    pub mgmt: Option<SocketAddr>,
    /// The state folder, which persists across restarts.
    pub state_dir: PathBuf,
    /// Maximum size of the state folder in bytes.
    pub disk_limit: u64,
    /// Maximum memory of the process in bytes, with its files in private folders.
    pub memory_limit: u64,
    /// Maximum number of file descriptors of the process.
    pub socket_limit: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The endpoint list at the start.
    pub initial_endpoints: EndpointListUpdate,
    /// The settings that all forwarders of the deployment share.
    pub deployment: Arc<DeploymentSettings>,
    path: PathBuf,
    overrides: CommandLineOverrides,
}

/// The settings that all forwarders of a deployment share: those of the decision module, and the names that replace its
/// indices on the wire.
#[derive(PartialEq)]
pub struct DeploymentSettings {
    /// The decision module's settings.
    pub module: Settings,
    /// Names of the message classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index; empty in a deployment without tenants.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the endpoint kinds, by index.
    pub kinds: Vec<String>,
    /// Timeout of a connect to an endpoint.
    pub connect_timeout: Nanos,
}

impl DeploymentSettings {
    /// Returns the number of forwarders that poll the same discovery service, over which polls are spread in time.
    ///
    /// The number is 1 if discovery pushes its list. A pushed list reaches each forwarder at no cost to the others, and its
    /// changes count as known to all forwarders at once. A forwarder that waited to spread the load would keep sending to
    /// draining endpoints.
    pub fn polling_forwarders(&self) -> usize {
        match self.module.poll_interval {
            Some(_) => self.module.forwarders,
            None => 1,
        }
    }

    /// Returns the index of a zone, or 0 if its name is missing or unknown.
    pub fn zone_index(&self, name: Option<&str>) -> usize {
        index_of(&self.zones, name)
    }

    /// Returns the index of an endpoint kind, or 0 if its name is missing or unknown.
    pub fn kind_index(&self, name: Option<&str>) -> usize {
        index_of(&self.kinds, name)
    }
}

fn index_of(names: &[String], name: Option<&str>) -> usize {
    names.iter().position(|known| Some(known.as_str()) == name).unwrap_or(0)
}

impl Config {
    /// Reads the configuration file that the command line names. Values on the command line take precedence.
    ///
    /// # Errors
    ///
    /// The file cannot be read or parsed, or an address or the seed is malformed.
    pub fn read(run: &RunFlags) -> Result<Config, SettingsError> {
        let path = run.files.config.clone();
        let file = file::read(&path)?;
        let overrides = CommandLineOverrides::new(run, &file);
        Config::new(path, run.state.clone(), file, overrides)
    }

    /// Reads the same file again. Values that took precedence over its keys at the start still do.
    ///
    /// # Errors
    ///
    /// As for [`Config::read`].
    pub fn reload(&self) -> Result<Config, SettingsError> {
        let file = file::read(&self.path)?;
        Config::new(self.path.clone(), self.state_dir.clone(), file, self.overrides.clone())
    }

    /// Returns the keys in which `reloaded` differs and that take effect only after a restart. `seed` and `known` are not
    /// included, because they are used only at the start.
    pub fn keys_needing_restart(&self, reloaded: &Config) -> Vec<&'static str> {
        let limits = |config: &Config| (config.disk_limit, config.memory_limit, config.socket_limit);
        let limits_differ = limits(self) != limits(reloaded);
        let differences = [
            ("name", self.name != reloaded.name),
            ("listen", self.listen != reloaded.listen),
            ("mgmt", self.mgmt != reloaded.mgmt),
            ("limits", limits_differ),
            ("settings", self.deployment != reloaded.deployment),
        ];
        differences.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// Returns a digest of the settings that all forwarders of a deployment share, independent of the order and layout of the
    /// file's keys; 0 if the file can no longer be read.
    pub fn digest(&self) -> u64 {
        digest::deployment_digest(&self.path)
    }

    fn new(
        path: PathBuf, state_dir: PathBuf, file: ConfigFile, overrides: CommandLineOverrides,
    ) -> Result<Config, SettingsError> {
        let overridden = overrides.clone();
        let discovery = overridden.discovery.unwrap_or(file.discovery);
        let listen = overridden.listen.unwrap_or(file.listen);
        let mgmt = overridden.mgmt.or(file.mgmt);
        // Validated here so that a reload rejects an unusable address while the current one stays in use.
        if !is_host_and_port(&discovery) {
            return Err(SettingsError::DiscoveryAddress { address: discovery });
        }
        Ok(Config {
            name: overridden.name.unwrap_or(file.name),
            listen: parse_listen(listen)?,
            discovery,
            mgmt: mgmt.map(parse_mgmt).transpose()?,
            state_dir,
            disk_limit: (file.limits.disk_mb * BYTES_PER_MEGABYTE) as u64,
            memory_limit: (file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MEGABYTE) as u64,
            socket_limit: file.limits.sockets as usize,
            seed: parse_seed(file.seed)?,
            initial_endpoints: file.known,
            deployment: Arc::new(file.settings.into()),
            path,
            overrides,
        })
    }
}

fn parse_listen(address: String) -> Result<SocketAddr, SettingsError> {
    address.parse().map_err(|source| SettingsError::ListenAddress { address, source })
}

fn parse_mgmt(address: String) -> Result<SocketAddr, SettingsError> {
    address.parse().map_err(|source| SettingsError::ManagementAddress { address, source })
}

fn parse_seed(seed: String) -> Result<u64, SettingsError> {
    u64::from_str_radix(&seed, 16).map_err(|source| SettingsError::Seed { seed, source })
}

/// Returns whether the text is `HOST:PORT`.
fn is_host_and_port(text: &str) -> bool {
    let Ok(authority) = text.parse::<Authority>() else { return false };
    authority.port_u16().is_some()
}
