//! Why a configuration cannot be used.
use crate::config_error::ConfigError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why the configuration cannot be loaded. `micaladder check` reports the same errors, and more, by file and key.
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
    #[error("discovery {address}: no address")]
    DiscoveryAddress {
        /// The value in force, from the file or from the command line.
        address: String,
    },
    /// `listen` is not `IP:PORT`: correct the key, `--listen` or `RELAY_LISTEN`.
    #[error("listen address {address}: {source}")]
    ListenAddress {
        /// The value in force, from the file or from the command line.
        address: String,
        /// What the parser rejected.
        source: AddrParseError,
    },
    /// `mgmt` is not `IP:PORT`: correct the key, `--mgmt` or `RELAY_MGMT`.
    #[error("mgmt address {address}: {source}")]
    ManagementAddress {
        /// The value in force, from the file or from the command line.
        address: String,
        /// What the parser rejected.
        source: AddrParseError,
    },
    /// `seed` is not a number of up to 16 hexadecimal digits: correct the key.
    #[error("seed {seed}: {source}")]
    Seed {
        /// The value in the file.
        seed: String,
        /// What the parser rejected.
        source: ParseIntError,
    },
}
