//! The platform's configuration: read at the start and on SIGHUP, and converted into what the program uses.
//!
//! `file` is the file's format, `convert` turns its `settings` into [`DeploymentSettings`], `overrides` holds what the
//! command line puts before the file's keys, `digest` identifies the shared settings among peers, and [`check`] reports
//! all errors by key.
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

/// Bytes in a megabyte of `limits.disk_mb`.
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The configuration of one forwarder.
#[derive(Clone)]
pub struct Config {
    /// The forwarder's name, the same after a restart.
    pub name: String,
    /// Where platform clients connect.
    pub listen: SocketAddr,
    /// The discovery service, `HOST:PORT`.
    pub discovery: String,
    /// The operators' address; `None`: no management listener.
    pub mgmt: Option<SocketAddr>,
    /// The directory that outlives the process.
    pub state_dir: PathBuf,
    /// Bytes that the state directory may hold.
    pub disk_limit: u64,
    /// File descriptors that the process may hold.
    pub socket_limit: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The endpoint list at the start.
    pub initial_endpoints: EndpointListUpdate,
    /// What all forwarders of the deployment share.
    pub deployment: Arc<DeploymentSettings>,
    path: PathBuf,
    overrides: CommandLineOverrides,
}

/// The settings that all forwarders of a deployment share: the decision module's, and the names that are used on the wire
/// for the module's indices.
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
    /// How long a connect to an endpoint may take.
    pub connect_timeout: Nanos,
}

impl DeploymentSettings {
    /// Number of forwarders that poll the same discovery service, by which polls are spread over time.
    ///
    /// A pushed list is available to each forwarder at no cost to the others, and its endpoints count as notified as soon
    /// as it changes, so a forwarder that waited for its turn would keep sending to endpoints that drain: the number is 1.
    pub fn polling_forwarders(&self) -> usize {
        match self.module.poll_interval {
            Some(_) => self.module.forwarders,
            None => 1,
        }
    }
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

    /// Reads the same file again. What took precedence over its keys at the start still does.
    ///
    /// # Errors
    ///
    /// As for [`Config::read`].
    pub fn reload(&self) -> Result<Config, SettingsError> {
        let file = file::read(&self.path)?;
        Config::new(self.path.clone(), self.state_dir.clone(), file, self.overrides.clone())
    }

    /// The keys in which `fresh` differs and that only take effect after a restart. `seed` and `known` are not among
    /// them: they only count at a start.
    pub fn keys_needing_restart(&self, fresh: &Config) -> Vec<&'static str> {
        let limits_differ = self.disk_limit != fresh.disk_limit || self.socket_limit != fresh.socket_limit;
        let differences = [
            ("name", self.name != fresh.name),
            ("listen", self.listen != fresh.listen),
            ("mgmt", self.mgmt != fresh.mgmt),
            ("limits", limits_differ),
            ("settings", self.deployment != fresh.deployment),
        ];
        differences.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// A digest of the settings that all forwarders of a deployment share, independent of the order and layout of the
    /// file's keys; 0 if the file can no longer be read.
    pub fn digest(&self) -> u64 {
        digest::deployment_digest(&self.path)
    }

    fn new(
        path: PathBuf, state_dir: PathBuf, file: ConfigFile, overrides: CommandLineOverrides,
    ) -> Result<Config, SettingsError> {
        let in_force = overrides.clone();
        let discovery = in_force.discovery.unwrap_or(file.discovery);
        let listen = in_force.listen.unwrap_or(file.listen);
        let mgmt = in_force.mgmt.or(file.mgmt);
        // Guards a reload: an address that cannot work must be found here, while the old one is still in use.
        if !is_host_and_port(&discovery) {
            return Err(SettingsError::DiscoveryAddress { address: discovery });
        }
        Ok(Config {
            name: in_force.name.unwrap_or(file.name),
            listen: parse_listen(listen)?,
            discovery,
            mgmt: mgmt.map(parse_mgmt).transpose()?,
            state_dir,
            disk_limit: (file.limits.disk_mb * BYTES_PER_MEGABYTE) as u64,
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

/// Whether the text is `HOST:PORT`.
fn is_host_and_port(text: &str) -> bool {
    let Ok(authority) = text.parse::<Authority>() else { return false };
    authority.port_u16().is_some()
}
