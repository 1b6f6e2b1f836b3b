//! Conversion of the decision module's actions to the simulator's JSON lines.
use micaladder::{Action, EndpointId, HealthChange, MessageId};
use serde_json::{json, Value};

/// Converts an action of an instance to a line of the reply. `endpoint_names` holds the endpoint names by id.
pub(crate) fn to_json(instance: &str, action: &Action, endpoint_names: &[String]) -> Value {
    let name = |id: &EndpointId| endpoint_names.get(id.0 as usize);
    let debug = |text: String| json!({"what": "debug", "relayId": instance, "text": text});
    match action {
        Action::Send { id, host, timeout } => json!({"what": "issue", "relayId": instance,
            "req": hex(id), "patienceNs": timeout.0, "host": name(host)}),
        Action::Cancel { id, attempt } => json!({"what": "dropAttempt", "relayId": instance,
            "req": hex(id), "sendNo": attempt}),
        Action::Reject { id, after } => json!({"what": "decline", "relayId": instance,
            "req": hex(id), "coolDownNs": after.map(|wait| wait.0)}),
        Action::Fail(id) => json!({"what": "dropRequest", "relayId": instance, "req": hex(id)}),
        Action::WakeAt(time) => json!({"what": "notifyMe", "relayId": instance,
            "timeNs": time.0, "label": "wake"}),
        Action::CloseIdle(host) => json!({"what": "release", "relayId": instance, "host": name(host)}),
        Action::WatchEndpointList => json!({"what": "tail", "relayId": instance, "enable": true}),
        Action::HealthChanged(change) => {
            let HealthChange { host, health, reason, .. } = change;
            let endpoint = name(host);
            let text = format!("endpoint health changed to {health:?}, {reason:?} ({endpoint:?})");
            debug(text)
        }
        Action::RestrictedCall(call) => {
            let endpoint = name(&call.host);
            let text =
                format!("call to an endpoint in {:?} by {:?} ({endpoint:?})", call.health, call.allowance);
            debug(text)
        }
        Action::PaceReduced(reduction) => {
            let endpoint = name(&reduction.host);
            let text = format!("pace reduced after a rejection ({endpoint:?})");
            debug(text)
        }
        Action::Log { text, host } => {
            let text = match host.as_ref().and_then(name) {
                Some(endpoint) => format!("{text} ({endpoint})"),
                None => text.to_string(),
            };
            debug(text)
        }
    }
}

/// Formats a message id as 16 hex digits, as the simulator expects it.
fn hex(id: &MessageId) -> String {
    format!("{:016x}", id.0)
}
