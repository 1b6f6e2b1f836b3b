//! The AS2 front of the real program, against a test bank whose S/MIME is openssl's, not ours.
mod stand;
use rstest::rstest;
use stand::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

fn openssl(folder: &Path, args: &str) -> bool {
    let done = Command::new("openssl").args(args.split(' ')).current_dir(folder).output().expect("openssl");
    if !done.status.success() {
        eprintln!("openssl {args}: {}", String::from_utf8_lossy(&done.stderr));
    }
    done.status.success()
}

/// Our keys, the bank's and a stranger's, and the AS2 settings, in a temporary directory.
struct Keys(PathBuf);

impl Keys {
    fn new(file: &str) -> Keys {
        let folder = std::env::temp_dir().join(format!("as2-{}-{}", std::process::id(), unique_number()));
        std::fs::create_dir_all(&folder).expect("a folder");
        for who in ["us", "bank", "stranger"] {
            let args = format!(
                "req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN={who} -keyout {who}.key -out {who}.pem"
            );
            assert!(openssl(&folder, &args));
        }
        std::fs::write(folder.join("as2.json"), file).expect("its file");
        Keys(folder)
    }
    fn env(&self) -> Vec<(String, String)> {
        vec![("MICALADDER_AS2".into(), self.0.join("as2.json").display().to_string())]
    }
    fn file(&self, name: &str, text: &[u8]) -> String {
        let name = format!("{name}-{}", unique_number());
        std::fs::write(self.0.join(&name), text).expect("written");
        name
    }
    fn read(&self, name: &str) -> Vec<u8> {
        std::fs::read(self.0.join(name)).expect("it is there")
    }
    /// Encodes (`-e`) or decodes (`-d`) base64.
    fn base64(&self, way: &str, text: &[u8]) -> Vec<u8> {
        let (from, to) = (self.file("from", text), self.file("to", b""));
        assert!(openssl(&self.0, &format!("base64 {way} -in {from} -out {to}")));
        self.read(&to)
    }
    /// Signs a part: the type and the body of a multipart/signed entity.
    fn sign(&self, part: &str, who: &str) -> (String, String) {
        let (from, to) = (self.file("part", part.as_bytes()), self.file("signature", b""));
        let args = format!("cms -sign -binary -md sha256 -in {from} -signer {who}.pem -inkey {who}.key -outform DER -out {to}");
        assert!(openssl(&self.0, &args));
        let text = String::from_utf8(self.base64("-e", &self.read(&to))).expect("text");
        let body = format!(
            "--s\r\n{part}\r\n--s\r\nContent-Type: application/pkcs7-signature\r\n\
             Content-Transfer-Encoding: base64\r\n\r\n{text}\r\n--s--\r\n"
        );
        (
            "multipart/signed; protocol=\"application/pkcs7-signature\"; micalg=sha-256; boundary=\"s\""
                .into(),
            body,
        )
    }
    /// Checks our signature (and takes off our encryption): the signed part.
    fn open(&self, heard: &HttpMessage) -> Option<String> {
        let mut text = format!("Content-Type: {}\r\n\r\n{}", heard.header("content-type")?, heard.text());
        if heard.header("content-type")?.starts_with("application/pkcs7-mime") {
            let (from, to) = (self.file("sealed", &heard.body), self.file("plain", b""));
            assert!(openssl(
                &self.0,
                &format!(
                    "cms -decrypt -binary -inform DER -in {from} -recip bank.pem -inkey bank.key -out {to}"
                )
            ));
            text = String::from_utf8(self.read(&to)).expect("text");
        }
        let mark = format!("--{}", text.split("boundary=\"").nth(1)?.split('"').next()?);
        let parts: Vec<&str> = text.split(&mark).skip(1).collect();
        let part = parts[0].strip_prefix("\r\n")?.strip_suffix("\r\n")?;
        let signature = self.base64("-d", parts[1].split("\r\n\r\n").nth(1)?.as_bytes());
        let (from, content) = (self.file("signature", &signature), self.file("content", part.as_bytes()));
        let args = format!("cms -verify -binary -inform DER -in {from} -content {content} -CAfile us.pem -purpose any -out {content}.out");
        openssl(&self.0, &args).then(|| part.to_string())
    }
    fn mic(&self, part: &str) -> String {
        let (from, to) = (self.file("digested", part.as_bytes()), self.file("digest", b""));
        assert!(openssl(&self.0, &format!("dgst -sha256 -binary -out {to} {from}")));
        String::from_utf8(self.base64("-A", &self.read(&to))).expect("text").trim().to_string()
    }
    fn receipt(&self, message: &str, said: &str, mic: &str, who: &str) -> (String, String) {
        let part = format!(
            "Content-Type: multipart/report; report-type=disposition-notification; boundary=\"b\"\r\n\r\n--b\r\n\
             Content-Type: text/plain\r\n\r\nA receipt.\r\n--b\r\nContent-Type: message/disposition-notification\r\n\r\n\
             Original-Message-ID: {message}\r\nDisposition: automatic-action/MDN-sent-automatically; {said}\r\n\
             Received-Content-MIC: {mic}, sha-256\r\n\r\n--b--\r\n"
        );
        self.sign(&part, who)
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How the test bank handles a message.
#[derive(Clone, Copy, PartialEq)]
enum Bank {
    Receipt {
        said: &'static str,
        by: &'static str,
        mic: Option<&'static str>,
    },
    /// Processes the message and never responds.
    Silent,
    /// Processes the message and cuts the connection.
    CutOff,
    /// Answers 200; its receipt is asynchronous.
    Asynchronous,
}

const GOOD: Bank = Bank::Receipt { said: "processed", by: "bank", mic: None };

struct Fixture {
    keys: Arc<Keys>,
    bank: Server,
    disco: Server,
    daemon: Daemon,
    as2: std::net::SocketAddr,
}

/// The program with a bank as the partner behind dest 7.
fn fixture(how: Bank, encrypt: bool) -> Fixture {
    let as2: std::net::SocketAddr = free_address();
    let keys = Arc::new(Keys::new(""));
    let mine = keys.clone();
    let bank = Server::start(move |heard, _| {
        let part = mine.open(heard).expect("our signature is good");
        let id = heard.header("message-id").expect("an id");
        match how {
            Bank::Silent => Reply::RespondAndHold(String::new()),
            Bank::CutOff => Reply::Close,
            Bank::Asynchronous => respond("200 OK", "", ""),
            Bank::Receipt { said, by, mic } => {
                let mic = mic.map_or_else(|| mine.mic(&part), str::to_string);
                let (kind, body) = mine.receipt(id, said, &mic, by);
                respond("200 OK", &format!("content-type: {kind}\r\n"), &body)
            }
        }
    });
    let file = format!(
        r#"{{"enabled":true,"listen":"{as2}","name":"us","key":"us.key","certificate":"us.pem","receipt_url":"http://{as2}/receipts",
        "partners":[{{"name":"bank","certificate":"bank.pem","url":"http://{}/as2","dest":7,"rate":50.0,"encrypt":{encrypt},
        "receipt":"{}","class":"payout","tenant":"t","forward_to":8,"receipts_to":"http://{}/as2"}}]}}"#,
        bank.addr,
        if how == Bank::Asynchronous { "async" } else { "sync" },
        bank.addr
    );
    std::fs::write(keys.0.join("as2.json"), file).expect("its file");
    let disco = start_discovery(endpoint_list(1, &[]));
    let daemon = Setup { env: keys.env(), ..setup(&disco, endpoint_list(1, &[])) }.start();
    Fixture { keys, bank, disco, daemon, as2 }
}

/// A Retry-After from a bank while another payout's connect hangs also applies to that payout: it is not sent early.
#[test]
fn a_retry_after_that_arrives_during_a_connect_is_respected() {
    let mut bank = FullBacklogEndpoint::start();
    let file = format!(
        r#"{{"enabled":true,"listen":"{}","name":"us","key":"us.key","certificate":"us.pem","receipt_url":"http://127.0.0.1:1/receipts",
        "partners":[{{"name":"bank","certificate":"bank.pem","url":"http://{}/as2","dest":7,"rate":50.0,"receipt":"sync"}}]}}"#,
        free_address(),
        bank.addr
    );
    let keys = Keys::new(&file);
    let disco = start_discovery(endpoint_list(1, &[]));
    let daemon = Setup {
        env: keys.env(),
        settings_replacements: vec![LONG_CONNECT_TIMEOUT],
        ..setup(&disco, endpoint_list(1, &[]))
    }
    .start();
    let first = start_hanging_connect(&daemon, &mut bank);
    let second = retry_after_during_connect(&daemon, first, &mut bank);
    assert!(read_call(&second).header("as2-to").is_some_and(|to| to == "bank"), "it serves the next one");
}

/// Each payout is sent to the bank once and completes once: delivered without a callback, or with one callback.
#[rstest]
#[case::signed(GOOD, false, None)]
#[case::encrypted(GOOD, true, None)]
#[case::warned(Bank::Receipt { said: "processed/warning: duplicate-document", by: "bank", mic: None }, false, None)]
#[case::failed(Bank::Receipt { said: "processed/error: unexpected-processing-error", by: "bank", mic: None }, false, Some("failed"))]
#[case::forged(Bank::Receipt { said: "processed", by: "stranger", mic: None }, false, Some("not good"))]
#[case::other_digest(Bank::Receipt { said: "processed", by: "bank", mic: Some("AAAA") }, false, Some("digest"))]
#[case::cut_off(Bank::CutOff, false, Some("cut"))]
fn a_payout_completes_exactly_once(#[case] how: Bank, #[case] encrypt: bool, #[case] fault: Option<&str>) {
    let s = fixture(how, encrypt);
    assert_eq!(s.daemon.submit("payout", "p1"), 202);
    let sent = s.bank.wait_until("the payout", |all| !all.is_empty());
    assert_eq!(sent[0].header("message-id"), Some("<p1@us>"));
    if fault.is_some() {
        s.disco.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    } else {
        s.daemon.wait_log("message=p1 outcome=Ok attempt=0");
    }
    let notices = s.disco.received().iter().filter(|h| h.text().contains("p1")).count();
    assert_eq!((s.bank.received().len(), notices), (1, usize::from(fault.is_some())));
}

#[test]
fn a_message_that_the_bank_could_not_decrypt_is_retried() {
    let s =
        fixture(Bank::Receipt { said: "processed/error: decryption-failed", by: "bank", mic: None }, true);
    assert_eq!(s.daemon.submit("payout", "d1"), 202);
    s.bank.wait_until("a second attempt", |all| all.len() >= 2);
    assert_eq!(s.bank.received()[1].header("message-id"), Some("<d1@us>"));
}

#[test]
fn a_payout_without_a_receipt_is_undeliverable_and_a_late_receipt_changes_nothing() {
    let s = fixture(Bank::Silent, false);
    let handed = s.daemon.send_request(&message_request("payout", "s1", "1500m", "")).map(|h| h.status());
    assert_eq!(handed, Some(202));
    s.disco.wait_text(r#"{"id":"s1","status":"undeliverable"}"#);
    assert_eq!(s.bank.received().len(), 1);
    let later = fixture(Bank::Asynchronous, false);
    assert_eq!(
        later.daemon.send_request(&message_request("payout", "s2", "1500m", "")).map(|h| h.status()),
        Some(202)
    );
    let sent = later.bank.wait_until("the payout", |all| !all.is_empty());
    later.disco.wait_text(r#"{"id":"s2","status":"undeliverable"}"#);
    assert_eq!(later.post_receipt(&sent[0]), 200);
    later.daemon.wait_log("receipt for <s2@us> after its attempt had ended: changes nothing");
    assert_eq!(later.disco.count_distinct_bodies("s2"), 1);
}

#[test]
fn an_asynchronous_receipt_completes_a_delivery() {
    let s = fixture(Bank::Asynchronous, true);
    assert_eq!(s.daemon.submit("payout", "l1"), 202);
    let sent = s.bank.wait_until("the payout", |all| !all.is_empty());
    assert_eq!(s.post_receipt(&sent[0]), 200);
    s.daemon.wait_log("message=l1 outcome=Ok attempt=0");
    assert!(!s.disco.received().iter().any(|h| h.text().contains("l1")));
}

/// After a kill while the payout is in flight: it is not sent again, completes once, and a later receipt is logged.
#[test]
fn a_payout_in_flight_at_a_kill_is_not_sent_again() {
    let mut s = fixture(Bank::Asynchronous, false);
    assert_eq!(s.daemon.submit("payout", "k1"), 202);
    let sent = s.bank.wait_until("the payout", |all| !all.is_empty());
    s.daemon.kill();
    s.daemon.restart();
    s.disco.wait_text(r#"{"id":"k1","status":"undeliverable"}"#);
    assert_eq!(s.post_receipt(&sent[0]), 200);
    s.daemon.wait_log("receipt for <k1@us>");
    assert_eq!(
        (s.bank.received().len(), s.disco.received().iter().filter(|h| h.text().contains("k1")).count()),
        (1, 1)
    );
}

impl Fixture {
    fn post_receipt(&self, sent: &HttpMessage) -> u16 {
        let mic = self.keys.mic(&self.keys.open(sent).expect("signed by us"));
        let (kind, body) =
            self.keys.receipt(sent.header("message-id").expect("an id"), "processed", &mic, "bank");
        self.post("/receipts", &format!("content-type: {kind}\r\n"), &body).status()
    }
    fn post(&self, path: &str, head: &str, body: &str) -> HttpMessage {
        let text =
            format!("POST {path} HTTP/1.1\r\nhost: us\r\n{head}content-length: {}\r\n\r\n{body}", body.len());
        send_request(self.as2, text.as_bytes()).expect("an answer")
    }
    /// Submits a payout as the bank would.
    fn submit_as(&self, from: &str, signer: &str, more: &str) -> HttpMessage {
        let part = "Content-Type: text/plain\r\n\r\npay the creator";
        let (kind, body) = self.keys.sign(part, signer);
        let head = format!(
            "as2-version: 1.2\r\nas2-from: {from}\r\nas2-to: us\r\nmessage-id: <m1@bank>\r\nsubject: pay\r\ncontent-type: {kind}\r\n\
             disposition-notification-to: bank\r\ndisposition-notification-options: signed-receipt-protocol=required, pkcs7-signature\r\n{more}"
        );
        self.post("/as2", &head, &body)
    }
}

/// The receipt for a partner's message is signed by us and has the digest of what the partner signed.
#[rstest]
#[case::good("bank", "bank", 200, "; processed\r\n")]
#[case::forged("bank", "stranger", 200, "; processed/error: authentication-failed\r\n")]
#[case::unknown("nobody", "bank", 403, "")]
fn a_partners_message_gets_a_signed_receipt(
    #[case] from: &str, #[case] signer: &str, #[case] status: u16, #[case] said: &str,
) {
    let endpoint = Server::always("200 OK");
    let s = fixture_with_endpoint(&endpoint);
    let answer = s.submit_as(from, signer, "");
    assert_eq!(answer.status(), status);
    if status == 200 {
        let part = s.keys.open(&answer).expect("signed by us");
        assert!(part.contains(said) && part.contains("Original-Message-ID: <m1@bank>"), "{part}");
    }
    if said.contains("; processed\r") {
        let part = s.keys.open(&answer).expect("signed by us");
        let mic = s.keys.mic("Content-Type: text/plain\r\n\r\npay the creator");
        assert!(part.contains(&format!("Received-Content-MIC: {mic}, sha-256")), "{part}");
        assert_eq!(endpoint.wait_until("the payout", |all| !all.is_empty())[0].text(), "pay the creator");
        s.daemon.wait_log("outcome=Ok");
        // A repeat gets the same answer, and nothing runs again.
        assert!(s.keys.open(&s.submit_as(from, signer, "")).expect("signed").contains(said));
    }
    assert_eq!(endpoint.received().len(), usize::from(said.contains("; processed\r")));
}

/// An asynchronous receipt is sent once the message is complete, also after a kill, and only once.
#[rstest]
#[case::delivered("200 OK", "; processed\r\n")]
#[case::failed("500 Oops", "; processed/error: unexpected-processing-error\r\n")]
fn an_asynchronous_receipt_reports_the_outcome(#[case] status: &'static str, #[case] said: &str) {
    let held = Arc::new(AtomicBool::new(true));
    let mine = held.clone();
    let endpoint = Server::start(move |_, _| {
        if mine.load(Ordering::SeqCst) {
            respond("503 Shut", "", "")
        } else {
            respond(status, "", "")
        }
    });
    let mut s = fixture_with_endpoint(&endpoint);
    let to = format!("receipt-delivery-option: http://{}/as2\r\n", s.bank.addr);
    assert_eq!(s.submit_as("bank", "bank", &to).status(), 200);
    // The kill must come after the attempt's outcome: otherwise the attempt may have taken effect.
    s.daemon.wait_log("pace reduced after a rejection");
    s.daemon.kill();
    held.store(false, Ordering::SeqCst);
    s.daemon.restart();
    let receipts = s.bank.wait_until("the receipt", |all| !all.is_empty());
    let part = s.keys.open(&receipts[0]).expect("signed by us");
    assert!(part.contains(said), "{part}");
    assert_eq!(s.bank.received().len(), 1);
}

/// The same, with an endpoint of the platform to which the bank's messages are forwarded.
fn fixture_with_endpoint(endpoint: &Server) -> Fixture {
    let mut s = fixture(GOOD, false);
    // The bank only submits here: all that it receives are receipts.
    s.bank = Server::always("200 OK");
    let file = String::from_utf8(s.keys.read("as2.json")).expect("text");
    let old =
        file.split("\"receipts_to\":\"http://").nth(1).and_then(|t| t.split('/').next()).expect("a place");
    s.as2 = free_address();
    let listen = file.split("\"listen\":\"").nth(1).and_then(|t| t.split('"').next()).expect("a place");
    let file = file.replace(old, &s.bank.addr.to_string()).replace(listen, &s.as2.to_string());
    std::fs::write(s.keys.0.join("as2.json"), file).expect("its file");
    let known = endpoint_list(1, &[(8, endpoint.addr)]);
    s.disco = start_discovery(known.clone());
    s.daemon = Setup { env: s.keys.env(), ..setup(&s.disco, known) }.start();
    s
}

#[test]
fn the_front_is_off_without_a_settings_file() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("payout", "x1"), 202);
    endpoint.wait_request("x1");
    assert!(!daemon.log().contains("AS2"));
}
