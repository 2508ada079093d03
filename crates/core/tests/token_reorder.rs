//! Token events arrive early, late or twice; the caller gets each token once and in order.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use turmericrail_core::token_reorder::TokenReorderBuffer;

#[derive(Clone, Debug)]
struct Events {
    from: u64,
    count: u64,
    indices: Vec<u64>,
}

impl Arbitrary for Events {
    fn arbitrary(generator: &mut Gen) -> Self {
        let from = u64::from(u8::arbitrary(generator) % 20);
        let count = from + u64::from(u8::arbitrary(generator) % 40);
        let mut indices: Vec<_> = (0..count).collect();
        for index in 0..indices.len() {
            let other_index = usize::arbitrary(generator) % indices.len();
            indices.swap(index, other_index);
            if bool::arbitrary(generator) {
                indices.push(indices[other_index]);
            }
        }
        Self { from, count, indices }
    }
}

fn releases_in_order(events: Events) -> bool {
    let mut buffer = TokenReorderBuffer::starting_at(events.from);
    let mut released = Vec::new();
    assert!(buffer.finish(events.count));
    for index in events.indices {
        released.extend(buffer.push(index, index.to_string()));
    }
    let expected = (events.from..events.count).map(|index| (index, index.to_string()));
    released == expected.collect::<Vec<_>>() && buffer.is_complete()
}

#[test]
fn shuffled_tokens_are_released_in_order() {
    let generator = Gen::from_size_and_seed(64, 1);
    QuickCheck::new().rng(generator).tests(500).quickcheck(releases_in_order as fn(Events) -> bool);
}

#[test]
fn end_below_released_tokens_is_refused() {
    let mut buffer = TokenReorderBuffer::starting_at(0);
    assert_eq!(buffer.push(0, "a".to_owned()).len(), 1);
    assert!(!buffer.finish(0));
    assert!(!buffer.is_complete());
    assert!(buffer.finish(1));
    assert!(buffer.is_complete());
}
