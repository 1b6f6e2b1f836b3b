//! The AS2 listener's certificate, ordered from a test authority that issues with openssl.
mod stand;
use stand::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

fn openssl(folder: &Path, args: &str) -> String {
    let done =
        Command::new("openssl").args(args.split(' ')).current_dir(folder).stdin(Stdio::null()).output();
    String::from_utf8_lossy(&done.expect("openssl").stdout).into_owned()
}

fn between<'a>(text: &'a str, from: &str, to: &str) -> &'a str {
    text.split(from).nth(1).and_then(|t| t.split(to).next()).unwrap_or_default()
}

/// The payload of a signed request: base64url in a JSON text.
fn payload(heard: &HttpMessage, folder: &Path) -> Vec<u8> {
    let text = heard.text();
    decode(between(&text, "\"payload\":\"", "\""), folder)
}

fn decode(text: &str, folder: &Path) -> Vec<u8> {
    let mut text = text.replace('-', "+").replace('_', "/");
    text.push_str(&"=".repeat((4 - text.len() % 4) % 4));
    std::fs::write(folder.join("b64"), text).expect("written");
    openssl(folder, "base64 -d -A -in b64 -out bytes");
    std::fs::read(folder.join("bytes")).expect("decoded")
}

/// An authority for one domain. It validates the challenge before it issues; while it `fails`, it accepts no order.
fn authority(folder: PathBuf, challenge: String, fails: Arc<AtomicBool>) -> Server {
    let issued = AtomicBool::new(false);
    Server::start(move |heard, n| {
        let host = heard.header("host").unwrap_or_default();
        let path = heard.first.split(' ').nth(1).unwrap_or_default();
        let at = |p: &str| format!("\"http://{host}{p}\"");
        let head = format!(
            "replay-nonce: n{n}\r\nlocation: http://{host}/order\r\ncontent-type: application/json\r\n"
        );
        let json = |text: String| say("200 OK", &head, &text);
        let order = |status: &str| {
            format!(
                r#"{{"status":"{status}","identifiers":[{{"type":"dns","value":"as2.test"}}],"authorizations":[{}],"finalize":{},"certificate":{}}}"#,
                at("/authz"),
                at("/finalize"),
                at("/cert")
            )
        };
        let challenge_text =
            format!(r#"{{"type":"http-01","url":{},"token":"tok","status":"pending"}}"#, at("/ready"));
        match path {
            "/" => json(format!(
                r#"{{"newNonce":{},"newAccount":{},"newOrder":{},"revokeCert":{},"keyChange":{}}}"#,
                at("/nonce"),
                at("/account"),
                at("/new"),
                at("/none"),
                at("/none")
            )),
            "/nonce" => Reply::Respond(format!("HTTP/1.1 200 OK\r\n{head}content-length: 0\r\n\r\n")),
            "/account" => say("201 Created", &head, r#"{"status":"valid"}"#),
            "/new" if fails.load(Ordering::SeqCst) => {
                say("500 Oops", &head, r#"{"type":"urn:ietf:params:acme:error:serverInternal"}"#)
            }
            "/new" => {
                issued.store(false, Ordering::SeqCst);
                say("201 Created", &head, &order("pending"))
            }
            "/authz" => json(format!(
                r#"{{"identifier":{{"type":"dns","value":"as2.test"}},"status":"pending","challenges":[{challenge_text}]}}"#
            )),
            "/ready" => {
                let ask = b"GET /.well-known/acme-challenge/tok HTTP/1.1\r\nhost: as2.test\r\n\r\n";
                let key_authorization = key_authorization_at(&challenge, ask);
                assert!(key_authorization.starts_with("tok."), "{key_authorization}");
                json(challenge_text)
            }
            "/finalize" => {
                let text = String::from_utf8(payload(heard, &folder)).expect("text");
                std::fs::write(folder.join("csr"), decode(between(&text, "\"csr\":\"", "\""), &folder))
                    .expect("written");
                openssl(&folder, &format!("x509 -req -inform DER -in csr -CA ca.pem -CAkey ca.key -set_serial {} -days 2 -copy_extensions copy -out cert.pem", 1000 + n));
                issued.store(true, Ordering::SeqCst);
                json(order("valid"))
            }
            "/cert" => {
                let chain = std::fs::read_to_string(folder.join("cert.pem")).expect("issued");
                say("200 OK", &head, &chain)
            }
            _ => json(order(if issued.load(Ordering::SeqCst) { "valid" } else { "ready" })),
        }
    })
}

fn key_authorization_at(addr: &str, text: &[u8]) -> String {
    ask(addr.parse().expect("an address"), text).expect("an answer").text()
}

#[test]
fn a_certificate_is_ordered_renewed_in_place_and_stays_in_use_when_the_authority_fails() {
    let folder = std::env::temp_dir().join(format!("acme-{}-{}", std::process::id(), unique()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for who in ["ca", "us"] {
        openssl(
            &folder,
            &format!(
                "req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN={who} -keyout {who}.key -out {who}.pem"
            ),
        );
    }
    let (as2, challenge) = (free_address().to_string(), free_address().to_string());
    let fails = Arc::new(AtomicBool::new(false));
    let ca = authority(folder.clone(), challenge.clone(), fails.clone());
    let file = format!(
        r#"{{"enabled":true,"listen":"{as2}","name":"us","key":"us.key","certificate":"us.pem","receipt_url":"https://{as2}/receipts","partners":[],
        "acme":{{"directory":"http://{}/","domain":"as2.test","challenge_listen":"{challenge}","renew_s":1.0,"retry_s":0.2}}}}"#,
        ca.addr
    );
    std::fs::write(folder.join("as2.json"), file).expect("its file");
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let env = vec![("MICALADDER_AS2".to_string(), folder.join("as2.json").display().to_string())];
    let mut daemon = Setup { env, ..setup(&disco, known) }.start();
    ca.wait("an order", |all| all.iter().any(|h| h.first.contains("/cert")));
    daemon.wait_log("a new certificate for as2.test is in use");
    let serial = || {
        let shown = openssl(
            &folder,
            &format!("s_client -connect {as2} -servername as2.test -CAfile ca.pem -verify_return_error"),
        );
        std::fs::write(folder.join("shown"), &shown).expect("written");
        openssl(&folder, "x509 -in shown -noout -serial")
    };
    let first = serial();
    assert!(first.starts_with("serial="), "the handshake is good: {first:?}");
    ca.wait("a renewal", |all| all.iter().filter(|h| h.first.contains("/cert")).count() >= 2);
    fails.store(true, Ordering::SeqCst);
    daemon.wait_log("certificate renewal failed, the current one stays in use");
    let second = serial();
    assert!(
        second.starts_with("serial=") && second != first,
        "swapped with no restart: {first:?} {second:?}"
    );
    // It is loaded again after a kill, although the authority still fails.
    daemon.kill();
    daemon.start_again();
    daemon.wait_log("the saved certificate is in use");
    assert_eq!(serial(), second);
    let _ = std::fs::remove_dir_all(folder);
}
