//! The shipped fleet code on a network in virtual time: the same schedules of faults as the rig's, at sizes that
//! processes do not reach, from a seed. What happens between two members is the network's; what a member does is
//! `micaladder::fleet::node`.
#![forbid(unsafe_code)]
pub mod net;
pub mod report;
pub mod runs;
