//! Why the daemon cannot start or go on.
use crate::as2::As2Error;
use crate::settings::SettingsError;
use crate::takeover::TakeoverError;
use std::io;

/// Why the daemon cannot start or go on. Each text names the file, key or address at fault.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The configuration cannot be read, or a key in it is wrong: `micaladder check` finds all that is wrong.
    #[error(transparent)]
    Configuration(#[from] SettingsError),
    /// The file of the AS2 front, or a key or certificate that it names, is wrong: see `micaladder check`.
    #[error(transparent)]
    As2Settings(#[from] As2Error),
    /// The address for operators cannot be listened at: see that no other process has it.
    #[error(transparent)]
    ManagementAddress(io::Error),
    /// A client address cannot be listened at: see that it is one of this machine and that no other process has it.
    #[error(transparent)]
    ClientAddress(io::Error),
    /// The lasting folder cannot be shared with another process.
    #[error(transparent)]
    Takeover(#[from] TakeoverError),
    /// The journal cannot be opened: see that the lasting folder is readable and writable.
    #[error(transparent)]
    Journal(io::Error),
    /// The TLS settings of the AS2 front are not usable.
    #[error(transparent)]
    Tls(#[from] tokio_rustls::rustls::Error),
    /// The system gave no runtime or signal handler: see its limits on descriptors.
    #[error(transparent)]
    System(io::Error),
}
