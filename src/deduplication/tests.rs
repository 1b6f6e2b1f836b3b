//! Tests of the bounded part of the cache for messages with lasting names.
use super::*;

const FAR: Nanos = Nanos(1_000_000_000_000);

fn cache(lasting: usize) -> DeduplicationCache {
    let mut cache = DeduplicationCache::default();
    for n in 0..lasting {
        cache.insert(format!("as2:bank:{n:04}"), format!("as2:bank:{n:04}"), FAR + n as f64, true);
    }
    cache.insert("m1".into(), "key-m1".into(), Nanos(1), true);
    cache
}

#[test]
fn the_oldest_messages_with_lasting_names_are_evicted_and_others_are_not() {
    let mut cache = cache(100);
    let (before, bytes) =
        (cache.journal_bytes(), Journal::deduplicated_bytes("as2:bank:0000", "as2:bank:0000"));
    assert_eq!(cache.evict_lasting(100 * bytes, u64::MAX), 0);
    assert_eq!(cache.evict_lasting(60 * bytes, u64::MAX), 40);
    assert_eq!(cache.journal_bytes(), before - 40 * bytes);
    assert_eq!(cache.get("as2:bank:0039", "as2:bank:0039"), None);
    assert_eq!(cache.get("as2:bank:0040", "as2:bank:0040"), Some(PriorResult::Delivered));
    assert_eq!(cache.get("m1", ""), Some(PriorResult::Delivered));
    assert_eq!(cache.evict_lasting(u64::MAX, 0), 60);
    assert_eq!(cache.get("m1", ""), Some(PriorResult::Delivered));
}

#[test]
fn an_expired_message_with_a_lasting_name_frees_its_share() {
    let mut cache = cache(10);
    cache.expire(FAR + 1000.0);
    assert_eq!((cache.journal_bytes(), cache.lasting_journal_bytes), (0, 0));
    assert_eq!(cache.evict_lasting(0, 0), 0);
}
