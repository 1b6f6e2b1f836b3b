//! Tests that the AS2 listener's certificate is ordered and renewed, against a test authority that issues with openssl.
mod stand;
use stand::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Runs openssl in `folder` and returns its standard output.
fn openssl(folder: &Path, args: &str) -> String {
    let output =
        Command::new("openssl").args(args.split(' ')).current_dir(folder).stdin(Stdio::null()).output();
    String::from_utf8_lossy(&output.expect("openssl runs").stdout).into_owned()
}

/// Returns the text between the first `start` and the next `end`.
fn between<'a>(text: &'a str, start: &str, end: &str) -> &'a str {
    text.split(start).nth(1).and_then(|rest| rest.split(end).next()).unwrap_or_default()
}

/// Returns the payload of a signed request, which is base64url in a JSON text.
fn payload(request: &HttpMessage, folder: &Path) -> Vec<u8> {
    let text = request.text();
    decode(between(&text, "\"payload\":\"", "\""), folder)
}

/// Decodes base64url.
fn decode(text: &str, folder: &Path) -> Vec<u8> {
    let mut text = text.replace('-', "+").replace('_', "/");
    text.push_str(&"=".repeat((4 - text.len() % 4) % 4));
    std::fs::write(folder.join("b64"), text).expect("the text is written");
    openssl(folder, "base64 -d -A -in b64 -out bytes");
    std::fs::read(folder.join("bytes")).expect("the text is decoded")
}

/// Starts an authority for one domain. It validates the challenge before it issues a certificate, and rejects orders while
/// `fails` is set.
fn start_authority(folder: PathBuf, challenge: String, fails: Arc<AtomicBool>) -> Server {
    let issued = AtomicBool::new(false);
    Server::start(move |request, n| {
        let host = request.header("host").unwrap_or_default();
        let path = request.start_line.split(' ').nth(1).unwrap_or_default();
        let url = |path: &str| format!("\"http://{host}{path}\"");
        let headers = format!(
            "replay-nonce: n{n}\r\nlocation: http://{host}/order\r\ncontent-type: application/json\r\n"
        );
        let json = |text: String| respond("200 OK", &headers, &text);
        let order = |status: &str| {
            format!(
                r#"{{"status":"{status}","identifiers":[{{"type":"dns","value":"as2.test"}}],"authorizations":[{}],"finalize":{},"certificate":{}}}"#,
                url("/authz"),
                url("/finalize"),
                url("/cert")
            )
        };
        let challenge_text =
            format!(r#"{{"type":"http-01","url":{},"token":"tok","status":"pending"}}"#, url("/ready"));
        match path {
            "/" => json(format!(
                r#"{{"newNonce":{},"newAccount":{},"newOrder":{},"revokeCert":{},"keyChange":{}}}"#,
                url("/nonce"),
                url("/account"),
                url("/new"),
                url("/none"),
                url("/none")
            )),
            "/nonce" => Reply::Respond(format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n")),
            "/account" => respond("201 Created", &headers, r#"{"status":"valid"}"#),
            "/new" if fails.load(Ordering::SeqCst) => {
                respond("500 Oops", &headers, r#"{"type":"urn:ietf:params:acme:error:serverInternal"}"#)
            }
            "/new" => {
                issued.store(false, Ordering::SeqCst);
                respond("201 Created", &headers, &order("pending"))
            }
            "/authz" => json(format!(
                r#"{{"identifier":{{"type":"dns","value":"as2.test"}},"status":"pending","challenges":[{challenge_text}]}}"#
            )),
            "/ready" => {
                let challenge_request =
                    b"GET /.well-known/acme-challenge/tok HTTP/1.1\r\nhost: as2.test\r\n\r\n";
                let key_authorization = key_authorization_at(&challenge, challenge_request);
                assert!(key_authorization.starts_with("tok."), "{key_authorization}");
                json(challenge_text)
            }
            "/finalize" => {
                let text = String::from_utf8(payload(request, &folder)).expect("UTF-8 text");
                std::fs::write(folder.join("csr"), decode(between(&text, "\"csr\":\"", "\""), &folder))
                    .expect("the request is written");
                openssl(&folder, &format!("x509 -req -inform DER -in csr -CA ca.pem -CAkey ca.key -set_serial {} -days 2 -copy_extensions copy -out cert.pem", 1000 + n));
                issued.store(true, Ordering::SeqCst);
                json(order("valid"))
            }
            "/cert" => {
                let chain = std::fs::read_to_string(folder.join("cert.pem"))
                    .expect("the certificate has been issued");
                respond("200 OK", &headers, &chain)
            }
            _ => json(order(if issued.load(Ordering::SeqCst) { "valid" } else { "ready" })),
        }
    })
}

/// Requests the key authorization of the challenge from the forwarder.
fn key_authorization_at(address: &str, request: &[u8]) -> String {
    send_request(address.parse().expect("a socket address"), request).expect("a response").text()
}

#[test]
fn a_certificate_is_ordered_renewed_without_a_restart_and_kept_when_the_authority_fails() {
    let folder = std::env::temp_dir().join(format!("acme-{}-{}", std::process::id(), unique_number()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    for name in ["ca", "us"] {
        openssl(
            &folder,
            &format!(
                "req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN={name} -keyout {name}.key -out {name}.pem"
            ),
        );
    }
    let (as2, challenge) = (free_address().to_string(), free_address().to_string());
    let fails = Arc::new(AtomicBool::new(false));
    let authority = start_authority(folder.clone(), challenge.clone(), fails.clone());
    let as2_settings = format!(
        r#"{{"enabled":true,"listen":"{as2}","name":"us","key":"us.key","certificate":"us.pem","receipt_url":"https://{as2}/receipts","partners":[],
        "acme":{{"directory":"http://{}/","domain":"as2.test","challenge_listen":"{challenge}","renew_s":1.0,"retry_s":0.2}}}}"#,
        authority.addr
    );
    std::fs::write(folder.join("as2.json"), as2_settings).expect("the AS2 settings are written");
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let env = vec![("MICALADDER_AS2".to_string(), folder.join("as2.json").display().to_string())];
    let mut daemon = Setup { env, ..setup(&discovery_server, known) }.start();
    authority.wait_until("an order", |requests| {
        requests.iter().any(|request| request.start_line.contains("/cert"))
    });
    daemon.wait_log("a new certificate for as2.test is in use");
    let serial = || {
        let session = openssl(
            &folder,
            &format!("s_client -connect {as2} -servername as2.test -CAfile ca.pem -verify_return_error"),
        );
        std::fs::write(folder.join("session"), &session).expect("the session is written");
        openssl(&folder, "x509 -in session -noout -serial")
    };
    let first_serial = serial();
    assert!(first_serial.starts_with("serial="), "the handshake succeeds: {first_serial:?}");
    authority.wait_until("a renewal", |requests| {
        requests.iter().filter(|request| request.start_line.contains("/cert")).count() >= 2
    });
    fails.store(true, Ordering::SeqCst);
    daemon.wait_log("certificate renewal failed, the current one stays in use");
    let second_serial = serial();
    assert!(
        second_serial.starts_with("serial=") && second_serial != first_serial,
        "the certificate is replaced without a restart: {first_serial:?} {second_serial:?}"
    );
    // The saved certificate is loaded after a kill, although the authority still rejects orders.
    daemon.kill();
    daemon.restart();
    daemon.wait_log("the saved certificate is in use");
    assert_eq!(serial(), second_serial);
    let _ = std::fs::remove_dir_all(folder);
}
