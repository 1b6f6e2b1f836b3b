//! Errors of the fleet module.
use std::io;

/// An error of the fleet module.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The node has left the fleet or its task has ended, so it no longer executes commands.
    #[error("this forwarder has left the fleet; start it again to see its view")]
    Stopped,
    /// A datagram is shorter than the header or longer than the largest valid datagram.
    #[error("datagram has an invalid size of {bytes} bytes; check what else sends to this address")]
    DatagramSize {
        /// Size of the datagram in bytes.
        bytes: usize,
    },
    /// A datagram has a format version that this program does not support.
    #[error(
        "datagram has format version {found}, this program reads {expected}; run the same version on all forwarders"
    )]
    DatagramVersion {
        /// Format version of the datagram.
        found: u8,
        /// Format version that this program supports.
        expected: u8,
    },
    /// A datagram was sent by a member of another group.
    #[error("datagram belongs to another group; check the seed addresses of both groups")]
    ForeignGroup,
    /// A datagram has a field that cannot be decoded.
    #[error("datagram is malformed: {part}; check what else sends to this address")]
    MalformedDatagram {
        /// The field that cannot be decoded.
        part: &'static str,
    },
    /// The snapshot file cannot be read.
    #[error("snapshot file cannot be read: {0}")]
    SnapshotRead(#[source] io::Error),
    /// The snapshot file is truncated, altered or of an unknown format.
    #[error("snapshot file is truncated, altered or of an unknown format; the next change of the view replaces it")]
    SnapshotCorrupt,
    /// The snapshot file cannot be replaced.
    #[error("snapshot file cannot be replaced: {0}")]
    SnapshotWrite(#[source] io::Error),
}
