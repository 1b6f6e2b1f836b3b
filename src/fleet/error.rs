//! What can go wrong in this package.
use std::io;

/// An error of the fleet's package.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The node has left the fleet or its task has ended, so it answers no more commands.
    #[error("this forwarder has left the fleet; start it again to see its view")]
    Stopped,
    /// A datagram is shorter than a header or longer than any forwarder sends.
    #[error("datagram of {bytes} bytes is no forwarder's; check what else sends to this address")]
    DatagramSize {
        /// Its size.
        bytes: usize,
    },
    /// A datagram has a format that this program does not read.
    #[error("datagram has format {found}, this program reads {expected}; run one version on all forwarders")]
    DatagramVersion {
        /// Its format.
        found: u8,
        /// The format of this program.
        expected: u8,
    },
    /// A datagram comes from a member of another group.
    #[error("datagram is of another group; check the seed addresses of both groups")]
    ForeignGroup,
    /// A datagram has a valid header and content that cannot be read.
    #[error("datagram is malformed: {part}; check what else sends to this address")]
    MalformedDatagram {
        /// The part that cannot be read.
        part: &'static str,
    },
    /// The snapshot file cannot be read.
    #[error("{0}")]
    SnapshotRead(#[source] io::Error),
    /// The snapshot file is torn, altered or of an unknown format.
    #[error("the file is torn, altered or of an unknown format; it is replaced with the next change")]
    SnapshotCorrupt,
    /// The snapshot file cannot be replaced.
    #[error("{0}")]
    SnapshotWrite(#[source] io::Error),
}
