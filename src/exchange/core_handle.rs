//! The core, shared between the exchange task, which drives it, and the exchange handles, which access it between two steps.
use crate::core::Core;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The core behind a mutex. The mutex is held for single calls only and never across an await.
#[derive(Clone)]
pub(super) struct SharedCore(Arc<Mutex<Core>>);

impl SharedCore {
    pub(super) fn new(core: Core) -> SharedCore {
        SharedCore(Arc::new(Mutex::new(core)))
    }

    /// Locks the core. Ignores poisoning of the mutex, because the panic that caused it has already been reported.
    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
