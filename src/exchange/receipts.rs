//! Matches asynchronous AS2 receipts (MDNs, RFC 4130, section 7) that arrive on client connections with the attempts that wait
//! for them, by message id.
use bytes::Bytes;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The number of registered attempts at which those that have ended are removed.
const CLEANUP_THRESHOLD: usize = 1024;

/// The attempts that wait for a receipt, by message id.
#[derive(Default)]
pub(super) struct PendingReceipts(BTreeMap<String, oneshot::Sender<Bytes>>);

impl PendingReceipts {
    /// Registers an attempt that waits for a receipt. The attempt drops the receiver of `reply` when it ends.
    pub(super) fn register(&mut self, message_id: String, reply: oneshot::Sender<Bytes>) {
        if self.0.len() >= CLEANUP_THRESHOLD {
            self.0.retain(|_, reply| !reply.is_closed());
        }
        self.0.insert(message_id, reply);
    }

    /// Forwards a receipt to the attempt that waits for it. A late receipt is logged and ignored, because its attempt already has
    /// an outcome.
    pub(super) fn deliver(&mut self, message_id: &str, receipt: Bytes) {
        let Some(reply) = self.0.remove(message_id) else {
            log::warn!("AS2: ignored receipt for {message_id}: no attempt in this process waits for it");
            return;
        };
        if reply.send(receipt).is_err() {
            log::warn!("AS2: ignored receipt for {message_id}: its attempt had already ended");
        }
    }
}
