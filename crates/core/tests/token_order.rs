//! Token events come early, late, twice or not at all; the caller gets each once and in order.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use turmericrail_core::token_reorder::TokenReorderBuffer;

#[derive(Clone, Debug)]
struct Events {
    from: u64,
    count: u64,
    indices: Vec<u64>,
}

impl Arbitrary for Events {
    fn arbitrary(choices: &mut Gen) -> Self {
        let from = u64::from(u8::arbitrary(choices) % 20);
        let count = from + u64::from(u8::arbitrary(choices) % 40);
        let mut indices: Vec<_> = (0..count).collect();
        for at in 0..indices.len() {
            let other = usize::arbitrary(choices) % indices.len();
            indices.swap(at, other);
            if bool::arbitrary(choices) {
                indices.push(indices[other]);
            }
        }
        Self { from, count, indices }
    }
}

fn passes_in_order(events: Events) -> bool {
    let mut order = TokenReorderBuffer::starting_at(events.from);
    let mut passed = Vec::new();
    assert!(order.finish(events.count));
    for index in events.indices {
        passed.extend(order.push(index, index.to_string()));
    }
    let wanted = (events.from..events.count).map(|index| (index, index.to_string()));
    passed == wanted.collect::<Vec<_>>() && order.is_complete()
}

#[test]
fn shuffled_events() {
    let choices = Gen::from_size_and_seed(64, 1);
    QuickCheck::new().rng(choices).tests(500).quickcheck(passes_in_order as fn(Events) -> bool);
}

#[test]
fn impossible_end() {
    let mut order = TokenReorderBuffer::starting_at(0);
    assert_eq!(order.push(0, "a".to_owned()).len(), 1);
    assert!(!order.finish(0));
    assert!(!order.is_complete());
    assert!(order.finish(1));
    assert!(order.is_complete());
}
