//! The cases.
use super::*;

pub fn run(case: &str) -> ! {
    match case {
        "late-list" => late_list(),
        "hanging-plugin" => hanging_plugin(),
        "as2-repeat" => as2_repeat(),
        "two-upgrades" => two_upgrades(),
        "class-order" => class_order(),
        "old-discovery" => old_discovery(),
        "spoilt-refusal" => spoilt_refusal(),
        "as2-gone" => as2_gone(),
        _ => finish(2, "no such case"),
    }
}

/// Slack of each time limit on sockets (PROTOCOL, "The rules on sockets").
const SOCKET_SLACK_S: f64 = 0.05;
/// A message is lost if it is open so long after its time (PROTOCOL, "The rules on sockets").
const LOST_AFTER_S: f64 = 0.3;
/// Calls within this time of a told wait are let through (PROTOCOL, "The rules on sockets").
const WAIT_SLACK_S: f64 = 0.1;
const START_TIMEOUT: Duration = Duration::from_secs(30);
const PARTNER_TIME: Duration = Duration::from_millis(120);

// ---- Settings of the sites, with the figures of their site files.

const HEAD_OFFICE_CLASSES: [&str; 3] = [
    r#"{"name":"episode-sync","aimNs":3000000000,"deadlineNs":24000000000,"effect":"by_key","fifoByKey":true,"group":"all","lateShare":0.5,"points":1.0,"streamed":false,"windowNs":25000000000}"#,
    r#"{"name":"stats-push","aimNs":4000000000,"deadlineNs":16000000000,"effect":"repeatable","group":"all","lateShare":0.5,"points":2.0,"streamed":false,"windowNs":5000000000}"#,
    r#"{"name":"creator-payout","aimNs":2000000000,"deadlineNs":20000000000,"effect":"once","group":"all","lateShare":0.3,"points":5.0,"streamed":false,"windowNs":5000000000}"#,
];

/// `jhb-head-office`: pushed lists, one attempt at a time.
fn head_office(classes: &[&str]) -> String {
    format!(
        r#"{{"classes":[{}],"clients":{{"marksRetry":false}},"family":"deliver","familyInfo":{{"fades":"halves","kindApart":[false,false],"perCall":[1,1],"refusalCost":0.03,"routeFee":[0.0],"workers":9}},"fees":{{"connection":0.0,"crossZone":0.0,"handshake":0.02,"lateFail":0.028,"probe":0.014,"waste":0.024}},"flavors":["big-directory","small-partner"],"limits":{{"connIdleNs":15000000000,"connectTimeoutNs":1000000000,"cpuUsPerRequest":0.0,"cpuUsPerS":96000,"maxRetryAfterNs":2000000000,"maxStreams":8,"mayCancel":true,"mayProbe":true,"mayTell":false,"mostTries":6,"openCap":229,"retryAfter":true,"secondCopies":false}},"localities":["jhb-dc1"],"me":0,"myZone":0,"nInstances":2,"overShareWorth":0.2,"registryMode":"pushed","reporting":{{"names":[],"source":"off"}},"resolutionNs":5000000,"rules":{{"answerSlackNs":20000000,"coldFrom":0.2,"fallMultiple":2.0,"mustAskInNs":10000000000,"orderPauseNs":0,"rampTimeNs":9000000000,"stopSendingWithinNs":250000000,"tipAfterNs":1500000000}},"tenants":[{{"name":"gauteng-central","quotaRps":15.0,"share":0.45}},{{"name":"cape-coast","quotaRps":12.0,"share":0.37}},{{"name":"kzn-east","quotaRps":6.0,"share":0.18}}],"tier":0,"valueBy":"request","weightKind":"nominal"}}"#,
        classes.join(",")
    )
}

/// `trentside-outbound`: the list answers only when asked.
fn trentside(forwarders: usize) -> String {
    format!(
        r#"{{"classes":[{{"name":"swap-notice","aimNs":2000000000,"deadlineNs":16000000000,"effect":"by_key","group":"all","lateShare":0.5,"points":1.0,"streamed":false,"windowNs":4000000000}},{{"name":"hire-charge","aimNs":2500000000,"deadlineNs":28000000000,"effect":"once","fifoByKey":true,"group":"all","lateShare":0.4,"points":2.0,"streamed":false,"windowNs":5000000000}}],"clients":{{"marksRetry":false}},"family":"deliver","familyInfo":{{"fades":"halves","kindApart":[false,false],"perCall":[10,1],"refusalCost":0.05,"routeFee":[0.0],"workers":12}},"fees":{{"connection":0.0,"crossZone":0.0,"handshake":0.02,"lateFail":0.027,"probe":0.0081,"waste":0.16}},"flavors":["bulk-host","single-host"],"limits":{{"connIdleNs":5000000000,"connectTimeoutNs":1500000000,"cpuUsPerRequest":0.0,"cpuUsPerS":80000,"maxRetryAfterNs":3000000000,"maxStreams":1,"mayCancel":true,"mayProbe":true,"mayTell":false,"mostTries":8,"openCap":120,"retryAfter":true,"secondCopies":true}},"localities":["derby-depot"],"me":0,"myZone":0,"nInstances":{forwarders},"overShareWorth":0.1,"registryMode":"on_request","reporting":{{"names":["x0","x1"],"source":"inline"}},"resolutionNs":5000000,"rules":{{"answerSlackNs":20000000,"coldFrom":0.21,"fallMultiple":2.0,"mustAskInNs":10000000000,"orderPauseNs":100000000,"rampTimeNs":14000000000,"stopSendingWithinNs":250000000,"tipAfterNs":1500000000}},"tenants":[{{"name":"midshire-parcels","quotaRps":50.0,"share":1.0}}],"tier":0,"valueBy":"request","weightKind":"rough"}}"#
    )
}

fn head_office_daemon(discovery: &Discovery, settings: String) -> DaemonConfig {
    DaemonConfig {
        name: "n1".into(),
        listen: free_address(),
        discovery: discovery.address,
        seed: "8c1f30d27a5be964".into(),
        known: discovery.list(),
        settings,
        env: Vec::new(),
    }
}

fn served() -> Reply {
    Reply::Status(200, String::new(), PARTNER_TIME)
}

fn payout(id: &str, dest: u64, deadline_ms: u64) -> HandIn {
    HandIn {
        id: id.into(),
        class: "creator-payout".into(),
        tenant: "gauteng-central".into(),
        dest,
        deadline_ms,
        body: format!("payout {id}"),
        ..HandIn::default()
    }
}

// ---- Discovery that is asked is down for some seconds.

/// How long discovery is down (mass/FLEET: "discovery is down for 8 s").
const OUTAGE_S: f64 = 8.0;
/// A change counts as told so long after discovery had it and could be reached (mass/STANDING).
const TOLD_AFTER_S: f64 = 6.0;
const DRAIN_S: f64 = 0.25;
const FORWARDERS: usize = 3;

fn late_list() -> ! {
    let ok = |_: &Message, _: usize| Reply::Status(200, "X-Load: x0=0.9,x1=40\r\n".into(), PARTNER_TIME);
    let old = Endpoint::start("s-1 (partner 1)", ok);
    let other = Endpoint::start("s-2 (partner 1)", ok);
    let new = Endpoint::start("s-3 (partner 1)", ok);
    let listed = |uid: &str, endpoint: &Endpoint, dest| Listed::ready(uid, endpoint.address, dest, "single-host", 40.0);
    let entries = vec![listed("s-1", &old, 1), listed("s-2", &other, 1)];
    let discovery = Discovery::start("derby-depot", entries);
    // Another `FIRST_SEED` gives other seeds to the forwarders.
    let first_seed: u64 = std::env::var("FIRST_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut daemons: Vec<Daemon> = Vec::new();
    let mut listens = Vec::new();
    for number in 0..FORWARDERS {
        let config = DaemonConfig {
            name: format!("n{number}"),
            listen: free_address(),
            discovery: discovery.address,
            seed: format!("{:x}", 0x8c1f_30d2_7a5b_e964u64 + first_seed + number as u64),
            known: discovery.list(),
            settings: trentside(FORWARDERS),
            env: Vec::new(),
        };
        listens.push(config.listen);
        daemons.push(Daemon::start(&config, &format!("n{number}"), None));
    }
    daemons.iter_mut().for_each(|daemon| daemon.wait_ready(START_TIMEOUT));
    let stop = Stop::default();
    for (number, listen) in listens.into_iter().enumerate() {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut client = Client::new(listen);
            let mut sent = 0;
            while !stopped(&stop) {
                let id = format!("{number:04x}{sent:012x}");
                client.hand_in(&HandIn {
                    id: id.clone(),
                    class: "swap-notice".into(),
                    tenant: "midshire-parcels".into(),
                    dest: 1,
                    deadline_ms: 16_000,
                    idempotency_key: format!("key-{id}"),
                    body: format!("to partner 1 by n{number}"),
                    ..HandIn::default()
                });
                sent += 1;
                sleep(Duration::from_millis(200));
            }
        });
    }
    sleep(Duration::from_secs(3));
    let replace = || {
        // s-1 is replaced by s-3, and its address goes to an endpoint of partner 2.
        let gone = Listed { state: "Gone".into(), ..listed("s-1", &old, 1) };
        discovery.change(vec![gone, listed("s-3", &new, 1), listed("s-4", &old, 2)]);
        old.rename("s-4 (partner 2)");
        old.reset();
    };
    if trouble() {
        discovery.set_down(true);
    }
    let down_at = now_s();
    sleep_until(down_at + OUTAGE_S / 2.0);
    replace();
    sleep_until(down_at + OUTAGE_S);
    if trouble() {
        discovery.set_down(false);
    }
    let up_at = now_s();
    let allowed_until = up_at + TOLD_AFTER_S + DRAIN_S + SOCKET_SLACK_S;
    record(&format!("calls of partner 1 may reach the old address until {allowed_until:.3}"));
    sleep_until(up_at + 30.0);
    stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(500));
    daemons.iter().for_each(|daemon| daemon.record_log(12));
    let is_wrong = |call: &&CallSeen| call.body.starts_with("to partner 1") && call.first_byte_s > allowed_until;
    let calls = old.calls();
    let wrong: Vec<&CallSeen> = calls.iter().filter(is_wrong).collect();
    let right = other.calls().into_iter().chain(new.calls()).filter(|call| call.first_byte_s > up_at).count();
    record(&format!("after discovery was up, {right} messages of partner 1 came to its own endpoints"));
    if right == 0 && wrong.is_empty() {
        finish(2, "nothing was sent to partner 1 after discovery was up");
    }
    for number in 0..FORWARDERS {
        let by = format!("by n{number}");
        let late: Vec<f64> = wrong.iter().filter(|c| c.body.ends_with(&by)).map(|c| c.first_byte_s - up_at).collect();
        let last = late.last().copied().unwrap_or(0.0);
        record(&format!("n{number}: {} messages of partner 1 to partner 2's endpoint too late, the last {last:.1} s after discovery was up", late.len()));
    }
    match wrong.len() {
        0 => finish(0, "held: nothing was sent to the endpoint that is gone after the change counts as told"),
        n => finish(1, &format!("broken: {n} messages were sent to an endpoint that is gone, whose address is another partner's")),
    }
}

// ---- A plug-in that hangs.

fn hanging_plugin() -> ! {
    // Partner 7 tells the first call to wait for 1.5 s, so that what follows is held.
    let busy = Endpoint::start("s-7 (partner 7)", |_, number| match number {
        0 => Reply::Status(429, "Retry-After: 1.5\r\n".into(), Duration::from_millis(20)),
        _ => served(),
    });
    let other = Endpoint::start("s-8 (partner 8)", |_, _| served());
    let discovery = Discovery::start(
        "jhb-dc1",
        vec![
            Listed::ready("s-7", busy.address, 7, "big-directory", 20.0),
            Listed::ready("s-8", other.address, 8, "big-directory", 20.0),
        ],
    );
    let plugins = folder().join("plugins");
    fs::create_dir_all(&plugins).expect("the folder of plug-ins");
    let waits = if trouble() { "while true { sleep(1); }" } else { "" };
    let script = format!("fn on_request(request) {{\n  if request.dest == 8 && request.class == \"creator-payout\" {{ {waits} }}\n}}\n");
    fs::write(plugins.join("check-amounts.rhai"), &script).expect("the plug-in");
    record(&format!("plug-in: {}", script.replace('\n', " ")));
    let mut config = head_office_daemon(&discovery, head_office(&HEAD_OFFICE_CLASSES));
    config.env.push(("MICALADDER_PLUGINS".into(), plugins.display().to_string()));
    let mut daemon = Daemon::start(&config, "n1", None);
    daemon.wait_ready(START_TIMEOUT);
    let mut client = Client::new(config.listen);
    let mut taken = Vec::new();
    let mut hand_in = |message: HandIn| {
        let sent_s = now_s();
        if client.hand_in(&message) == Some(202) {
            taken.push((message.id, sent_s + message.deadline_ms as f64 / 1e3));
        }
    };
    hand_in(payout("00000000000000a0", 7, 5000));
    sleep(Duration::from_millis(150));
    for number in 1..=4 {
        hand_in(payout(&format!("00000000000000a{number}"), 7, 5000));
    }
    // The message on which the plug-in hangs.
    hand_in(payout("00000000000000b0", 8, 5000));
    sleep(Duration::from_millis(300));
    let ready = get(config.listen, "/ready");
    record(&format!("GET /ready: {}", ready.map_or("no answer in 1 s".into(), |status| status.to_string())));
    if taken.len() < 5 {
        finish(2, "the first messages were not taken on");
    }
    let last = taken.iter().map(|(_, up)| *up).fold(0.0, f64::max);
    sleep_until(last + LOST_AFTER_S + 0.2);
    daemon.record_log(12);
    let delivered: Vec<CallSeen> = busy.calls().into_iter().chain(other.calls()).filter(|c| c.status == 200).collect();
    let notices = discovery.notices();
    let mut lost = 0;
    for (id, up) in &taken {
        let is_delivered = delivered.iter().any(|c| c.id == *id && c.answered_s <= up + LOST_AFTER_S);
        let is_ended = notices.iter().any(|(at, name, _)| name == id && *at <= up + LOST_AFTER_S);
        if !is_delivered && !is_ended {
            lost += 1;
            record(&format!("{id}: taken on, and neither delivered nor ended 300 ms after its time"));
        }
    }
    match lost {
        0 => finish(0, "held: each message that was taken on has its end"),
        n => finish(1, &format!("broken: {n} of {} messages that were taken on have no end", taken.len())),
    }
}

// ---- An AS2 partner repeats a message whose receipt was lost.

/// The partner is down for so long after the cut (BRIEF, "Incident record": partners refuse connections for up to 21 s) ...
const PARTNER_DOWN_S: f64 = 21.0;
/// ... and sends the message without a receipt again so long after its return.
const REPEAT_AFTER_S: f64 = PARTNER_DOWN_S + 3.0;

fn as2_repeat() -> ! {
    let bank = Endpoint::start("s-7 (partner 7)", |_, _| served());
    let discovery = Discovery::start("jhb-dc1", vec![Listed::ready("s-7", bank.address, 7, "big-directory", 20.0)]);
    let front = free_address();
    let keys = repository(&std::env::var("KEYS").unwrap_or_default());
    let file = folder().join("as2.json");
    let key = |name: &str| keys.join(name).display().to_string();
    let text = format!(
        r#"{{"enabled":true,"listen":"{front}","name":"head-office","key":"{}","certificate":"{}","receipt_url":"http://{front}/receipts","partners":[{{"name":"bank","certificate":"{}","class":"creator-payout","tenant":"gauteng-central","forward_to":7}}]}}"#,
        key("us.key"), key("us.pem"), key("bank.pem")
    );
    fs::write(&file, text).expect("the AS2 settings");
    let mut config = head_office_daemon(&discovery, head_office(&HEAD_OFFICE_CLASSES));
    config.env.push(("MICALADDER_AS2".into(), file.display().to_string()));
    let mut daemon = Daemon::start(&config, "n1", None);
    daemon.wait_ready(START_TIMEOUT);
    let body = fs::read(keys.join("message.body")).expect("the signed message");
    let content_type = fs::read_to_string(keys.join("message.type")).expect("its content type");
    // Hands the message in; returns whether the partner got its receipt.
    let hand_in = |cut: bool| -> bool {
        let Ok(mut socket) = TcpStream::connect(front) else { finish(2, "the AS2 front does not listen") };
        let head = format!(
            "POST /as2 HTTP/1.1\r\nHost: head-office\r\nAS2-Version: 1.2\r\nAS2-From: bank\r\nAS2-To: head-office\r\nMessage-ID: <payout-1@bank>\r\nMIME-Version: 1.0\r\nSubject: payout\r\nDisposition-Notification-To: bank\r\nDisposition-Notification-Options: signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            content_type.trim(), body.len()
        );
        socket.write_all(head.as_bytes()).and_then(|()| socket.write_all(&body)).expect("the message is sent");
        let mut reader = BufReader::new(socket);
        let Some(answer) = read_message(&mut reader) else { finish(2, "the AS2 front gave no answer") };
        let receipt = String::from_utf8_lossy(&answer.body).into_owned();
        let disposition = receipt.lines().find(|line| line.starts_with("Disposition:")).unwrap_or("none").to_string();
        let fate = if cut { "lost on the way: the connection is cut" } else { "read by the partner" };
        record(&format!("partner: <payout-1@bank> handed in; status {}, receipt \"{}\", {fate}", answer.status(), disposition.trim()));
        if answer.status() != 200 {
            finish(2, "the AS2 front did not take the message on");
        }
        !cut
    };
    let has_receipt = hand_in(trouble());
    let first = now_s();
    // The platform's own clients go on meanwhile, as on any day.
    let mut client = Client::new(config.listen);
    let mut number = 0;
    let mut traffic = |until: f64| {
        while now_s() < until {
            number += 1;
            client.hand_in(&payout(&format!("0000000000000d{number:02x}"), 7, 20_000));
            sleep(Duration::from_secs(1));
        }
    };
    traffic(first + REPEAT_AFTER_S);
    if !has_receipt {
        hand_in(false);
    }
    traffic(first + REPEAT_AFTER_S + 3.0);
    daemon.record_log(12);
    let calls = bank.calls();
    let ran = calls.iter().filter(|call| call.status == 200 && call.body.contains("payout 1: 250.00")).count();
    match ran {
        0 => finish(2, "the payout did not run at all"),
        1 => finish(0, "held: the payout ran once"),
        n => finish(1, &format!("broken: the payout of one Message-ID ran {n} times")),
    }
}

// ---- Two new versions under load, while a told wait is in force.

/// The wait that the partner tells while it is shut (BRIEF: shut for 7.9 to 21 s; told until it opens).
const SHUT_S: f64 = 15.0;

fn two_upgrades() -> ! {
    let partner = Endpoint::start("s-7 (partner 7)", |_, number| match number {
        0 => Reply::Status(429, format!("Retry-After: {SHUT_S:.1}\r\n"), Duration::from_millis(20)),
        _ => served(),
    });
    let other = Endpoint::start("s-8 (partner 8)", |_, _| served());
    let discovery = Discovery::start(
        "jhb-dc1",
        vec![
            Listed::ready("s-7", partner.address, 7, "big-directory", 20.0),
            Listed::ready("s-8", other.address, 8, "big-directory", 20.0),
        ],
    );
    let config = head_office_daemon(&discovery, head_office(&HEAD_OFFICE_CLASSES));
    let mut current = Daemon::start(&config, "version-1", Some(free_address()));
    current.wait_ready(START_TIMEOUT);
    let mut client = Client::new(config.listen);
    let mut hand_in = |name: String, dest: u64| {
        client.hand_in(&HandIn { class: "stats-push".into(), deadline_ms: 16_000, ..payout(&name, dest, 0) })
    };
    hand_in("0000000000000a00".into(), 7);
    sleep(Duration::from_millis(200));
    let Some(first) = partner.calls().into_iter().find(|call| call.status == 429) else {
        finish(2, "the first message did not reach the partner");
    };
    let (told, over) = (first.answered_s, first.answered_s + SHUT_S);
    let mut sent = 0;
    let mut traffic = |until: f64, hand_in: &mut dyn FnMut(String, u64) -> Option<u16>| {
        while now_s() < until {
            sent += 1;
            hand_in(format!("0000000000000b{sent:02x}"), if sent % 2 == 0 { 7 } else { 8 });
            sleep(Duration::from_millis(250));
        }
    };
    traffic(told + 1.5, &mut hand_in);
    if trouble() {
        for version in 2..=3 {
            let mut next = Daemon::start(&config, &format!("version-{version}"), Some(free_address()));
            next.wait_ready(Duration::from_secs(6));
            current.signal(SIGTERM);
            current.wait_end(Duration::from_millis(3700));
            current.record_log(4);
            current = next;
            traffic(now_s() + 1.0, &mut hand_in);
        }
    }
    traffic(told + SHUT_S - 1.0, &mut hand_in);
    sleep_until(over + 3.0);
    current.record_log(8);
    let calls = partner.calls();
    let early: Vec<&CallSeen> = calls.iter().filter(|c| c.first_byte_s > told + WAIT_SLACK_S && c.first_byte_s < over).collect();
    if !calls.iter().any(|call| call.status == 200) {
        finish(2, "nothing was sent to the partner after the wait");
    }
    match early.first() {
        None => finish(0, "held: nothing was sent to the partner until the wait was over"),
        Some(call) => finish(
            1,
            &format!("broken: {} calls during the wait, the first {:.1} s before its end", early.len(), over - call.first_byte_s),
        ),
    }
}

// ---- The order of the classes changes with a restart.

fn class_order() -> ! {
    let partner = Endpoint::start("s-7 (partner 7)", |_, number| match number {
        0 => Reply::Hang,
        _ => served(),
    });
    let discovery = Discovery::start("jhb-dc1", vec![Listed::ready("s-7", partner.address, 7, "big-directory", 20.0)]);
    let config = head_office_daemon(&discovery, head_office(&HEAD_OFFICE_CLASSES));
    let mut daemon = Daemon::start(&config, "n1", None);
    daemon.wait_ready(START_TIMEOUT);
    let mut client = Client::new(config.listen);
    if client.hand_in(&payout("00000000000000c1", 7, 20_000)) != Some(202) {
        finish(2, "the payout was not taken on");
    }
    sleep(Duration::from_millis(800));
    if partner.calls().len() != 1 {
        finish(2, "the payout did not reach the partner");
    }
    // A planned restart puts the new settings in force.
    daemon.signal(SIGTERM);
    daemon.wait_end(Duration::from_millis(3700));
    sleep(Duration::from_millis(600));
    // A new class stands first in the settings from now on.
    let new_class = r#"{"name":"chapter-art","aimNs":4000000000,"deadlineNs":16000000000,"effect":"repeatable","group":"all","lateShare":0.5,"points":1.0,"streamed":false,"windowNs":5000000000}"#;
    let mut classes = HEAD_OFFICE_CLASSES.to_vec();
    if trouble() {
        classes.insert(0, new_class);
    }
    let restarted = DaemonConfig { settings: head_office(&classes), ..config };
    let mut daemon = Daemon::start(&restarted, "n1-again", None);
    daemon.wait_ready(START_TIMEOUT);
    sleep(Duration::from_secs(4));
    daemon.record_log(12);
    let calls = partner.calls().iter().filter(|call| call.id == "00000000000000c1").count();
    match calls {
        1 => finish(0, "held: the payout was sent once"),
        n => finish(1, &format!("broken: the payout was sent {n} times, the first of which may have run")),
    }
}

// ---- A new configuration, then a new version that dies.

fn old_discovery() -> ! {
    // TROUBLE=reload and TROUBLE=version leave out one half of the trouble.
    let part = std::env::var("TROUBLE").unwrap_or_default();
    let (reloads, dies) = (trouble() && part != "version", trouble() && part != "reload");
    let shut = Endpoint::start("s-7 (partner 7)", |_, _| Reply::Status(503, String::new(), Duration::from_millis(20)));
    let first = Discovery::start("jhb-dc1", vec![Listed::ready("s-7", shut.address, 7, "big-directory", 20.0)]);
    let mut config = head_office_daemon(&first, head_office(&HEAD_OFFICE_CLASSES));
    let mut old = Daemon::start(&config, "version-1", Some(free_address()));
    old.wait_ready(START_TIMEOUT);
    let mut client = Client::new(config.listen);
    let mut taken: Vec<(String, f64)> = Vec::new();
    let mut number = 0;
    let mut hand_in = |taken: &mut Vec<(String, f64)>| {
        number += 1;
        let (message, sent) = (payout(&format!("0000000000000e{number:02x}"), 7, 2000), now_s());
        if client.hand_in(&message) == Some(202) {
            taken.push((message.id, sent + 2.0));
        }
        sleep(Duration::from_millis(200));
    };
    sleep(Duration::from_millis(1200));
    if reloads {
        let second = first.moved();
        old.replace_discovery(&config, second.address);
        config.discovery = second.address;
        old.signal(SIGHUP);
        sleep(Duration::from_millis(1500));
        first.close();
    }
    sleep(Duration::from_millis(500));
    (0..5).for_each(|_| hand_in(&mut taken));
    sleep(Duration::from_millis(2500));
    let before = taken.len();
    if dies {
        let mut new = Daemon::start(&config, "version-2", Some(free_address()));
        new.wait_ready(Duration::from_secs(6));
        sleep(Duration::from_millis(500));
        new.signal(SIGKILL);
        new.wait_end(Duration::from_secs(1));
        new.record_log(6);
        old.wait_ready(Duration::from_secs(10));
    }
    // No notice is overdue until 1.5 s after it is ready again.
    sleep(Duration::from_millis(1500));
    (0..10).for_each(|_| hand_in(&mut taken));
    let last = taken.iter().map(|(_, up)| *up).fold(0.0, f64::max);
    sleep_until(last + LOST_AFTER_S + 3.0);
    old.record_log(12);
    let notices = first.notices();
    let is_lost = |(id, up): &&(String, f64)| !notices.iter().any(|(at, name, _)| name == id && *at <= up + LOST_AFTER_S);
    let lost_before = taken[..before].iter().filter(is_lost).count();
    let lost = taken[before..].iter().filter(is_lost).count();
    let never = taken[before..].iter().filter(|(id, _)| !notices.iter().any(|(_, name, _)| name == id)).count();
    record(&format!("before the new version: {before} taken on, {lost_before} without their end; after it: {} taken on, {lost} without their end in time, {never} never", taken.len() - before));
    if taken.len() - before < 3 || lost_before > 0 {
        finish(2, "too few messages were taken on, or the first ones had no end");
    }
    match lost {
        0 => finish(0, "held: each message that was taken on has its end"),
        n => finish(1, &format!("broken: {n} of {} messages have no end, {never} of them not even 3 s later", taken.len() - before)),
    }
}

// ---- Spoilt answers.

/// Forms of spoilt answers (LATER, "Spoilt answers"): noise, a head that never ends, lengths that do not fit, 3 GB that keep coming.
const SPOILT: [(&str, bool); 5] = [
    ("\u{1}\u{2} noise \r\n\r\n", false),
    ("HTTP/1.1 500 Internal Server Error\r\nX-A: b", false),
    ("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 40\r\n\r\nshort", false),
    ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 40\r\n\r\nshort", false),
    ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3000000000\r\n\r\n", true),
];
/// One of so many answers is spoilt.
const SPOILT_SHARE: usize = 4;
const PAYOUTS: usize = 40;

fn spoilt_refusal() -> ! {
    let partner = Endpoint::start("s-7 (partner 7)", |_, number| match number % SPOILT_SHARE {
        3 if trouble() => {
            let (text, keeps_coming) = SPOILT[number / SPOILT_SHARE % SPOILT.len()];
            Reply::Spoilt(text.to_string(), keeps_coming)
        }
        _ => served(),
    });
    let discovery = Discovery::start("jhb-dc1", vec![Listed::ready("s-7", partner.address, 7, "big-directory", 20.0)]);
    let config = head_office_daemon(&discovery, head_office(&HEAD_OFFICE_CLASSES));
    let mut daemon = Daemon::start(&config, "n1", None);
    daemon.wait_ready(START_TIMEOUT);
    let mut client = Client::new(config.listen);
    let mut taken = Vec::new();
    for number in 0..PAYOUTS {
        let message = payout(&format!("0000000000000f{number:02x}"), 7, 20_000);
        if client.hand_in(&message) == Some(202) {
            taken.push(message.id);
        }
        sleep(Duration::from_millis(250));
    }
    sleep(Duration::from_secs(21));
    daemon.record_log(12);
    let calls = partner.calls();
    let twice: Vec<&String> = taken.iter().filter(|id| calls.iter().filter(|c| c.id == **id).count() > 1).collect();
    for id in &twice {
        let times: Vec<String> = calls.iter().filter(|c| c.id == **id).map(|c| format!("{:.3}", c.at_s)).collect();
        record(&format!("{id} was sent at {}", times.join(", ")));
    }
    if taken.len() < PAYOUTS / 2 || calls.is_empty() {
        finish(2, "too few payouts were taken on");
    }
    match twice.len() {
        0 => finish(0, &format!("held: each of {} payouts was sent once at most", taken.len())),
        n => finish(1, &format!("broken: {n} of {} payouts were sent again after they had run", taken.len())),
    }
}

// ---- An AS2 partner that fails with 410.

fn as2_gone() -> ! {
    let keys = repository(&std::env::var("KEYS").unwrap_or_default());
    let receipt = fs::read_to_string(keys.join("receipt.body")).expect("the signed receipt");
    let signed = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: multipart/signed; protocol=\"application/pkcs7-signature\"; micalg=sha-256; boundary=\"s\"\r\nContent-Length: {}\r\n\r\n{receipt}",
        receipt.len()
    );
    let gone = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n".to_string();
    let bank = Endpoint::start("bank", move |_, _| Reply::Text(if trouble() { gone.clone() } else { signed.clone() }));
    let other = Endpoint::start("s-7 (partner 7)", |_, _| served());
    let discovery = Discovery::start("jhb-dc1", vec![Listed::ready("s-7", other.address, 7, "big-directory", 20.0)]);
    let front = free_address();
    let file = folder().join("as2.json");
    let key = |name: &str| keys.join(name).display().to_string();
    let text = format!(
        r#"{{"enabled":true,"listen":"{front}","name":"head-office","key":"{}","certificate":"{}","receipt_url":"http://{front}/receipts","partners":[{{"name":"bank","certificate":"{}","url":"http://{}/as2","dest":8,"rate":10.0,"receipt":"sync"}}]}}"#,
        key("us.key"), key("us.pem"), key("bank.pem"), bank.address
    );
    fs::write(&file, text).expect("the AS2 settings");
    let mut config = head_office_daemon(&discovery, head_office(&HEAD_OFFICE_CLASSES));
    config.env.push(("MICALADDER_AS2".into(), file.display().to_string()));
    let mut daemon = Daemon::start(&config, "n1", None);
    daemon.wait_ready(START_TIMEOUT);
    let mut client = Client::new(config.listen);
    if client.hand_in(&payout("00000000000000f2", 8, 5_000)) != Some(202) {
        finish(2, "the payout was not taken on");
    }
    sleep(Duration::from_secs(8));
    daemon.record_log(12);
    let ended = discovery.notices().iter().any(|(_, id, _)| id == "00000000000000f2");
    match (bank.calls().len(), trouble(), ended) {
        (0, _, _) => finish(2, "the payout did not reach the bank"),
        (n, false, false) => finish(0, &format!("held: {n} calls, the bank's receipt came")),
        (n, _, true) => finish(0, &format!("held: {n} calls, and a notice")),
        (n, true, false) => finish(1, &format!("broken: {n} calls, no receipt and no notice 3 s after the time of the payout")),
    }
}
