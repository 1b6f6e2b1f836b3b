//! The core, shared between the exchange task, which drives it, and the handles, which read from it between two steps.
use crate::core::Core;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The core behind its lock. The lock is held for single calls and never over an await.
#[derive(Clone)]
pub(super) struct SharedCore(Arc<Mutex<Core>>);

impl SharedCore {
    pub(super) fn new(core: Core) -> SharedCore {
        SharedCore(Arc::new(Mutex::new(core)))
    }

    /// Locks the core. A panic while it was locked is passed over: the panic itself has been reported.
    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
