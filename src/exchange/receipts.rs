//! Matches asynchronous MDNs (AS2 receipts; RFC 4130, section 7) that arrive on client connections with the attempts that wait
//! for them, by message id.
use bytes::Bytes;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The number of registered attempts at which those that have ended are removed.
const CLEANUP_THRESHOLD: usize = 1024;

/// The attempts that wait for an MDN, by message id.
#[derive(Default)]
pub(super) struct PendingMdns(BTreeMap<String, oneshot::Sender<Bytes>>);

impl PendingMdns {
    /// Registers an attempt that waits for an MDN. The attempt drops the receiver of `reply` when it ends.
    pub(super) fn register(&mut self, message_id: String, reply: oneshot::Sender<Bytes>) {
        if self.0.len() >= CLEANUP_THRESHOLD {
            self.0.retain(|_, reply| !reply.is_closed());
        }
        self.0.insert(message_id, reply);
    }

    /// Forwards an MDN to the attempt that waits for it. A late MDN is logged and ignored, because its attempt already has an
    /// outcome.
    pub(super) fn deliver(&mut self, message_id: &str, mdn: Bytes) {
        let Some(reply) = self.0.remove(message_id) else {
            log::warn!("AS2: ignored receipt for {message_id}: no attempt in this process waits for it");
            return;
        };
        if reply.send(mdn).is_err() {
            log::warn!("AS2: ignored receipt for {message_id}: its attempt had already ended");
        }
    }
}
