//! Roles by what prompts and answers take, and the line through measured prefills.

mod forward_support;

use forward_support::{forwarder, service_id};
use turmericrail_core::config::ServerRole::{Decode, Prefill};
use turmericrail_core::forward::{LinearFit, RequestWork, surplus_prefill};
use turmericrail_core::units::Millis;

#[test]
fn line_of_prefills() {
    // 90 ms for each call and 18 us a token, and now and then one that waited.
    let mut fit = LinearFit::new(5_000.0, 180.0, 0.02);
    for number in 0..400u32 {
        let tokens = 1_000.0 + f64::from(number * 37 % 9_000);
        let waited_ms = if number % 10 == 0 { 60.0 } else { 0.0 };
        fit.note(tokens, 90.0 + 0.018 * tokens + waited_ms);
    }
    assert!((0.016..0.020).contains(&fit.slope()), "{}", fit.slope());
    assert!((180.0..196.0).contains(&fit.value(5_000.0)), "{}", fit.value(5_000.0));
}

#[test]
fn short_of_memory() {
    // Six answers of 3 s fit into a decode engine, a prompt takes 94 ms: 49 of 140 engines are more
    // than are needed for prompts.
    let work = RequestWork { prefill_ms: 94.0, decode_ms: 500.0 };
    let surplus = surplus_prefill(49, 91, work);
    assert!((14..=20).contains(&surplus), "{surplus}");
    assert_eq!(surplus_prefill(33, 107, work), 0);
}

#[test]
fn short_of_prefill() {
    let work = RequestWork { prefill_ms: 200.0, decode_ms: 100.0 };
    assert!(surplus_prefill(3, 9, work) < 0);
}

#[test]
fn small_fleets() {
    let work = RequestWork { prefill_ms: 94.0, decode_ms: 264.0 };
    assert_eq!(surplus_prefill(4, 5, work), 0);
    assert_eq!(surplus_prefill(0, 1, work), 0);
    assert_eq!(surplus_prefill(1, 1, work), 0);
}

#[test]
fn data_centres_keep_roles() {
    // Far too many prefill engines, but one stays in each data centre.
    let servers: Vec<_> = ["dc-a", "dc-b", "dc-c"]
        .into_iter()
        .flat_map(|data_centre| [(Prefill, data_centre); 4])
        .chain([(Decode, "dc-a")])
        .collect();
    let forwarder = forwarder(&servers);
    let changes = forwarder.role_changes(Millis(0), &service_id(), &[]);
    assert!((4..=9).contains(&changes.len()), "{}", changes.len());
    assert!(changes.iter().all(|change| change.role == Decode));
}
