//! Tests of `pile`.
use super::*;
use crate::state::Msg;
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

/// What is asked of a pile, and what a look at all that it holds gives.
#[derive(Clone, Debug)]
struct Held {
    class: usize,
    zone: Option<usize>,
    deadline: Nanos,
    in_turn: bool,
    fits: bool,
    gone: bool,
}

fn held() -> impl Strategy<Value = Held> {
    let zone = prop_oneof![Just(None), Just(Some(0)), Just(Some(1))];
    let deadline = (0..30 * 8u64).prop_map(|eighths| Nanos(100 * SECOND + eighths * SECOND / 8));
    (0..3usize, zone, deadline, any::<bool>(), prop::bool::weighted(0.8), prop::bool::weighted(0.2)).prop_map(
        |(class, zone, deadline, in_turn, fits, gone)| Held { class, zone, deadline, in_turn, fits, gone },
    )
}

proptest! {
    #[test]
    fn the_neighbours_of_two_points_hold_the_one_that_loses_most(
        all in prop::collection::vec(held(), 0..40), wait in 0..40u64, halves in any::<bool>(),
    ) {
        let (classes, fade) = (classes(), if halves { ValueDecay::Halving } else { ValueDecay::Linear });
        let mut pile = Pile::default();
        for (n, h) in all.iter().enumerate() {
            pile.push(MessageId(n as u64), (h.class, h.zone, 0), h.deadline, false);
            if h.in_turn {
                pile.turn(MessageId(n as u64));
            }
        }
        all.iter().enumerate().filter(|(_, h)| h.gone).for_each(|(n, _)| pile.remove(MessageId(n as u64)));
        let left = || all.iter().enumerate().filter(|(_, h)| !h.gone);
        prop_assert_eq!(pile.len(), left().count());
        let worth = |h: &Held, at| {
            let msg = Msg { class: h.class, deadline: h.deadline, ..Msg::default() };
            msg.worth(&classes[h.class], fade, at)
        };
        let (soon, later) = (Nanos(101 * SECOND), Nanos(101 * SECOND) + wait as f64);
        let loss = |n: usize| worth(&all[n], soon) - worth(&all[n], later);
        let points = |c: usize| [later, soon + (classes[c].deadline - classes[c].latency_objective)];
        let near = pile.next_to(points, |id| all[id.0 as usize].fits).map(|p| loss(p.2.0 as usize));
        let near = near.reduce(f64::max);
        let plain = left().filter(|(_, h)| h.in_turn && h.fits).map(|(n, _)| loss(n)).reduce(f64::max);
        prop_assert_eq!(near.is_some(), plain.is_some());
        if let (Some(near), Some(plain)) = (near, plain) {
            prop_assert!((near - plain).abs() < 1e-9, "{near}, and {plain} in all");
        }
        let least = pile.ends().map(|p| worth(&all[p.2.0 as usize], later)).reduce(f64::min);
        let plain = left().map(|(_, h)| worth(h, later)).reduce(f64::min);
        prop_assert_eq!(least, plain);
    }
}
