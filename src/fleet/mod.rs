//! The forwarders' own view of their fleet: who is present, what each publishes about itself, and on which side of a
//! network partition this one is.
//!
//! [`node`] is all of it without I/O, on top of [`membership`] (SWIM), [`suspicion`] (how long a silent member is only
//! suspected), [`member_table`] (what each published) and [`partition`] (majority or minority). [`wire`] has the bytes of
//! the datagrams, [`view`] the form that is shown, [`gossip`] the socket, and [`snapshot`] what outlasts a process.
//! [`member`] has the identity of a member, and imports nothing else of the package.
//!
//! The peers' connections (`peers`) start it, if they are given an address; otherwise there is no socket, no file and no
//! work. It is a module and not a crate as it shares the state folder's limits, the clock and the log with the program,
//! and the lab drives the library as a whole.
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
