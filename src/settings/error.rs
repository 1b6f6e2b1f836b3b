//! Errors of a configuration that cannot be used.
use crate::config_error::ConfigError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// An error that prevents the configuration from being loaded. `micaladder check` reports these and further errors by file
/// and key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read: correct `--config` or the file's permissions.
    #[error("{}: {source}", path.display())]
    Read {
        /// The configuration file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not JSON, or a key is missing or has the wrong type: correct the key that the error names.
    #[error(transparent)]
    Parse(ConfigError),
    /// `discovery` is not `HOST:PORT`: correct the key, `--discovery` or `RELAY_DISCOVERY`.
    #[error("discovery address {address}: not HOST:PORT")]
    DiscoveryAddress {
        /// The value in force, from the file or from the command line.
        address: String,
    },
    /// `listen` is not `IP:PORT`: correct the key, `--listen` or `RELAY_LISTEN`.
    #[error("listen address {address}: {source}")]
    ListenAddress {
        /// The value in force, from the file or from the command line.
        address: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// `mgmt` is not `IP:PORT`: correct the key, `--mgmt` or `RELAY_MGMT`.
    #[error("mgmt address {address}: {source}")]
    ManagementAddress {
        /// The value in force, from the file or from the command line.
        address: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// `seed` is not a number of up to 16 hexadecimal digits: correct the key.
    #[error("seed {seed}: {source}")]
    Seed {
        /// The value in the file.
        seed: String,
        /// The parser's error.
        source: ParseIntError,
    },
}
