//! Endpoints and discovery servers that send much, in very small pieces or without end.
use crate::stand::*;

/// Starts an endpoint that answers each call with a body in chunks of one byte.
pub fn endpoint_with_chunks_of_one_byte() -> Server {
    let response = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        "1\r\nx\r\n".repeat(65_000)
    );
    Server::start(move |_, _| Reply::Respond(response.clone()))
}

/// Starts an endpoint that answers each call with a head of many fields that never ends.
pub fn endpoint_with_endless_head() -> Server {
    let response = format!("HTTP/1.1 200 OK\r\n{}", "a:\r\n".repeat(3_000));
    Server::start(move |_, _| Reply::RespondAndHold(response.clone()))
}

/// Returns an entry of the endpoint list.
fn entry(uid: &str, address: &str, destination: u64) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{address}","pod_group":{destination},"state":"Ready"}}"#)
}

/// Starts a discovery server that sends `known` first, and then changes with ever new endpoints and destinations. Each change has
/// `entries` entries with names of `name_bytes` bytes.
pub fn discovery_with_new_entries(known: String, changes: u64, entries: u64, name_bytes: usize) -> Server {
    let change = move |number: u64| {
        let entries = (0..entries).map(|index| {
            let unique = number * entries + index;
            let uid = format!("{unique:0>name_bytes$}");
            entry(&uid, "127.0.0.1:9", unique + 100)
        });
        let targets = entries.collect::<Vec<_>>().join(",");
        format!("{{\"rev\":{},\"all\":false,\"targets\":[{targets}]}}\n", number + 2)
    };
    Server::start(move |request, _| {
        if request.start_line.starts_with("POST") {
            return respond("204 No Content", "", "");
        }
        let mut lines = vec![format!("{known}\n")];
        lines.extend((0..changes).map(&change));
        Reply::RespondAndHold(chunked_response(lines.iter().map(String::as_bytes)))
    })
}
