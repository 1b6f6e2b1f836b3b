//! Connections: which are counted as idle, which are closed, and when an idle one is assumed to be dropped.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl EndpointRecord {
    /// Whether a further call needs no new connection, with so many calls on each.
    pub(super) fn has_idle_stream(&self, streams: u32) -> bool {
        self.calls < self.connections * streams
    }

    /// A served call shows that there is capacity for it; bit by bit, so that it is noticed when there is
    /// more.
    pub(super) fn raise_capacity(&mut self, slots: usize) {
        self.consecutive_full_rejections = 0;
        let Some(capacity) = self.capacity else { return };
        let raised = capacity + CAPACITY_GAIN / capacity;
        // With more than all slots it is no limit any more.
        self.capacity = Some(raised).filter(|calls| *calls < slots as f64);
    }
}

impl Balancer {
    /// Calls that one connection carries at once.
    pub(super) fn streams(&self) -> u32 {
        self.settings.streams_per_connection.max(1)
    }

    /// Counts a call on its connection. Where connections that were idle for so long are assumed to be
    /// dropped, they are closed first.
    pub(super) fn assign_connection(&mut self, id: EndpointId) {
        let now = self.now;
        let streams = self.streams();
        let endpoint = self.endpoints.entry(id).or_default();
        let idle = if endpoint.has_idle_stream(streams) { (now - endpoint.used_at).secs() } else { 0.0 };
        endpoint.connection_idle_secs = idle;
        if endpoint.calls == 0 && self.idle_limit_secs.is_some_and(|limit| idle > limit) {
            endpoint.connection_idle_secs = 0.0;
            endpoint.connections = 0;
            self.actions.push(Action::CloseIdle(id));
        }
        endpoint.calls += 1;
        endpoint.connections = endpoint.connections.max(endpoint.calls.div_ceil(streams));
        endpoint.used_at = now;
    }

    /// A call was lost on an idle connection, yet one is served on a new connection: a connection that was
    /// idle for so long is dropped unseen. An answer on one that was idle for longer shows that it is not.
    pub(super) fn update_idle_limit(&mut self, attempt: &InFlight) {
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let on_new_connection = attempt.connection_idle_secs <= IDLE_RISK_SECS;
        let loss = endpoint.idle_loss.filter(|loss| loss.at <= attempt.sent_at && on_new_connection);
        if let Some(loss) = loss {
            let limit = (loss.idle_secs * IDLE_LIMIT_SHARE).max(IDLE_RISK_SECS);
            if (self.now - loss.at).secs() < MIN_OUTAGE_SECS {
                self.idle_limit_secs = Some(self.idle_limit_secs.map_or(limit, |known| known.min(limit)));
            }
            endpoint.idle_loss = None;
        }
        if attempt.unanswered {
            self.idle_limit_secs = self.idle_limit_secs.filter(|limit| attempt.connection_idle_secs < *limit);
            endpoint.idle_loss =
                endpoint.idle_loss.filter(|loss| attempt.connection_idle_secs < loss.idle_secs);
        }
    }

    /// Guards endpoints that accept few connections, idle ones counted: forwarders that each keep one shut
    /// all others out. Also guards against idle connections that are dropped unseen. May hurt where a
    /// connection would soon be used again: a handshake.
    pub(super) fn close_idle_connections(&mut self) {
        for id in std::mem::take(&mut self.idle_checks) {
            let streams = self.streams();
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            if !self.connection_limited.contains(&endpoint.kind) {
                continue;
            }
            let used = endpoint.calls.div_ceil(streams);
            // One idle connection is kept for as long as a call takes: so all forwarders together hold no
            // more than twice what is in use.
            if endpoint.connections == used + 1 && self.now < endpoint.used_at + endpoint.latency.mean {
                self.idle_checks.insert(id);
            } else if endpoint.connections > used {
                endpoint.connections = used;
                self.actions.push(Action::CloseIdle(id));
            }
        }
    }
}
