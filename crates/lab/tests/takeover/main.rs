//! Model checks of the takeover: two processes share one state folder. The interleavings cover their polls of the locks, the
//! actions of clients, partners and the disk, and kills and starts of the processes.
mod liveness;
mod model;
mod safety;
