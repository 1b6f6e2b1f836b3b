//! The AS2 front of the real program, tested with a partner (a bank) that uses openssl for S/MIME instead of the program's
//! own code.
mod stand;
use rstest::rstest;
use stand::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Runs openssl; returns whether it succeeded.
fn openssl(directory: &Path, args: &str) -> bool {
    let output =
        Command::new("openssl").args(args.split(' ')).current_dir(directory).output().expect("openssl");
    if !output.status.success() {
        eprintln!("openssl {args}: {}", String::from_utf8_lossy(&output.stderr));
    }
    output.status.success()
}

/// A temporary directory with the AS2 settings and the keys of the program (`us`), of the bank and of a stranger.
struct KeyDirectory(PathBuf);

impl KeyDirectory {
    fn new(settings: &str) -> KeyDirectory {
        let directory = std::env::temp_dir().join(format!("as2-{}-{}", std::process::id(), unique_number()));
        std::fs::create_dir_all(&directory).expect("create the key directory");
        for owner in ["us", "bank", "stranger"] {
            let args = format!(
                "req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN={owner} -keyout {owner}.key -out {owner}.pem"
            );
            assert!(openssl(&directory, &args));
        }
        std::fs::write(directory.join("as2.json"), settings).expect("write the AS2 settings");
        KeyDirectory(directory)
    }
    fn env(&self) -> Vec<(String, String)> {
        vec![("MICALADDER_AS2".into(), self.0.join("as2.json").display().to_string())]
    }
    /// Writes a new file, and returns its unique name.
    fn write(&self, prefix: &str, content: &[u8]) -> String {
        let name = format!("{prefix}-{}", unique_number());
        std::fs::write(self.0.join(&name), content).expect("write a file");
        name
    }
    fn read(&self, name: &str) -> Vec<u8> {
        std::fs::read(self.0.join(name)).expect("read a file")
    }
    /// Encodes (`-e`, or `-A` on one line) or decodes (`-d`) base64.
    fn base64(&self, option: &str, input: &[u8]) -> Vec<u8> {
        let (input, output) = (self.write("input", input), self.write("output", b""));
        assert!(openssl(&self.0, &format!("base64 {option} -in {input} -out {output}")));
        self.read(&output)
    }
    /// Signs a part, and returns the content type and the body of the multipart/signed entity.
    fn sign(&self, part: &str, signer: &str) -> (String, String) {
        let (input, output) = (self.write("part", part.as_bytes()), self.write("signature", b""));
        let args = format!("cms -sign -binary -md sha256 -in {input} -signer {signer}.pem -inkey {signer}.key -outform DER -out {output}");
        assert!(openssl(&self.0, &args));
        let signature = String::from_utf8(self.base64("-e", &self.read(&output))).expect("UTF-8");
        let body = format!(
            "--s\r\n{part}\r\n--s\r\nContent-Type: application/pkcs7-signature\r\n\
             Content-Transfer-Encoding: base64\r\n\r\n{signature}\r\n--s--\r\n"
        );
        (
            "multipart/signed; protocol=\"application/pkcs7-signature\"; micalg=sha-256; boundary=\"s\""
                .into(),
            body,
        )
    }
    /// Decrypts a message of the program if it is encrypted, and verifies its signature. Returns the signed part.
    fn decrypt_and_verify(&self, message: &HttpMessage) -> Option<String> {
        let mut text = format!("Content-Type: {}\r\n\r\n{}", message.header("content-type")?, message.text());
        if message.header("content-type")?.starts_with("application/pkcs7-mime") {
            let (input, output) = (self.write("encrypted", &message.body), self.write("plain", b""));
            assert!(openssl(
                &self.0,
                &format!(
                    "cms -decrypt -binary -inform DER -in {input} -recip bank.pem -inkey bank.key -out {output}"
                )
            ));
            text = String::from_utf8(self.read(&output)).expect("UTF-8");
        }
        let delimiter = format!("--{}", text.split("boundary=\"").nth(1)?.split('"').next()?);
        let parts: Vec<&str> = text.split(&delimiter).skip(1).collect();
        let part = parts[0].strip_prefix("\r\n")?.strip_suffix("\r\n")?;
        let signature = self.base64("-d", parts[1].split("\r\n\r\n").nth(1)?.as_bytes());
        let (input, content) = (self.write("signature", &signature), self.write("content", part.as_bytes()));
        let args = format!("cms -verify -binary -inform DER -in {input} -content {content} -CAfile us.pem -purpose any -out {content}.out");
        openssl(&self.0, &args).then(|| part.to_string())
    }
    /// Returns the message integrity check of a part.
    fn mic(&self, part: &str) -> String {
        let (input, output) = (self.write("digested", part.as_bytes()), self.write("digest", b""));
        assert!(openssl(&self.0, &format!("dgst -sha256 -binary -out {output} {input}")));
        String::from_utf8(self.base64("-A", &self.read(&output))).expect("UTF-8").trim().to_string()
    }
    /// Composes a signed MDN, and returns its content type and body.
    fn mdn(&self, message_id: &str, disposition: &str, mic: &str, signer: &str) -> (String, String) {
        let part = format!(
            "Content-Type: multipart/report; report-type=disposition-notification; boundary=\"b\"\r\n\r\n--b\r\n\
             Content-Type: text/plain\r\n\r\nA receipt.\r\n--b\r\nContent-Type: message/disposition-notification\r\n\r\n\
             Original-Message-ID: {message_id}\r\nDisposition: automatic-action/MDN-sent-automatically; {disposition}\r\n\
             Received-Content-MIC: {mic}, sha-256\r\n\r\n--b--\r\n"
        );
        self.sign(&part, signer)
    }
}

impl Drop for KeyDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How the bank handles a message.
#[derive(Clone, Copy, PartialEq)]
enum BankBehavior {
    /// Responds with a synchronous MDN.
    SynchronousMdn {
        disposition: &'static str,
        signer: &'static str,
        /// The message integrity check; `None` for the correct one.
        mic: Option<&'static str>,
    },
    /// Processes the message and never responds.
    NoResponse,
    /// Processes the message and closes the connection without a response.
    CloseConnection,
    /// Responds with 200; the test sends the MDN separately.
    AsynchronousMdn,
    /// Processes the message, and responds with this status and without an MDN, as a gateway does.
    Respond(&'static str),
    /// Processes the message, and writes this text after the HTTP version. The connection stays open.
    WriteAndHold(&'static str),
}

const PROCESSED: BankBehavior =
    BankBehavior::SynchronousMdn { disposition: "processed", signer: "bank", mic: None };

struct Fixture {
    keys: Arc<KeyDirectory>,
    bank: Server,
    discovery: Server,
    daemon: Daemon,
    /// The address of the AS2 front.
    as2_address: std::net::SocketAddr,
}

/// Starts the program with the bank as the partner that serves destination 7.
fn fixture(behavior: BankBehavior, encrypt: bool) -> Fixture {
    let as2_address: std::net::SocketAddr = free_address();
    let keys = Arc::new(KeyDirectory::new(""));
    let bank_keys = keys.clone();
    let bank = Server::start(move |request, _| {
        let part = bank_keys.decrypt_and_verify(request).expect("a valid signature");
        let message_id = request.header("message-id").expect("a Message-ID");
        match behavior {
            BankBehavior::NoResponse => Reply::RespondAndHold(String::new()),
            BankBehavior::CloseConnection => Reply::Close,
            BankBehavior::AsynchronousMdn => respond("200 OK", "", ""),
            BankBehavior::Respond(status) => respond(status, "", ""),
            BankBehavior::WriteAndHold(text) => Reply::RespondAndHold(format!("HTTP/1.1 {text}")),
            BankBehavior::SynchronousMdn { disposition, signer, mic } => {
                let mic = mic.map_or_else(|| bank_keys.mic(&part), str::to_string);
                let (content_type, body) = bank_keys.mdn(message_id, disposition, &mic, signer);
                respond("200 OK", &format!("content-type: {content_type}\r\n"), &body)
            }
        }
    });
    let settings = format!(
        r#"{{"enabled":true,"listen":"{as2_address}","name":"us","key":"us.key","certificate":"us.pem","receipt_url":"http://{as2_address}/receipts",
        "partners":[{{"name":"bank","certificate":"bank.pem","url":"http://{}/as2","dest":7,"rate":50.0,"encrypt":{encrypt},
        "receipt":"{}","class":"payout","tenant":"t","forward_to":8,"receipts_to":"http://{}/as2"}}]}}"#,
        bank.addr,
        if behavior == BankBehavior::AsynchronousMdn { "async" } else { "sync" },
        bank.addr
    );
    std::fs::write(keys.0.join("as2.json"), settings).expect("write the AS2 settings");
    let discovery = start_discovery(endpoint_list(1, &[]));
    let daemon = Setup { env: keys.env(), ..setup(&discovery, endpoint_list(1, &[])) }.start();
    Fixture { keys, bank, discovery, daemon, as2_address }
}

/// A Retry-After that arrives while the connect for another payout hangs also applies to that payout, which must not be sent
/// early.
#[test]
fn respects_a_retry_after_that_arrives_during_a_connect() {
    let mut bank = FullBacklogEndpoint::start();
    let settings = format!(
        r#"{{"enabled":true,"listen":"{}","name":"us","key":"us.key","certificate":"us.pem","receipt_url":"http://127.0.0.1:1/receipts",
        "partners":[{{"name":"bank","certificate":"bank.pem","url":"http://{}/as2","dest":7,"rate":50.0,"receipt":"sync"}}]}}"#,
        free_address(),
        bank.addr
    );
    let keys = KeyDirectory::new(&settings);
    let discovery = start_discovery(endpoint_list(1, &[]));
    let daemon = Setup {
        env: keys.env(),
        settings_replacements: vec![LONG_CONNECT_TIMEOUT],
        ..setup(&discovery, endpoint_list(1, &[]))
    }
    .start();
    let first = start_hanging_connect(&daemon, &mut bank);
    let second = retry_after_during_connect(&daemon, first, &mut bank);
    assert!(
        read_call(&second).header("as2-to").is_some_and(|to| to == "bank"),
        "the connection carries the next message"
    );
}

/// Each payout is sent to the bank once and completes once: delivered without a callback, or with one callback.
#[rstest]
#[case::signed(PROCESSED, false, None)]
#[case::encrypted(PROCESSED, true, None)]
#[case::processed_with_warning(BankBehavior::SynchronousMdn { disposition: "processed/warning: duplicate-document", signer: "bank", mic: None }, false, None)]
#[case::processing_error(BankBehavior::SynchronousMdn { disposition: "processed/error: unexpected-processing-error", signer: "bank", mic: None }, false, Some("failed"))]
#[case::forged_signature(BankBehavior::SynchronousMdn { disposition: "processed", signer: "stranger", mic: None }, false, Some("not good"))]
#[case::wrong_mic(BankBehavior::SynchronousMdn { disposition: "processed", signer: "bank", mic: Some("AAAA") }, false, Some("digest"))]
#[case::connection_closed(BankBehavior::CloseConnection, false, Some("cut"))]
#[case::incomplete_429(
    BankBehavior::WriteAndHold("429 Later\r\ncontent-length: 40\r\n\r\nshort"),
    false,
    Some("short")
)]
#[case::incomplete_503(
    BankBehavior::WriteAndHold("503 Full\r\ncontent-length: 40\r\n\r\nshort"),
    false,
    Some("short")
)]
#[case::gateway_timeout(BankBehavior::Respond("504 Gateway Timeout"), false, Some("504"))]
#[case::unavailable(BankBehavior::Respond("503 Full"), false, Some("503"))]
#[case::bad_gateway(BankBehavior::Respond("502 Bad Gateway"), false, Some("502"))]
#[case::gone(BankBehavior::Respond("410 Gone"), false, Some("410"))]
fn a_payout_completes_exactly_once(
    #[case] behavior: BankBehavior, #[case] encrypt: bool, #[case] fault: Option<&str>,
) {
    let fixture = fixture(behavior, encrypt);
    assert_eq!(fixture.daemon.submit("payout", "p1"), 202);
    let sent = fixture.bank.wait_until("the payout", |all| !all.is_empty());
    assert_eq!(sent[0].header("message-id"), Some("<p1@us>"));
    if fault.is_some() {
        fixture.discovery.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    } else {
        fixture.daemon.wait_log("message=p1 outcome=Ok attempt=0");
    }
    let callbacks =
        fixture.discovery.received().iter().filter(|request| request.text().contains("p1")).count();
    assert_eq!((fixture.bank.received().len(), callbacks), (1, usize::from(fault.is_some())));
}

#[test]
fn retries_a_message_that_the_bank_could_not_decrypt() {
    let fixture = fixture(
        BankBehavior::SynchronousMdn {
            disposition: "processed/error: decryption-failed",
            signer: "bank",
            mic: None,
        },
        true,
    );
    assert_eq!(fixture.daemon.submit("payout", "d1"), 202);
    fixture.bank.wait_until("a second attempt", |all| all.len() >= 2);
    assert_eq!(fixture.bank.received()[1].header("message-id"), Some("<d1@us>"));
}

#[test]
fn a_payout_without_an_mdn_is_undeliverable_and_a_late_mdn_does_not_change_that() {
    let silent = fixture(BankBehavior::NoResponse, false);
    let response = silent.daemon.send_request(&message_request("payout", "s1", "1500m", ""));
    assert_eq!(response.map(|r| r.status()), Some(202));
    silent.discovery.wait_text(r#"{"id":"s1","status":"undeliverable"}"#);
    assert_eq!(silent.bank.received().len(), 1);
    let late = fixture(BankBehavior::AsynchronousMdn, false);
    let response = late.daemon.send_request(&message_request("payout", "s2", "1500m", ""));
    assert_eq!(response.map(|r| r.status()), Some(202));
    let sent = late.bank.wait_until("the payout", |all| !all.is_empty());
    late.discovery.wait_text(r#"{"id":"s2","status":"undeliverable"}"#);
    assert_eq!(late.post_mdn(&sent[0]), 200);
    late.daemon.wait_log("ignored receipt for <s2@us>: its attempt had already ended");
    assert_eq!(late.discovery.count_distinct_bodies("s2"), 1);
}

#[test]
fn an_asynchronous_mdn_completes_a_delivery() {
    let fixture = fixture(BankBehavior::AsynchronousMdn, true);
    assert_eq!(fixture.daemon.submit("payout", "l1"), 202);
    let sent = fixture.bank.wait_until("the payout", |all| !all.is_empty());
    assert_eq!(fixture.post_mdn(&sent[0]), 200);
    fixture.daemon.wait_log("message=l1 outcome=Ok attempt=0");
    assert!(!fixture.discovery.received().iter().any(|request| request.text().contains("l1")));
}

/// A payout that is in flight when the process is killed completes once, and its later MDN is only logged.
#[test]
fn never_resends_a_payout_that_was_in_flight_at_a_kill() {
    let mut fixture = fixture(BankBehavior::AsynchronousMdn, false);
    assert_eq!(fixture.daemon.submit("payout", "k1"), 202);
    let sent = fixture.bank.wait_until("the payout", |all| !all.is_empty());
    fixture.daemon.kill();
    fixture.daemon.restart();
    fixture.discovery.wait_text(r#"{"id":"k1","status":"undeliverable"}"#);
    assert_eq!(fixture.post_mdn(&sent[0]), 200);
    fixture.daemon.wait_log("receipt for <k1@us>");
    let callbacks =
        fixture.discovery.received().iter().filter(|request| request.text().contains("k1")).count();
    assert_eq!((fixture.bank.received().len(), callbacks), (1, 1));
}

impl Fixture {
    /// Sends the bank's asynchronous MDN for a message that the bank received; returns the status of the response.
    fn post_mdn(&self, sent: &HttpMessage) -> u16 {
        let mic = self.keys.mic(&self.keys.decrypt_and_verify(sent).expect("a valid signature"));
        let message_id = sent.header("message-id").expect("a Message-ID");
        let (content_type, body) = self.keys.mdn(message_id, "processed", &mic, "bank");
        self.post("/receipts", &format!("content-type: {content_type}\r\n"), &body).status()
    }
    fn post(&self, path: &str, headers: &str, body: &str) -> HttpMessage {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: us\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        send_request(self.as2_address, request.as_bytes()).expect("a response")
    }
    /// Submits a payout as the partner `from`, signed by `signer`; the message requests a signed MDN.
    fn submit_as(&self, from: &str, signer: &str, extra_headers: &str) -> HttpMessage {
        let part = "Content-Type: text/plain\r\n\r\npay the creator";
        let (content_type, body) = self.keys.sign(part, signer);
        let headers = format!(
            "as2-version: 1.2\r\nas2-from: {from}\r\nas2-to: us\r\nmessage-id: <m1@bank>\r\nsubject: pay\r\ncontent-type: {content_type}\r\n\
             disposition-notification-to: bank\r\ndisposition-notification-options: signed-receipt-protocol=required, pkcs7-signature\r\n{extra_headers}"
        );
        self.post("/as2", &headers, &body)
    }
}

/// The MDN for a partner's message is signed by the program, and its message integrity check is the digest of the part that
/// the partner signed.
#[rstest]
#[case::valid("bank", "bank", 200, "; processed\r\n")]
#[case::forged_signature("bank", "stranger", 200, "; processed/error: authentication-failed\r\n")]
#[case::unknown_partner("nobody", "bank", 403, "")]
fn a_partners_message_gets_a_signed_mdn(
    #[case] from: &str, #[case] signer: &str, #[case] status: u16, #[case] disposition: &str,
) {
    let endpoint = Server::always("200 OK");
    let fixture = fixture_with_endpoint(&endpoint);
    let response = fixture.submit_as(from, signer, "");
    assert_eq!(response.status(), status);
    if status == 200 {
        let part = fixture.keys.decrypt_and_verify(&response).expect("a valid signature");
        assert!(part.contains(disposition) && part.contains("Original-Message-ID: <m1@bank>"), "{part}");
    }
    if disposition.contains("; processed\r") {
        let part = fixture.keys.decrypt_and_verify(&response).expect("a valid signature");
        let mic = fixture.keys.mic("Content-Type: text/plain\r\n\r\npay the creator");
        assert!(part.contains(&format!("Received-Content-MIC: {mic}, sha-256")), "{part}");
        assert_eq!(endpoint.wait_until("the payout", |all| !all.is_empty())[0].text(), "pay the creator");
        fixture.daemon.wait_log("outcome=Ok");
        // A repeated message gets an MDN with the same disposition and is not forwarded again.
        let repeated = fixture.submit_as(from, signer, "");
        let part = fixture.keys.decrypt_and_verify(&repeated).expect("a valid signature");
        assert!(part.contains(disposition));
    }
    assert_eq!(endpoint.received().len(), usize::from(disposition.contains("; processed\r")));
}

/// An asynchronous MDN is sent exactly once, when the message is complete, even if the process is killed before that.
#[rstest]
#[case::delivered("200 OK", "; processed\r\n")]
#[case::failed("500 Oops", "; processed/error: unexpected-processing-error\r\n")]
fn an_asynchronous_mdn_reports_the_outcome(#[case] status: &'static str, #[case] disposition: &str) {
    let unavailable = Arc::new(AtomicBool::new(true));
    let is_unavailable = unavailable.clone();
    let endpoint = Server::start(move |_, _| {
        if is_unavailable.load(Ordering::SeqCst) {
            respond("503 Shut", "", "")
        } else {
            respond(status, "", "")
        }
    });
    let mut fixture = fixture_with_endpoint(&endpoint);
    let delivery_option = format!("receipt-delivery-option: http://{}/as2\r\n", fixture.bank.addr);
    assert_eq!(fixture.submit_as("bank", "bank", &delivery_option).status(), 200);
    // The daemon must know the attempt's outcome before the kill. Otherwise the attempt could have had an effect and would not
    // be repeated.
    fixture.daemon.wait_log("pace reduced after a rejection");
    fixture.daemon.kill();
    unavailable.store(false, Ordering::SeqCst);
    fixture.daemon.restart();
    let mdns = fixture.bank.wait_until("the MDN", |all| !all.is_empty());
    let part = fixture.keys.decrypt_and_verify(&mdns[0]).expect("a valid signature");
    assert!(part.contains(disposition), "{part}");
    assert_eq!(fixture.bank.received().len(), 1);
}

/// Starts the program with an endpoint of the platform to which the bank's messages are forwarded.
fn fixture_with_endpoint(endpoint: &Server) -> Fixture {
    let mut fixture = fixture(PROCESSED, false);
    // The bank only sends messages in these tests, so it receives only MDNs.
    fixture.bank = Server::always("200 OK");
    let settings = String::from_utf8(fixture.keys.read("as2.json")).expect("UTF-8");
    let old_bank_address =
        settings.split("\"receipts_to\":\"http://").nth(1).and_then(|t| t.split('/').next());
    let old_bank_address = old_bank_address.expect("the bank's address");
    fixture.as2_address = free_address();
    let old_as2_address = settings.split("\"listen\":\"").nth(1).and_then(|t| t.split('"').next());
    let old_as2_address = old_as2_address.expect("the listener's address");
    let settings = settings
        .replace(old_bank_address, &fixture.bank.addr.to_string())
        .replace(old_as2_address, &fixture.as2_address.to_string());
    std::fs::write(fixture.keys.0.join("as2.json"), settings).expect("write the AS2 settings");
    let endpoints = endpoint_list(1, &[(8, endpoint.addr)]);
    fixture.discovery = start_discovery(endpoints.clone());
    fixture.daemon = Setup { env: fixture.keys.env(), ..setup(&fixture.discovery, endpoints) }.start();
    fixture
}

#[test]
fn the_as2_front_is_off_without_a_settings_file() {
    let endpoint = Server::always("200 OK");
    let endpoints = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(endpoints.clone());
    let daemon = setup(&discovery, endpoints).start();
    assert_eq!(daemon.submit("payout", "x1"), 202);
    endpoint.wait_request("x1");
    assert!(!daemon.log().contains("AS2"));
}
