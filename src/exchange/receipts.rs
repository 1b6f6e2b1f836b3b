//! Asynchronous AS2 receipts (MDNs, RFC 4130, section 7): attempts that wait for one, matched by their message id with the
//! receipts that arrive on client connections.
use bytes::Bytes;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Waiting attempts from which on those that have ended are removed.
const CLEANUP_THRESHOLD: usize = 1024;

/// The attempts that wait for a receipt, by message id.
#[derive(Default)]
pub(super) struct PendingReceipts(BTreeMap<String, oneshot::Sender<Bytes>>);

impl PendingReceipts {
    /// Registers an attempt that waits; its receiver is dropped when the attempt ends.
    pub(super) fn register(&mut self, message_id: String, reply: oneshot::Sender<Bytes>) {
        if self.0.len() >= CLEANUP_THRESHOLD {
            self.0.retain(|_, reply| !reply.is_closed());
        }
        self.0.insert(message_id, reply);
    }

    /// Passes a receipt on to the attempt that waits for it. One that comes too late changes nothing: its attempt has had
    /// its outcome.
    pub(super) fn deliver(&mut self, message_id: &str, receipt: Bytes) {
        let Some(reply) = self.0.remove(message_id) else {
            log::warn!(
                "AS2: receipt for {message_id}, which no attempt of this process waits for: changes nothing"
            );
            return;
        };
        if reply.send(receipt).is_err() {
            log::warn!("AS2: receipt for {message_id} after its attempt had ended: changes nothing");
        }
    }
}
