//! Compares the index of pending messages with a scan of all messages.
use super::*;
use crate::state::PendingMessage;
use proptest::prelude::*;

const SECOND: u64 = 1_000_000_000;

fn classes() -> Vec<Class> {
    let class = |latency_objective: u64, deadline: u64, late_weight_share| Class {
        latency_objective: Nanos(latency_objective * SECOND),
        deadline: Nanos(deadline * SECOND),
        priority_weight: 1.0 + latency_objective as f64,
        late_weight_share,
        effect: Effect::Idempotent,
        fifo_by_key: false,
    };
    vec![class(3, 24, 0.5), class(4, 16, 0.2), class(2, 20, 0.0)]
}

/// A message of the model that the index is compared with.
#[derive(Clone, Debug)]
struct Entry {
    class: usize,
    zone: Option<usize>,
    deadline: Nanos,
    unblocked: bool,
    eligible: bool,
    removed: bool,
}

fn entry() -> impl Strategy<Value = Entry> {
    let zone = prop_oneof![Just(None), Just(Some(0)), Just(Some(1))];
    let deadline = (0..30 * 8u64).prop_map(|eighths| Nanos(100 * SECOND + eighths * SECOND / 8));
    (0..3usize, zone, deadline, any::<bool>(), prop::bool::weighted(0.8), prop::bool::weighted(0.2)).prop_map(
        |(class, zone, deadline, unblocked, eligible, removed)| Entry {
            class,
            zone,
            deadline,
            unblocked,
            eligible,
            removed,
        },
    )
}

proptest! {
    #[test]
    fn candidates_of_the_index_match_a_scan_of_all_messages(
        all in prop::collection::vec(entry(), 0..40), wait in 0..40u64, halving in any::<bool>(),
    ) {
        let (classes, decay) = (classes(), if halving { ValueDecay::Halving } else { ValueDecay::Linear });
        let mut index = PendingIndex::default();
        for (n, entry) in all.iter().enumerate() {
            let group = GroupKey { class: entry.class, first_run_zone: entry.zone, attempts: 0 };
            index.insert(MessageId(n as u64), group, entry.deadline, false);
            if entry.unblocked {
                index.unblock(MessageId(n as u64));
            }
        }
        for (n, _) in all.iter().enumerate().filter(|(_, entry)| entry.removed) {
            index.remove(MessageId(n as u64));
        }
        let remaining = || all.iter().enumerate().filter(|(_, entry)| !entry.removed);
        prop_assert_eq!(index.len(), remaining().count());
        let value = |entry: &Entry, at| {
            let message =
                PendingMessage { class: entry.class, deadline: entry.deadline, ..PendingMessage::default() };
            message.value(&classes[entry.class], decay, at)
        };
        let (soon, later) = (Nanos(101 * SECOND), Nanos(101 * SECOND) + wait as f64);
        let loss = |n: usize| value(&all[n], soon) - value(&all[n], later);
        let points = |c: usize| [later, soon + (classes[c].deadline - classes[c].latency_objective)];
        let nearest = index.nearest(points, |id| all[id.0 as usize].eligible).map(|p| loss(p.id.0 as usize));
        let nearest = nearest.reduce(f64::max);
        let eligible = remaining().filter(|(_, entry)| entry.unblocked && entry.eligible);
        let scanned = eligible.map(|(n, _)| loss(n)).reduce(f64::max);
        prop_assert_eq!(nearest.is_some(), scanned.is_some());
        if let (Some(nearest), Some(scanned)) = (nearest, scanned) {
            prop_assert!(
                (nearest - scanned).abs() < 1e-9,
                "largest loss: {nearest} in the index, {scanned} in the scan"
            );
        }
        let least = index.extremes().map(|p| value(&all[p.id.0 as usize], later)).reduce(f64::min);
        let scanned = remaining().map(|(_, entry)| value(entry, later)).reduce(f64::min);
        prop_assert_eq!(least, scanned);
    }
}
