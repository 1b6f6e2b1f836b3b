//! The forwarders' own view of their fleet. `node` is all of it without I/O: who is there (`members`), how long a silent
//! one is only suspected (`doubts`), what each wrote of itself (`rows`), the side of a cut (`sides`). `wire` is how it
//! looks as bytes, `view` how it is shown, `gossip` its socket, and `memory` what of it outlasts a process. Its first user
//! is `neighbours`. Off unless that is given an address: then no socket, no byte on disk, no CPU.
//! A package of this program and no crate: it shares the disk's bounds, the clock and the log with it, and the lab
//! drives the library as a whole.

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
