//! What can go wrong in this package.

/// An error of the fleet's package.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The node has left the fleet or its task has ended, so it answers no more commands.
    #[error("this forwarder has left the fleet; start it again to see its view")]
    Stopped,
}
