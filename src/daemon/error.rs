//! Errors that stop the daemon.
use crate::as2::As2Error;
use crate::settings::SettingsError;
use crate::takeover::TakeoverError;
use std::io;

/// An error that prevents the daemon from starting or continuing. Its text names the file, key or address at fault.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The configuration cannot be read or contains an error: `micaladder check` lists all errors.
    #[error(transparent)]
    Configuration(#[from] SettingsError),
    /// The AS2 settings, or a key or certificate that they name, are invalid: run `micaladder check`.
    #[error(transparent)]
    As2Settings(#[from] As2Error),
    /// The daemon cannot listen at the management address: check that no other process uses it.
    #[error(transparent)]
    ManagementAddress(io::Error),
    /// The daemon cannot listen at a client address: check that this machine has the address and no other process uses it.
    #[error(transparent)]
    ClientAddress(io::Error),
    /// The state folder cannot be shared with another process.
    #[error(transparent)]
    Takeover(#[from] TakeoverError),
    /// The journal cannot be opened: check that the state folder is readable and writable.
    #[error(transparent)]
    Journal(io::Error),
    /// The TLS settings of the AS2 front are unusable.
    #[error(transparent)]
    Tls(#[from] tokio_rustls::rustls::Error),
    /// The system cannot provide a runtime, thread or signal handler: check its limits on descriptors and threads.
    #[error(transparent)]
    System(io::Error),
}
