//! Anti-entropy: repairs changes that dissemination missed. Members compare the digests of their views by bucket, and send
//! each other the records of the buckets that differ.
use super::Node;
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::wire::{Message, Record, HEADER_BYTES, MAX_DATAGRAM_BYTES, MAX_RECORD_BYTES};
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between two comparisons with views that differ.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of datagrams in the response to one comparison.
const MAX_DATAGRAMS_PER_RESPONSE: usize = 8;
/// Maximum rate of datagrams in responses to all comparisons, and size of the token bucket.
const RESPONSE_DATAGRAMS_PER_SEC: f64 = 40.0;
/// Upper bound of the encoded size of a member without its name, in bytes: in a record, and for the sender before the
/// records.
const MEMBER_OVERHEAD_BYTES: usize = 48;
/// Upper bound of the encoded size of attributes without their texts, in bytes.
const ATTRIBUTES_OVERHEAD_BYTES: usize = 64;

/// Rate limits of comparisons and of the responses to them.
pub(super) struct AntiEntropy {
    next_comparison_at: Duration,
    /// Tokens in the bucket: number of datagrams that may be sent now.
    response_tokens: f64,
    tokens_refilled_at: Duration,
}

impl AntiEntropy {
    pub(super) fn new(now: Duration) -> AntiEntropy {
        AntiEntropy {
            next_comparison_at: now,
            response_tokens: RESPONSE_DATAGRAMS_PER_SEC,
            tokens_refilled_at: now,
        }
    }

    fn refill_tokens(&mut self, now: Duration) {
        let elapsed_secs = now.saturating_sub(self.tokens_refilled_at).as_secs_f64();
        let refilled = self.response_tokens + elapsed_secs * RESPONSE_DATAGRAMS_PER_SEC;
        self.response_tokens = refilled.min(RESPONSE_DATAGRAMS_PER_SEC);
        self.tokens_refilled_at = now;
    }

    fn take_token(&mut self) -> bool {
        if self.response_tokens < 1.0 {
            return false;
        }
        self.response_tokens -= 1.0;
        true
    }
}

impl Node {
    /// Sends the digests of this view to a member whose view differs, to request the records that differ. Sends nothing if
    /// the current datagram has changed this view and the view had also changed within `COMPARISON_INTERVAL` before: such
    /// changes are probably still being disseminated.
    pub(super) fn compare_views(&mut self, peer: SocketAddr, peer_digest: u64) {
        let local_digest = self.table.digest();
        if peer_digest == local_digest || is_injected(Defect::ViewsNotCompared) {
            return;
        }
        let was_stable = self.clock.now().saturating_sub(self.digest_since) >= COMPARISON_INTERVAL;
        let is_unchanged = local_digest == self.digest;
        let may_compare = self.clock.active() >= self.anti_entropy.next_comparison_at;
        if may_compare && (was_stable || is_unchanged) {
            self.anti_entropy.next_comparison_at = self.clock.active() + COMPARISON_INTERVAL;
            self.send_digests(peer, false);
        }
    }

    pub(super) fn send_digests(&mut self, to: SocketAddr, is_reply: bool) {
        let from = self.local_member().clone();
        let digests = self.table.bucket_digests().to_vec();
        self.send(to, &Message::Digests { from, digests, is_reply });
    }

    /// Sends records in response to a comparison, within the rate limits.
    pub(super) fn send_response_records(&mut self, to: SocketAddr, records: Vec<Record>) {
        self.anti_entropy.refill_tokens(self.clock.now());
        for records in self.pack_records(records).into_iter().take(MAX_DATAGRAMS_PER_RESPONSE) {
            if !self.anti_entropy.take_token() {
                return;
            }
            let message = Message::Records { from: self.local_member().clone(), records };
            self.send(to, &message);
        }
    }

    /// Divides records into parts that each fit into a datagram, by the upper bound of their encoded size.
    pub(super) fn pack_records(&self, records: Vec<Record>) -> Vec<Vec<Record>> {
        let sender_bytes = MEMBER_OVERHEAD_BYTES + self.local_member().name.len();
        let mut parts: Vec<Vec<Record>> = Vec::new();
        let mut bytes_left = 0;
        for record in records {
            let size = max_encoded_size(&record);
            if size > bytes_left {
                parts.push(Vec::new());
                bytes_left = MAX_DATAGRAM_BYTES - HEADER_BYTES - sender_bytes;
            }
            bytes_left = bytes_left.saturating_sub(size);
            if let Some(part) = parts.last_mut() {
                part.push(record);
            }
        }
        parts
    }
}

fn max_encoded_size(record: &Record) -> usize {
    let attributes = match &record.attributes {
        Some(a) => a.zone.len() + a.version.len() + ATTRIBUTES_OVERHEAD_BYTES,
        None => 0,
    };
    (record.member.name.len() + attributes + MEMBER_OVERHEAD_BYTES).min(MAX_RECORD_BYTES)
}
