//! Compatibility with a state folder written by an earlier version (commit b204e6b): it is read and continued, and equal content
//! is written as the same bytes.
mod stand;
use micaladder::fleet::member::Member;
use micaladder::fleet::snapshot::SnapshotStore;
use micaladder::journal::{AcceptedMessage, Completion, Folder, Journal, LateOutcome, Record};
use micaladder::takeover::SharedFolder;
use rstest::rstest;
use stand::*;
use std::path::{Path, PathBuf};

/// Size limit of the folder in bytes, as it was set when the fixture was written.
const CAPACITY: u64 = 3_000_000;
/// Start of the recorded process: 2026-12-01, 00:00 UTC, in Unix nanoseconds.
const STARTED: u64 = 1_796_083_200_000_000_000;
/// 2100-01-01, 00:00 UTC, in Unix nanoseconds: late enough that a daemon still delivers the pending messages.
const DEADLINE: u64 = 4_102_444_800_000_000_000;

fn fixture(part: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/folder-b204e6b").join(part)
}

/// Copies a part of the fixture to a temporary folder, so that a test may change it.
fn temporary_copy(part: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    copy_files(part, folder.path());
    folder
}

fn copy_files(part: &str, to: &Path) {
    for entry in std::fs::read_dir(fixture(part)).expect("the fixture") {
        let from = entry.expect("an entry").path();
        let name = from.file_name().expect("a file name");
        std::fs::copy(&from, to.join(name)).expect("copied");
    }
}

fn read_file(folder: &Path, file: &str) -> Vec<u8> {
    std::fs::read(folder.join(file)).expect("a file")
}

fn accepted(id: u64, class: u32, name: &str) -> AcceptedMessage {
    AcceptedMessage {
        id,
        name: name.into(),
        origin: String::new(),
        class,
        tenant: 0,
        key: None,
        dest: 7,
        deadline: DEADLINE,
        idempotency_key: String::new(),
        body: format!("body of {name}: süß ✓").into_bytes().into(),
    }
}

fn long_body() -> Vec<u8> {
    (0..20_000u32).map(|n| (n * 7 % 251) as u8).collect()
}

/// The records of the fixture's journal, with each kind of journal record.
fn state_records() -> Vec<Record> {
    let started = |id, at, earlier_attempts| Record::AttemptStarted { id, at, zone: 0, earlier_attempts };
    let completed = |id, completion| Record::Completed { id, at: STARTED + 5_000_000_000, completion };
    vec![
        Record::Accepted(AcceptedMessage { body: Vec::new().into(), ..accepted(1, 1, "pending-empty") }),
        Record::Accepted(AcceptedMessage {
            key: Some(0xdead_beef_0123_4567),
            idempotency_key: "invoice-17".into(),
            body: long_body().into(),
            ..accepted(2, 0, "pending-long")
        }),
        Record::Accepted(accepted(3, 1, "retried")),
        started(3, STARTED, 0),
        Record::AttemptEnded { id: 3, may_have_run: false },
        started(3, STARTED + 1_000_000_000, 2),
        Record::AttemptEnded { id: 3, may_have_run: true },
        Record::Accepted(accepted(4, 2, "late-delivered")),
        started(4, STARTED + 2_000_000_000, 1),
        Record::Accepted(accepted(5, 2, "late-never-ran")),
        started(5, STARTED + 2_000_000_001, 0),
        Record::Accepted(accepted(6, 2, "late-may-have-run")),
        started(6, STARTED + 2_000_000_002, 0),
        Record::Accepted(accepted(7, 2, "late-final")),
        started(7, STARTED + 2_000_000_003, 0),
        Record::Accepted(accepted(10, 2, "delivered")),
        completed(10, Completion::Delivered),
        Record::Accepted(accepted(11, 2, "withdrawn")),
        completed(11, Completion::Withdrawn),
        Record::Accepted(accepted(12, 2, "undeliverable")),
        completed(12, Completion::Undeliverable),
        Record::Accepted(accepted(13, 2, "deferred")),
        completed(13, Completion::Deferred(None)),
        Record::Accepted(accepted(14, 2, "deferred-again")),
        completed(14, Completion::Deferred(Some(1_500))),
        Record::Accepted(accepted(15, 2, "undeliverable-heard")),
        completed(15, Completion::Undeliverable),
        Record::CallbackAcknowledged { id: 15 },
        Record::Deduplicated {
            name: "past-delivered".into(),
            idempotency_key: "invoice-16".into(),
            until: DEADLINE,
            delivered: true,
        },
        Record::Deduplicated {
            name: "past-undeliverable".into(),
            idempotency_key: String::new(),
            until: DEADLINE,
            delivered: false,
        },
        Record::Suspended { uid: "uid-out".into(), suspended: true },
        Record::Suspended { uid: "uid-back".into(), suspended: true },
        Record::Suspended { uid: "uid-back".into(), suspended: false },
    ]
}

/// The records of the fixture's file `late`, with each kind of late outcome and of observation.
fn late_records() -> Vec<Record> {
    let late = |id, at, outcome| Record::LateOutcome { id, at, outcome };
    let observed =
        |kind, values| Record::Observed { uid: "7".into(), at: STARTED + 3_000_000_000, kind, values };
    vec![
        observed(0, [STARTED, 1]),
        observed(1, [STARTED, 0]),
        observed(2, [0.25f64.to_bits(), 0.0625f64.to_bits()]),
        observed(3, [STARTED + 4_000_000_000, 0]),
        observed(4, [12.5f64.to_bits(), 0]),
        observed(5, [8.0f64.to_bits(), 0]),
        late(4, STARTED + 2_000_000_000, LateOutcome::Delivered),
        late(5, STARTED + 2_000_000_001, LateOutcome::NeverRan),
        late(6, STARTED + 2_000_000_002, LateOutcome::MayHaveRun),
        late(7, STARTED + 2_000_000_003, LateOutcome::Final),
    ]
}

/// Records with each field at its limits and text of several scripts in each text field.
fn extreme_records() -> Vec<Record> {
    vec![
        Record::Accepted(AcceptedMessage {
            id: u64::MAX,
            name: "überweisung-ß-日本語-🦀".into(),
            origin: "bänk:ключ".into(),
            class: u32::MAX,
            tenant: u32::MAX,
            key: Some(0),
            dest: u64::MAX,
            deadline: u64::MAX,
            idempotency_key: "schlüssel-✓".into(),
            body: vec![0, 255, 13, 10, 0].into(),
        }),
        Record::Accepted(AcceptedMessage { key: Some(u64::MAX), name: String::new(), ..accepted(0, 0, "") }),
        Record::AttemptStarted { id: u64::MAX, at: u64::MAX, zone: u32::MAX, earlier_attempts: u32::MAX },
        Record::AttemptStarted { id: 0, at: 0, zone: 1, earlier_attempts: 0 },
        Record::AttemptEnded { id: 0, may_have_run: true },
        Record::Completed { id: u64::MAX, at: 0, completion: Completion::Deferred(Some(u64::MAX)) },
        Record::Completed { id: u64::MAX, at: 0, completion: Completion::Deferred(Some(0)) },
        Record::CallbackAcknowledged { id: 0 },
        Record::Deduplicated {
            name: "größe".into(),
            idempotency_key: "ключ".into(),
            until: u64::MAX,
            delivered: false,
        },
        Record::Suspended { uid: "узел-7".into(), suspended: true },
        Record::LateOutcome { id: u64::MAX, at: u64::MAX, outcome: LateOutcome::Final },
        Record::Observed { uid: String::new(), at: 0, kind: u8::MAX, values: [u64::MAX, 0] },
    ]
}

#[rstest]
#[case::state("state", state_records())]
#[case::extremes("extremes", extreme_records())]
fn an_old_journal_is_read_and_can_be_continued(#[case] part: &str, #[case] written: Vec<Record>) {
    let folder = temporary_copy(part);
    let (mut journal, records) = Journal::open(folder.path(), CAPACITY).expect("the journal opens");
    assert_eq!(records, written);
    let appended = Record::AttemptEnded { id: 3, may_have_run: true };
    journal.append(&appended).expect("appended");
    drop(journal);
    let (_, records) = Journal::open(folder.path(), CAPACITY).expect("the journal opens again");
    assert_eq!(records, [written, vec![appended]].concat());
    let old = read_file(&fixture(part), "journal");
    assert_eq!(read_file(folder.path(), "journal")[..old.len()], old[..], "the old records are unchanged");
}

#[rstest]
#[case::state("state", state_records())]
#[case::extremes("extremes", extreme_records())]
fn the_same_records_are_written_as_the_same_bytes(#[case] part: &str, #[case] records: Vec<Record>) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), CAPACITY).expect("the journal opens");
    records.iter().for_each(|record| journal.append(record).expect("appended"));
    assert!(read_file(folder.path(), "journal") == read_file(&fixture(part), "journal"), "appended");
    journal.compact(records.into_iter()).expect("compacted");
    assert!(read_file(folder.path(), "journal") == read_file(&fixture(part), "journal"), "compacted");
}

#[test]
fn an_old_journal_with_a_truncated_last_record_is_read_up_to_that_record() {
    let folder = temporary_copy("state");
    let old = read_file(folder.path(), "journal");
    std::fs::write(folder.path().join("journal"), &old[..old.len() - 1]).expect("written");
    let (_, records) = Journal::open(folder.path(), CAPACITY).expect("the journal opens");
    let written = state_records();
    assert_eq!(records, written[..written.len() - 1]);
}

#[test]
fn late_outcomes_are_read_and_written_as_the_same_bytes() {
    let open = |folder: &Path| SharedFolder::open(folder).expect("the folder");
    let read = temporary_copy("state");
    let mut reader = open(read.path()).open_late_outcomes().expect("the file");
    assert_eq!(reader.read(), (late_records(), true));
    // The writer uses another copy: a process that another test is forking inherits the reader's lock and keeps it until its
    // exec.
    let written = temporary_copy("state");
    let mut writer = open(written.path()).create_late_outcomes().expect("the lock");
    late_records().iter().for_each(|record| writer.append(record));
    assert_eq!(read_file(written.path(), "late"), read_file(&fixture("state"), "late"));
}

#[test]
fn a_fleet_snapshot_is_read_and_written_as_the_same_bytes() {
    let open = |folder: &Path| {
        let disk = Folder::open(folder).expect("the folder");
        SnapshotStore::open(Box::new(disk), CAPACITY)
    };
    let member = |name: &str, address: &str, incarnation| Member {
        address: address.parse().expect("an address"),
        name: name.into(),
        incarnation,
    };
    let members = [member("n1", "127.0.0.1:7001", 12), member("größe", "[::1]:7002", 1)];
    let agreed = ["n0", "n1", "größe"].map(String::from).into();
    let seconds = STARTED / 1_000_000_000;
    let old = temporary_copy("state");
    let mut snapshot = open(old.path());
    let seen: Vec<_> =
        snapshot.known_members().iter().map(|s| (s.name.as_str(), s.address, s.last_seen)).collect();
    assert_eq!(seen, members.each_ref().map(|m| (m.name.as_str(), m.address, seconds)));
    assert_eq!(snapshot.agreed_fleet(), &agreed);
    assert_eq!(snapshot.begin_incarnation(1), 5_001);
    let new = tempfile::tempdir().expect("a folder");
    let mut snapshot = open(new.path());
    snapshot.begin_incarnation(5_000);
    snapshot.record(&members, &agreed, seconds);
    assert_eq!(read_file(new.path(), "fleet"), read_file(&fixture("state"), "fleet"));
}

/// A daemon that starts on the old state folder delivers each pending message with its body, completes messages that the old
/// process had in flight by their late outcomes, sends the callbacks that were not acknowledged, and answers completed messages
/// from the deduplication cache.
#[test]
fn a_daemon_started_on_an_old_state_folder_continues_the_work_of_the_old_process() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = setup(&discovery, known).start();
    daemon.kill();
    copy_files("state", &daemon.folder.join("state"));
    daemon.restart();
    for id in ["pending-empty", "pending-long", "retried", "late-never-ran"] {
        endpoint.wait_request(id);
    }
    for id in ["undeliverable", "late-may-have-run"] {
        discovery.wait_text(&format!(r#"{{"id":"{id}","status":"undeliverable"}}"#));
    }
    discovery.wait_text(r#"{"id":"deferred","status":"deferred"}"#);
    discovery.wait_text(r#"{"id":"deferred-again","status":"deferred","again_ms":1500}"#);
    assert_eq!(daemon.submit("payout", "past-delivered"), 200);
    for id in
        ["late-delivered", "late-may-have-run", "late-final", "delivered", "withdrawn", "past-delivered"]
    {
        assert!(endpoint.received().iter().all(|h| h.request_id() != id), "{id} was sent again");
    }
    assert_eq!(discovery.count_distinct_bodies(r#""id":"undeliverable-heard""#), 0);
    let long = endpoint.wait_request("pending-long");
    assert_eq!(long.body, long_body());
}
