//! Runs the shipped fleet code on a simulated network in virtual time. It simulates the same faults as the tests with real
//! processes, but in larger fleets, and each run is reproducible from its seed. The network simulates processes and links;
//! the members run `micaladder::fleet::node`.
#![warn(missing_docs)]
#![forbid(unsafe_code)]
pub mod error;
pub mod network;
pub mod report;
pub mod scenario;
