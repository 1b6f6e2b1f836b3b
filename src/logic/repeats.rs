//! Decides which messages may be rejected or sent again without a duplicate effect.
use super::tuning::WINDOW_SHARE;
use crate::interface::*;
use crate::state::*;

impl PendingMessage {
    /// Returns whether a rejection is safe. A rejection promises the client that submitting the message again
    /// does no harm.
    pub(super) fn may_reject(&self, class: &Class) -> bool {
        let safe = match class.effect {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { scope, .. } => {
                self.first_run.is_none() || scope == IdempotencyScope::AllEndpoints
            }
            Effect::AtMostOnce => self.first_run.is_none(),
        };
        safe && self.in_flight.is_none()
    }

    /// Returns whether a further attempt is allowed, at an endpoint of this zone or, if `zone` is `None`, at
    /// any endpoint.
    pub(super) fn may_retry(&self, class: &Class, now: Nanos, zone: Option<usize>) -> bool {
        let Some(first_run) = self.first_run else { return true };
        match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::IdempotentByKey { scope, window } => {
                let in_scope = match scope {
                    IdempotencyScope::AllEndpoints => true,
                    IdempotencyScope::SameZone => zone.is_none_or(|zone| zone == first_run.zone),
                };
                in_scope && (now - first_run.sent_at).secs() < window.secs() * WINDOW_SHARE
            }
        }
    }
}
