//! The memory of a process stays under the limit in its settings, with its files, whatever its clients send, and other clients are
//! answered in time meanwhile. The processes have the least memory and the descriptors that the platform's pages name.
mod crowd;
mod honest;
mod partners;
#[path = "../stand/mod.rs"]
mod stand;

use crowd::{Crowd, Script};
use honest::{HonestClients, Response, RESPONSE_TIMEOUT};
use rstest::rstest;
use stand::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::Duration;

/// The least memory that the platform's pages name, in megabytes.
const LEAST_MEMORY_MB: u32 = 192;
/// The memory of a smaller deployment, in megabytes.
const SMALL_MEMORY_MB: u32 = 96;
/// The least that `micaladder check` accepts, in megabytes.
const MIN_MEMORY_MB: u32 = 48;
const BYTES_PER_MEGABYTE: usize = 1_000_000;
/// Longer than the time limits of a head and of a body, so that connections of a crowd are replaced.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time in which a crowd connects.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Size limit of a body.
const BODY_BYTES: usize = 64 * 1024;

/// Held by each test: crowds beside each other would measure the machine.
static ONE_CROWD: Mutex<()> = Mutex::new(());

const HEAD: &str = "POST /stats HTTP/1.1\r\nX-Class: stats\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nX-Request-Id: slow\r\n";

fn head_with(headers: &str) -> Vec<u8> {
    format!("{HEAD}{headers}\r\n").into_bytes()
}

fn with_body(head: Vec<u8>, body: &[u8]) -> Vec<u8> {
    [head, body.to_vec()].concat()
}

fn body_in_writes(write_bytes: usize) -> Script {
    Script::body_in_writes(head_with("Content-Length: 65536\r\n"), &[b'x'; BODY_BYTES], write_bytes)
}

/// A request that stops after seven eighths of its body.
fn most_of_a_body() -> Vec<u8> {
    with_body(head_with("Content-Length: 65536\r\n"), &vec![b'x'; BODY_BYTES / 8 * 7])
}

fn body_in_chunks(chunk: &str, count: usize) -> Vec<u8> {
    with_body(head_with("Transfer-Encoding: chunked\r\n"), chunk.repeat(count).as_bytes())
}

fn head_of_short_fields() -> Vec<u8> {
    [HEAD.as_bytes(), "a:\r\n".repeat(4000).as_bytes()].concat()
}

fn head_of_long_fields() -> Vec<u8> {
    [HEAD.as_bytes(), format!("x-pad: {}\r\n", "p".repeat(250)).repeat(55).as_bytes()].concat()
}

fn trailers() -> Vec<u8> {
    let trailer = format!("x-pad: {}\r\n", "p".repeat(200));
    [body_in_chunks("1\r\nx\r\n", 4), b"0\r\n".to_vec(), trailer.repeat(60).into_bytes()].concat()
}

fn extensions() -> Vec<u8> {
    with_body(head_with("Transfer-Encoding: chunked\r\n"), format!("1;{}", "e".repeat(15_000)).as_bytes())
}

/// A process with the least limits of the platform or smaller ones, its endpoint for destination 7 and its discovery.
struct Forwarder {
    daemon: Daemon,
    memory_limit: usize,
    _endpoint: Server,
    _discovery: Server,
    _one_crowd: MutexGuard<'static, ()>,
}

impl Forwarder {
    fn start(memory_mb: u32, endpoint: Server) -> Forwarder {
        Forwarder::start_with(memory_mb, endpoint, start_discovery)
    }

    fn start_with(
        memory_mb: u32, endpoint: Server, start_discovery: impl FnOnce(String) -> Server,
    ) -> Forwarder {
        Forwarder::start_with_setup(endpoint, start_discovery, |setup| Setup { memory_mb, ..setup })
    }

    fn start_with_setup(
        endpoint: Server, start_discovery: impl FnOnce(String) -> Server,
        change: impl for<'a> FnOnce(Setup<'a>) -> Setup<'a>,
    ) -> Forwarder {
        let one_crowd = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
        let known = endpoint_list(1, &[(7, endpoint.addr)]);
        let discovery = start_discovery(known.clone());
        let env = vec![("MICALADDER_LOG".to_string(), "info".to_string())];
        let setup = change(Setup { env, ..setup(&discovery, known) });
        let memory_limit = setup.memory_mb as usize * BYTES_PER_MEGABYTE;
        let daemon = setup.start();
        Forwarder { daemon, memory_limit, _endpoint: endpoint, _discovery: discovery, _one_crowd: one_crowd }
    }

    /// Returns the last log line on the memory of the process.
    fn last_memory_line(&self) -> String {
        let log = self.daemon.log();
        log.lines().rfind(|line| line.contains("memory in use")).unwrap_or_default().to_string()
    }

    /// Checks that the process runs, and that the most memory that it has had is under its limit, with its files.
    fn assert_memory(&mut self) {
        assert!(self.daemon.is_running(), "the process has ended");
        let files = std::fs::read_dir(self.daemon.folder.join("state")).expect("the state folder");
        let sizes =
            files.filter_map(|file| file.ok()?.metadata().ok()).map(|metadata| metadata.len() as usize);
        let peak = self.daemon.peak_memory() + sizes.sum::<usize>();
        println!("peak {peak} bytes of {}; {}", self.memory_limit, self.last_memory_line());
        assert!(peak < self.memory_limit, "{peak} bytes of {}", self.memory_limit);
    }
}

/// Checks that each client was answered. 503 is an answer.
fn assert_none_missing(responses: &[Response]) {
    let missing = responses.iter().filter(|response| response.status == 0).count();
    assert!(responses.len() > 10, "{responses:?}");
    assert_eq!(missing, 0, "requests without a response");
}

/// Checks that each client was answered, and in time.
fn assert_answered(responses: &[Response]) {
    assert_none_missing(responses);
    let slowest = responses.iter().map(|response| response.took).max().unwrap_or_default();
    println!("{} requests, the slowest took {slowest:?}", responses.len());
    assert!(slowest <= RESPONSE_TIMEOUT, "{slowest:?}");
}

/// A crowd that fits into the connections of a process. hyper cuts each read out of a buffer, so a body that is kept as the list
/// of its reads keeps a buffer for each.
#[rstest]
#[case::bodies_in_single_bytes(body_in_writes(1))]
#[case::bodies_in_pieces(body_in_writes(700))]
#[case::chunks_of_one_byte(Script::new(body_in_chunks("1\r\nx\r\n", 65_000), 16_384))]
#[case::chunks_of_one_byte_slowly(Script::new(body_in_chunks("1\r\nx\r\n", 65_000), 6))]
#[case::heads_of_short_fields_in_single_bytes(Script::new(head_of_short_fields(), 1))]
fn a_hundred_slow_clients_stay_under_a_small_memory_limit(#[case] script: Script) {
    let mut forwarder = Forwarder::start(SMALL_MEMORY_MB, Server::always("200 OK"));
    let crowd = Crowd::start(forwarder.daemon.addr, 100, &script);
    sleep(CROWD_TIME);
    crowd.stop();
    forwarder.assert_memory();
}

/// A process with few megabytes and many descriptors keeps fewer connections than its descriptors allow.
#[rstest]
#[case::bodies_that_stop(Script::new(most_of_a_body(), 8192))]
#[case::heads_of_long_fields(Script::new(head_of_long_fields(), 1500))]
fn a_crowd_stays_under_the_least_memory_that_a_process_can_have(#[case] script: Script) {
    let mut forwarder = Forwarder::start(MIN_MEMORY_MB, Server::always("200 OK"));
    let crowd = Crowd::start(forwarder.daemon.addr, 600, &script);
    sleep(CROWD_TIME);
    crowd.stop();
    forwarder.assert_memory();
}

/// More clients than a process keeps connections for.
#[rstest]
#[case::bodies_in_single_bytes(body_in_writes(1))]
#[case::bodies_in_pieces(body_in_writes(700))]
#[case::bodies_that_stop(Script::new(most_of_a_body(), 8192))]
#[case::chunks_of_one_byte(Script::new(body_in_chunks("1\r\nx\r\n", 65_000), 16_384))]
#[case::chunks_of_one_byte_slowly(Script::new(body_in_chunks("1\r\nx\r\n", 65_000), 6))]
#[case::chunk_extensions(Script::new(extensions(), 4096))]
#[case::trailers(Script::new(trailers(), 4096))]
#[case::heads_of_short_fields(Script::new(head_of_short_fields(), 4096))]
#[case::heads_of_short_fields_in_single_bytes(Script::new(head_of_short_fields(), 1))]
#[case::heads_of_long_fields(Script::new(head_of_long_fields(), 1500))]
#[case::silence(Script::new(Vec::new(), 1))]
fn a_crowd_of_slow_clients_neither_exceeds_the_memory_limit_nor_delays_others(#[case] script: Script) {
    let mut forwarder = Forwarder::start(LEAST_MEMORY_MB, Server::always("200 OK"));
    let crowd = Crowd::start(forwarder.daemon.addr, 600, &script);
    sleep(CONNECT_TIME);
    let honest = HonestClients::start(forwarder.daemon.addr);
    sleep(CROWD_TIME);
    let responses = honest.stop();
    println!("{} clients were connected", crowd.connected());
    crowd.stop();
    forwarder.assert_memory();
    assert_answered(&responses);
}

/// The bodies of responses are read and dropped in the background, up to 64 KiB of each.
#[rstest]
#[case::chunks_of_one_byte(partners::endpoint_with_chunks_of_one_byte())]
#[case::an_endless_head(partners::endpoint_with_endless_head())]
fn responses_of_endpoints_stay_under_a_small_memory_limit(#[case] endpoint: Server) {
    let mut forwarder = Forwarder::start(SMALL_MEMORY_MB, endpoint);
    let clients: Vec<_> = (0..8).map(|_| HonestClients::start_without_pause(forwarder.daemon.addr)).collect();
    sleep(CROWD_TIME);
    clients.into_iter().for_each(|clients| assert_answered(&clients.stop()));
    forwarder.assert_memory();
}

/// Discovery sends a list that fits, then changes that add up to far more than any deployment has.
#[rstest]
#[case::many_short_entries(100, 5_000, 8)]
#[case::long_names(100, 10, 60_000)]
fn an_endpoint_list_without_end_stays_under_a_small_memory_limit(
    #[case] changes: u64, #[case] entries: u64, #[case] name_bytes: usize,
) {
    let mut forwarder = Forwarder::start_with(SMALL_MEMORY_MB, Server::always("200 OK"), |known| {
        partners::discovery_with_new_entries(known, changes, entries, name_bytes)
    });
    sleep(CROWD_TIME);
    let honest = HonestClients::start(forwarder.daemon.addr);
    sleep(CONNECT_TIME * 3);
    // In a debug build a list of thousands of endpoints delays every step.
    assert_none_missing(&honest.stop());
    forwarder.assert_memory();
}

/// The settings allow for more messages and a larger folder than the memory has room for.
#[test]
fn held_messages_and_the_journal_stay_under_a_small_memory_limit() {
    let silent = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let mut forwarder = Forwarder::start_with_setup(silent, start_discovery, |setup| Setup {
        memory_mb: SMALL_MEMORY_MB,
        max_pending: 100_000,
        disk_mb: 500.0,
        ..setup
    });
    let accepted = submit_large_messages(&forwarder.daemon, 2_000);
    println!("{accepted} messages of {BODY_BYTES} bytes accepted");
    assert!(accepted > 40, "{accepted}");
    forwarder.assert_memory();
    forwarder.daemon.kill();
    forwarder.daemon.restart();
    forwarder.assert_memory();
}

/// Submits messages with bodies of the maximum size, on eight connections, and returns how many were accepted.
fn submit_large_messages(daemon: &Daemon, messages: usize) -> usize {
    const CLIENTS: usize = 8;
    let submit = |client: usize| {
        let statuses = (0..messages / CLIENTS).map(|number| {
            let head = HEAD.replace("slow", &format!("large-{client}-{number}")).replace("9000m", "16000m");
            let request = [head.as_bytes(), b"Content-Length: 65536\r\n\r\n", &[b'x'; BODY_BYTES]].concat();
            daemon.send_request(&request).map_or(0, |response| response.status())
        });
        statuses.filter(|status| *status == 202).count()
    };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || submit(client))).collect();
        clients.into_iter().map(|client| client.join().expect("a client panicked")).sum()
    })
}

/// Size of a flood, more than a client can send in the time of a test.
const FLOOD_BYTES: usize = 16_000_000;

fn flood_of(request: &str) -> Script {
    flood(|_| request.to_string())
}

/// Returns a client that sends these requests at full speed, each with its number.
fn flood(request: impl Fn(usize) -> String) -> Script {
    let mut bytes = Vec::new();
    for number in 0.. {
        if bytes.len() >= FLOOD_BYTES {
            break;
        }
        bytes.extend_from_slice(request(number).as_bytes());
    }
    Script { pause: Duration::ZERO, ..Script::new(bytes, 65_536) }
}

/// One client floods one connection.
#[rstest]
#[case::ready(flood_of("GET /ready HTTP/1.1\r\n\r\n"))]
#[case::unknown_class(flood_of("POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))]
#[case::missing_headers(flood_of("POST /stats HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))]
#[case::malformed(flood_of("x\r\n\r\n"))]
#[case::empty_lines(flood_of("\r\n"))]
#[case::new_names(flood(|number| format!("{}Content-Length: 0\r\n\r\n", HEAD.replace("slow", &format!("new-{number}")))))]
#[case::new_names_for_an_unknown_destination(flood(|number| {
    let head = HEAD.replace("slow", &format!("new-{number}")).replace("dest=7", &format!("dest={}", number + 100));
    format!("{head}Content-Length: 0\r\n\r\n")
}))]
#[case::chunks(flood_of(&format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")))]
fn a_flood_on_one_connection_neither_exceeds_the_memory_limit_nor_delays_others(#[case] script: Script) {
    let mut forwarder = Forwarder::start(SMALL_MEMORY_MB, Server::always("200 OK"));
    let flood = Crowd::start(forwarder.daemon.addr, 1, &script);
    let honest = HonestClients::start(forwarder.daemon.addr);
    sleep(CROWD_TIME);
    let responses = honest.stop();
    flood.stop();
    assert_answered(&responses);
    forwarder.assert_memory();
}
