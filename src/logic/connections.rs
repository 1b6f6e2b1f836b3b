//! Connections: counts idle connections, closes them, and estimates after which idle time a connection is
//! dropped.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl EndpointRecord {
    /// Returns whether a further call needs no new connection, given the number of concurrent calls per
    /// connection.
    pub(super) fn has_idle_stream(&self, streams: u32) -> bool {
        self.calls < self.connections * streams
    }

    /// Raises the estimated capacity slightly after a served call, so that added capacity is detected.
    pub(super) fn raise_capacity(&mut self, slots: usize) {
        self.consecutive_full_rejections = 0;
        let Some(capacity) = self.capacity else { return };
        let raised = capacity + CAPACITY_GAIN / capacity;
        // A capacity of all slots or more is no longer a limit.
        self.capacity = Some(raised).filter(|calls| *calls < slots as f64);
    }
}

impl Balancer {
    /// Returns the number of concurrent calls on one connection.
    pub(super) fn streams(&self) -> u32 {
        self.settings.streams_per_connection.max(1)
    }

    /// Assigns a call to a connection. Closes the idle connections first if they have been idle for longer
    /// than the time after which connections are assumed to be dropped.
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

    /// Updates the idle time after which connections are assumed to be dropped, for a served call. If a call
    /// was lost on an idle connection and a later call is soon served on a new connection, connections that
    /// were idle for that long are assumed to be dropped without notice. A late response disproves this if it
    /// belongs to a call that counted as unanswered and whose connection had been idle for at least as long.
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

    /// Closes idle connections to kinds of endpoint that accept few connections, idle ones included: if each
    /// forwarder kept one open, the other forwarders would be locked out. This also prevents losses on idle
    /// connections that were dropped without notice. The cost: a handshake if the connection would have been
    /// used again soon.
    pub(super) fn close_idle_connections(&mut self) {
        for id in std::mem::take(&mut self.idle_checks) {
            let streams = self.streams();
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            if !self.connection_limited.contains(&endpoint.kind) {
                continue;
            }
            let used = endpoint.calls.div_ceil(streams);
            // One idle connection stays open for the duration of a call. All forwarders together thus hold at
            // most twice as many connections as are in use.
            if endpoint.connections == used + 1 && self.now < endpoint.used_at + endpoint.latency.mean {
                self.idle_checks.insert(id);
            } else if endpoint.connections > used {
                endpoint.connections = used;
                self.actions.push(Action::CloseIdle(id));
            }
        }
    }
}
