//! Errors that stop the daemon.
use crate::as2::As2Error;
use crate::settings::SettingsError;
use crate::takeover::TakeoverError;
use nix::errno::Errno;
use std::io::{self, ErrorKind};

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

/// Errors of the system that may pass, beside those with an [`ErrorKind`]: a device that fails, and too few descriptors or buffers.
const PASSING_ERRORS: [Errno; 4] = [Errno::EIO, Errno::ENFILE, Errno::EMFILE, Errno::ENOBUFS];

fn may_pass(error: &io::Error) -> bool {
    let is_passing_kind = matches!(
        error.kind(),
        ErrorKind::StorageFull
            | ErrorKind::QuotaExceeded
            | ErrorKind::OutOfMemory
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock
    );
    let is_passing_number = |number| PASSING_ERRORS.iter().any(|errno| *errno as i32 == number);
    is_passing_kind || error.raw_os_error().is_some_and(is_passing_number)
}

impl DaemonError {
    /// Returns whether the error may pass by itself, so that a later try may succeed: the disk is full or fails for a while, or the
    /// system is short of descriptors or memory. All other errors need an operator.
    pub fn may_pass(&self) -> bool {
        match self {
            DaemonError::Configuration(SettingsError::Read { source, .. }) => may_pass(source),
            DaemonError::Takeover(error) => may_pass(error.source()),
            DaemonError::ManagementAddress(error)
            | DaemonError::ClientAddress(error)
            | DaemonError::Journal(error)
            | DaemonError::System(error) => may_pass(error),
            DaemonError::Configuration(_) | DaemonError::As2Settings(_) | DaemonError::Tls(_) => false,
        }
    }
}

#[cfg(test)]
mod tests;
