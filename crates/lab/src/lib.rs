//! The shipped fleet code on a simulated network in virtual time: the same faults as in the tests with real processes, at
//! sizes that processes do not reach, reproducible from a seed. The network decides what happens between members; what a
//! member does is `micaladder::fleet::node`.
#![warn(missing_docs)]
#![forbid(unsafe_code)]
pub mod error;
pub mod network;
pub mod report;
pub mod scenario;
