//! Measures the core without processes: 9 to 320 instances connected by an in-memory queue.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use prost::Message;
use serde_json::json;
use turmericrail_core::message::{Envelope, PeerMessage};
use turmericrail_wire::convert;

use crate::fleet::{Faults, Fleet};
use crate::framing::FRAMING_BYTES;
use crate::growth_exponent;

/// Number of data centres, and of instances in each.
const SIZES: [(usize, usize); 6] = [(3, 3), (3, 6), (5, 8), (10, 8), (10, 16), (10, 32)];
const WARM_UP_MS: u64 = 8_000;
const MEASUREMENT_MS: u64 = 6_000;
const ENGINES_PER_INSTANCE: usize = 2;

#[derive(Default)]
struct SentCounts {
    messages: u64,
    bytes: u64,
    by_type: BTreeMap<&'static str, (u64, u64)>,
    bytes_by_instance: BTreeMap<usize, u64>,
}

/// Runs the measurement and prints its table.
pub fn print() {
    println!(
        "core alone, a second and instance: messages, bytes of messages, bytes with framing, the \
         same at the busiest instance, processor time; then times in all, and framed bytes that \
         an instance sends to relay one change"
    );
    println!(
        "instances  messages   bytes  framed  busiest  processor_us  death_known_ms  \
         change_known_ms  change_bytes"
    );
    let mut rows = Vec::new();
    for (data_centres, instances) in SIZES {
        rows.push(print_row(data_centres, instances));
    }
    let (first, last) = (rows[0], rows[rows.len() - 1]);
    println!(
        "exponent   {:>8.2}  {:>6.2}  framed bytes between the first and the last row\n",
        growth_exponent((first.0, first.1), (last.0, last.1)),
        growth_exponent((first.0, first.2), (last.0, last.2))
    );
}

fn print_row(data_centres: usize, instances: usize) -> (f64, f64, f64) {
    let sizes = vec![instances; data_centres];
    let mut fleet = Fleet::new(7, &sizes, instances * ENGINES_PER_INSTANCE);
    fleet.start_all();
    fleet.run_for(WARM_UP_MS);
    let sent = Rc::new(RefCell::new(SentCounts::default()));
    let counting = Rc::clone(&sent);
    fleet.on_send = Box::new(move |from, envelope| {
        let size = convert::encode("deployment", envelope).encoded_len() as u64;
        let mut sent = counting.borrow_mut();
        sent.messages += 1;
        sent.bytes += size;
        let by_type = sent.by_type.entry(message_name(&envelope.message)).or_default();
        (by_type.0, by_type.1) = (by_type.0 + 1, by_type.1 + size);
        *sent.bytes_by_instance.entry(from).or_default() += size + FRAMING_BYTES;
    });
    fleet.run_for(MEASUREMENT_MS);
    fleet.on_send = Box::new(|_, _| {});
    let started = Instant::now();
    fleet.run_for(MEASUREMENT_MS);
    let processor_us = started.elapsed().as_micros() as f64;
    let relayed = Rc::new(RefCell::new(SentCounts::default()));
    let counting = Rc::clone(&relayed);
    fleet.on_send =
        Box::new(move |_, envelope| count_relayed_change(&mut counting.borrow_mut(), envelope));
    let change_ms = time_to_apply_change(&mut fleet);
    fleet.on_send = Box::new(|_, _| {});
    let relay_bytes = relayed.borrow().bytes as f64 / (data_centres * instances) as f64;
    let death_ms = time_to_detect_death(&mut fleet);
    let count = (data_centres * instances) as f64;
    let per_second = count * MEASUREMENT_MS as f64 / 1_000.0;
    let sent = sent.borrow();
    let messages = sent.messages as f64 / per_second;
    let bytes = sent.bytes as f64 / per_second;
    let framed = bytes + messages * FRAMING_BYTES as f64;
    let busiest = sent.bytes_by_instance.values().max().copied().unwrap_or(0) as f64;
    let busiest = busiest * 1_000.0 / MEASUREMENT_MS as f64;
    let processor_us = processor_us / per_second;
    println!(
        "{count:>9}  {messages:>8.2}  {bytes:>6.0}  {framed:>6.0}  {busiest:>7.0}  \
         {processor_us:>12.0}  {death_ms:>14}  {change_ms:>15}  {relay_bytes:>12.0}"
    );
    if instances == 32 {
        print_types(&sent, per_second);
    }
    (count, messages, framed)
}

fn print_types(sent: &SentCounts, per_second: f64) {
    for (name, (messages, bytes)) in &sent.by_type {
        println!(
            "           of these {name}: {:.2} messages, {:.0} bytes",
            *messages as f64 / per_second,
            *bytes as f64 / per_second
        );
    }
}

/// Returns the time in milliseconds until a configuration change is in force on all instances.
fn time_to_apply_change(fleet: &mut Fleet) -> String {
    let version = fleet.accept_patch(json!({"limits": {"retry_percent": 21}}));
    let elapsed_ms = fleet.run_until(20_000, |fleet| fleet.all_have_version(version));
    elapsed_ms.map_or("over 20000".to_owned(), |elapsed_ms| elapsed_ms.to_string())
}

/// Returns the time in milliseconds until all instances know that one has died, at 5 % loss.
fn time_to_detect_death(fleet: &mut Fleet) -> String {
    fleet.faults = Faults { loss_percent: 5, max_delay_ms: 20, ..Faults::default() };
    fleet.kill(1);
    let elapsed_ms = fleet.run_until(20_000, Fleet::all_agree_on_members);
    elapsed_ms.map_or("over 20000".to_owned(), |elapsed_ms| elapsed_ms.to_string())
}

fn count_relayed_change(sent: &mut SentCounts, envelope: &Envelope) {
    if matches!(
        envelope.message,
        PeerMessage::ChangesRequest(_) | PeerMessage::Changes(_) | PeerMessage::Document(..)
    ) {
        sent.bytes += convert::encode("deployment", envelope).encoded_len() as u64 + FRAMING_BYTES;
    }
}

fn message_name(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::MembersRequest(_) => "members_request",
        PeerMessage::Members(_) => "members",
        PeerMessage::ChangesRequest(_) => "changes_request",
        PeerMessage::Changes(_) => "changes",
        PeerMessage::Document(..) => "document",
        _ => "other",
    }
}
