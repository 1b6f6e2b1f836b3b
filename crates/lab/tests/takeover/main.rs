//! Two processes with one folder, checked exhaustively: every interleaving of their polls of the locks, of what clients,
//! partners and the disk do, of kills and starts.
mod liveness;
mod model;
mod safety;
