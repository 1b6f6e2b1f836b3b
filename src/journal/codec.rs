//! Encoding of records in the journal and in the file `late`. The format is frozen, because journals of earlier versions must
//! stay readable; `tests/journal_compatibility.rs` checks it against such a journal.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of the payload, little-endian |
//! | 4 | CRC-32 of the payload, little-endian |
//! | rest | payload: a one-byte tag, then the fields of that kind of record |
//!
//! Numbers are 8 bytes little-endian, flags one byte. Texts and bodies are preceded by their length in 4 bytes,
//! little-endian.
use super::{AcceptedMessage, Completion, LateOutcome, Record};
use bytes::Bytes;

/// Size of the header before each payload: the length and the checksum.
const HEADER_BYTES: usize = 8;
/// Size of the length field at the start of the header.
const LENGTH_BYTES: usize = 4;

/// Tags of the kinds of record: the first byte of a payload.
mod tag {
    pub(super) const ACCEPTED: u8 = 1;
    pub(super) const ATTEMPT_STARTED: u8 = 2;
    pub(super) const ATTEMPT_ENDED: u8 = 3;
    pub(super) const COMPLETED: u8 = 4;
    pub(super) const CALLBACK_ACKNOWLEDGED: u8 = 5;
    pub(super) const DEDUPLICATED: u8 = 6;
    pub(super) const SUSPENDED: u8 = 7;
    pub(super) const LATE_OUTCOME: u8 = 8;
    pub(super) const OBSERVED: u8 = 9;
}

/// Codes of a [`Completion`](super::Completion).
mod completion_code {
    pub(super) const DELIVERED: u8 = 0;
    pub(super) const WITHDRAWN: u8 = 1;
    pub(super) const UNDELIVERABLE: u8 = 2;
    pub(super) const DEFERRED: u8 = 3;
    pub(super) const DEFERRED_WITH_WAIT: u8 = 4;
}

/// Codes of a [`LateOutcome`](super::LateOutcome).
mod late_outcome_code {
    pub(super) const DELIVERED: u8 = 0;
    pub(super) const FINAL: u8 = 1;
    pub(super) const MAY_HAVE_RUN: u8 = 2;
    pub(super) const NEVER_RAN: u8 = 3;
}

/// Returns the size of a record in the journal, in bytes.
pub fn encoded_len(record: &Record) -> u64 {
    encode(record).len() as u64
}

/// Encodes a record with its header.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    let mut encoder = Encoder(vec![0; HEADER_BYTES]);
    encode_payload(&mut encoder, record);
    let mut bytes = encoder.0;
    let length = (bytes.len() - HEADER_BYTES) as u32;
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes[LENGTH_BYTES..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

fn encode_payload(encoder: &mut Encoder, record: &Record) {
    match record {
        Record::Accepted(message) => encode_accepted(encoder.byte(tag::ACCEPTED), message),
        Record::AttemptStarted { id, at, zone, earlier_attempts } => {
            // One number encodes both fields: versions older than `earlier_attempts` read the lower half only.
            let zone_and_earlier = u64::from(*zone) | u64::from(*earlier_attempts) << 32;
            encoder.byte(tag::ATTEMPT_STARTED).number(*id).number(*at).number(zone_and_earlier);
        }
        Record::AttemptEnded { id, may_have_run } => {
            encoder.byte(tag::ATTEMPT_ENDED).number(*id).flag(*may_have_run);
        }
        Record::Completed { id, at, completion } => {
            let (code, wait_ms) = completion_to_code(*completion);
            encoder.byte(tag::COMPLETED).number(*id).number(*at).byte(code).number(wait_ms);
        }
        Record::CallbackAcknowledged { id } => {
            encoder.byte(tag::CALLBACK_ACKNOWLEDGED).number(*id);
        }
        Record::Deduplicated { name, idempotency_key, until, delivered } => {
            encoder.byte(tag::DEDUPLICATED).text(name).text(idempotency_key);
            encoder.number(*until).flag(*delivered);
        }
        Record::Suspended { uid, suspended } => {
            encoder.byte(tag::SUSPENDED).text(uid).flag(*suspended);
        }
        Record::LateOutcome { id, at, outcome } => {
            encoder.byte(tag::LATE_OUTCOME).number(*id).number(*at).byte(late_outcome_to_code(*outcome));
        }
        Record::Observed { uid, at, kind, values: [first, second] } => {
            encoder.byte(tag::OBSERVED).text(uid).number(*at).byte(*kind).number(*first).number(*second);
        }
    }
}

fn encode_accepted(encoder: &mut Encoder, message: &AcceptedMessage) {
    encoder.number(message.id).text(&message.name).text(&message.origin);
    encoder.number(message.class.into()).number(message.tenant.into());
    encoder.flag(message.key.is_some()).number(message.key.unwrap_or(0));
    encoder.number(message.dest).number(message.deadline);
    encoder.text(&message.idempotency_key).bytes(&message.body);
}

/// Returns the code of a completion, and its wait in milliseconds.
fn completion_to_code(completion: Completion) -> (u8, u64) {
    match completion {
        Completion::Delivered => (completion_code::DELIVERED, 0),
        Completion::Withdrawn => (completion_code::WITHDRAWN, 0),
        Completion::Undeliverable => (completion_code::UNDELIVERABLE, 0),
        Completion::Deferred(None) => (completion_code::DEFERRED, 0),
        Completion::Deferred(Some(wait_ms)) => (completion_code::DEFERRED_WITH_WAIT, wait_ms),
    }
}

fn completion_from_code(code: u8, wait_ms: u64) -> Option<Completion> {
    match code {
        completion_code::DELIVERED => Some(Completion::Delivered),
        completion_code::WITHDRAWN => Some(Completion::Withdrawn),
        completion_code::UNDELIVERABLE => Some(Completion::Undeliverable),
        completion_code::DEFERRED => Some(Completion::Deferred(None)),
        completion_code::DEFERRED_WITH_WAIT => Some(Completion::Deferred(Some(wait_ms))),
        _ => None,
    }
}

fn late_outcome_to_code(outcome: LateOutcome) -> u8 {
    match outcome {
        LateOutcome::Delivered => late_outcome_code::DELIVERED,
        LateOutcome::Final => late_outcome_code::FINAL,
        LateOutcome::MayHaveRun => late_outcome_code::MAY_HAVE_RUN,
        LateOutcome::NeverRan => late_outcome_code::NEVER_RAN,
    }
}

fn late_outcome_from_code(code: u8) -> Option<LateOutcome> {
    match code {
        late_outcome_code::DELIVERED => Some(LateOutcome::Delivered),
        late_outcome_code::FINAL => Some(LateOutcome::Final),
        late_outcome_code::MAY_HAVE_RUN => Some(LateOutcome::MayHaveRun),
        late_outcome_code::NEVER_RAN => Some(LateOutcome::NeverRan),
        _ => None,
    }
}

/// Contents of a log up to its first incomplete or corrupt record.
pub(crate) struct Replay {
    /// The records, in order.
    pub(crate) records: Vec<Record>,
    /// Length of these records in bytes, from the start of the log.
    pub(crate) length: usize,
}

/// Reads a log up to the first incomplete or corrupt record. Data behind it cannot be distinguished from garbage.
pub(crate) fn replay(log: &[u8]) -> Replay {
    let mut replay = Replay { records: Vec::new(), length: 0 };
    while let Some(decoded) = decode_at(log, replay.length) {
        replay.records.push(decoded.record);
        replay.length = decoded.end;
    }
    replay
}

/// A record, and the position of the next one.
struct Decoded {
    record: Record,
    end: usize,
}

fn decode_at(log: &[u8], start: usize) -> Option<Decoded> {
    let length = read_u32(log, start)? as usize;
    let checksum = read_u32(log, start + LENGTH_BYTES)?;
    let payload_start = start.checked_add(HEADER_BYTES)?;
    let end = payload_start.checked_add(length)?;
    let payload = log.get(payload_start..end)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let record = decode_payload(Decoder(payload))?;
    Some(Decoded { record, end })
}

fn read_u32(log: &[u8], start: usize) -> Option<u32> {
    let bytes = log.get(start..start + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn decode_payload(mut decoder: Decoder) -> Option<Record> {
    match decoder.byte()? {
        tag::ACCEPTED => decode_accepted(decoder).map(Record::Accepted),
        tag::ATTEMPT_STARTED => decode_attempt_started(decoder),
        tag::ATTEMPT_ENDED => {
            Some(Record::AttemptEnded { id: decoder.number()?, may_have_run: decoder.flag()? })
        }
        tag::COMPLETED => decode_completed(decoder),
        tag::CALLBACK_ACKNOWLEDGED => Some(Record::CallbackAcknowledged { id: decoder.number()? }),
        tag::DEDUPLICATED => Some(Record::Deduplicated {
            name: decoder.text()?,
            idempotency_key: decoder.text()?,
            until: decoder.number()?,
            delivered: decoder.flag()?,
        }),
        tag::SUSPENDED => Some(Record::Suspended { uid: decoder.text()?, suspended: decoder.flag()? }),
        tag::LATE_OUTCOME => Some(Record::LateOutcome {
            id: decoder.number()?,
            at: decoder.number()?,
            outcome: late_outcome_from_code(decoder.byte()?)?,
        }),
        tag::OBSERVED => Some(Record::Observed {
            uid: decoder.text()?,
            at: decoder.number()?,
            kind: decoder.byte()?,
            values: [decoder.number()?, decoder.number()?],
        }),
        _ => None,
    }
}

fn decode_accepted(mut decoder: Decoder) -> Option<AcceptedMessage> {
    let id = decoder.number()?;
    let name = decoder.text()?;
    let origin = decoder.text()?;
    let class = decoder.number()? as u32;
    let tenant = decoder.number()? as u32;
    let has_key = decoder.flag()?;
    let key = decoder.number()?;
    Some(AcceptedMessage {
        id,
        name,
        origin,
        class,
        tenant,
        key: has_key.then_some(key),
        dest: decoder.number()?,
        deadline: decoder.number()?,
        idempotency_key: decoder.text()?,
        body: Bytes::copy_from_slice(decoder.bytes()?),
    })
}

fn decode_attempt_started(mut decoder: Decoder) -> Option<Record> {
    let id = decoder.number()?;
    let at = decoder.number()?;
    let zone_and_earlier = decoder.number()?;
    let zone = zone_and_earlier as u32;
    let earlier_attempts = (zone_and_earlier >> 32) as u32;
    Some(Record::AttemptStarted { id, at, zone, earlier_attempts })
}

fn decode_completed(mut decoder: Decoder) -> Option<Record> {
    let id = decoder.number()?;
    let at = decoder.number()?;
    let code = decoder.byte()?;
    let wait_ms = decoder.number()?;
    let completion = completion_from_code(code, wait_ms)?;
    Some(Record::Completed { id, at, completion })
}

/// Appends the fields of a payload.
struct Encoder(Vec<u8>);

impl Encoder {
    fn byte(&mut self, byte: u8) -> &mut Self {
        self.0.push(byte);
        self
    }
    fn flag(&mut self, flag: bool) -> &mut Self {
        self.byte(flag.into())
    }
    fn number(&mut self, number: u64) -> &mut Self {
        self.0.extend(number.to_le_bytes());
        self
    }
    fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.0.extend((bytes.len() as u32).to_le_bytes());
        self.0.extend(bytes);
        self
    }
    fn text(&mut self, text: &str) -> &mut Self {
        self.bytes(text.as_bytes())
    }
}

/// Reads the fields of a payload one by one. Methods return `None` if the payload ends too early.
struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    fn read(&mut self, length: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(bytes)
    }
    fn byte(&mut self) -> Option<u8> {
        self.read(1).map(|bytes| bytes[0])
    }
    fn flag(&mut self) -> Option<bool> {
        self.byte().map(|byte| byte == 1)
    }
    fn number(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.read(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = u32::from_le_bytes(self.read(4)?.try_into().ok()?);
        self.read(length as usize)
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
}
