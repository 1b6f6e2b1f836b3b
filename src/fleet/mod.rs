//! Fleet membership: which forwarders are present, what each one publishes about itself, and on which side of a network
//! partition this forwarder is.
//!
//! [`node`] implements the protocol without I/O, on top of [`membership`] (SWIM), [`suspicion`] (timeouts of suspected
//! members), [`member_table`] (the published attributes) and [`partition`] (majority or minority). [`wire`] defines the
//! datagram format, [`view`] the output for people and programs, [`gossip`] drives a node on its UDP socket, and
//! [`snapshot`] stores the state that survives a restart. [`member`] defines the identity of a member and does not depend
//! on the other modules.
//!
//! The `peers` module starts the fleet if a listen address is configured. Otherwise no socket is opened, no file is
//! written and no task runs. The fleet is a module and not a crate because it shares the limits of the state folder, the
//! clock and the log with the program, and because the lab drives the library as a whole.
#![warn(missing_docs)]
pub mod error;
pub mod fault_injection;
pub mod gossip;
pub mod member;
pub mod member_table;
pub mod membership;
pub mod node;
pub mod partition;
pub mod snapshot;
pub mod suspicion;
pub mod view;
pub mod wire;
