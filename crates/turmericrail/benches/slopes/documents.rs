//! Measures the processor time of one instance with large configurations: applying a document,
//! applying a patch, and handling a tick. The largest sizes are those expected in two years.

use std::time::Instant;

use serde_json::{Value, json};
use turmericrail_core::config::Change;
use turmericrail_core::event::Event;
use turmericrail_core::ids::ConfigVersion;

use crate::fleet::{Fleet, document};

const SERVER_COUNTS: [usize; 4] = [100, 1_000, 9_000, 12_000];
const PATCHES_PER_ROW: u64 = 20;
const TICKS_PER_ROW: u64 = 200;

/// Runs the measurement and prints its table.
pub fn print() {
    println!("one instance of ten data centres: processor time of a document, a patch and a tick");
    println!("servers  document_bytes  document_us  patch_us  server_patch_us  tick_us");
    for servers in SERVER_COUNTS {
        print_row(servers);
    }
    println!();
}

fn print_row(servers: usize) {
    let data_centres: Vec<_> = (0..10).map(|number| format!("dc{number}")).collect();
    let body = document(&data_centres, servers / data_centres.len());
    let size = body.to_string().len();
    let mut fleet = Fleet::new(1, &[1; 10], 0);
    fleet.start(0);
    fleet.run_for(1_000);
    let document_us = time_us(|| {
        fleet.handle_event(0, Event::ConfigDocument(ConfigVersion(2), body.clone()));
    });
    let limit = |number| json!({"limits": {"queue_limit_requests": 100 + number}});
    let patch_us = mean_patch_us(&mut fleet, 3, limit);
    let server = |number| json!({"servers": {"dc0-e1": {"kv_pieces": 2_100 + number}}});
    let server_patch_us = mean_patch_us(&mut fleet, 3 + PATCHES_PER_ROW, server);
    let mut tick_us = 0.0;
    for _ in 0..TICKS_PER_ROW {
        fleet.now_ms += 50;
        tick_us += time_us(|| {
            fleet.handle_event(0, Event::Tick);
        });
    }
    println!(
        "{servers:>7}  {size:>14}  {document_us:>11.0}  {patch_us:>8.0}  {server_patch_us:>15.0}  {:>7.0}",
        tick_us / TICKS_PER_ROW as f64
    );
}

/// Applies patches as the versions from `first` on, and returns their mean time in microseconds.
fn mean_patch_us(fleet: &mut Fleet, first: u64, patch: impl Fn(u64) -> Value) -> f64 {
    let mut total_us = 0.0;
    for number in 0..PATCHES_PER_ROW {
        let version = ConfigVersion(first + number);
        let change = Change { version, patch: patch(number) };
        total_us += time_us(|| {
            fleet.handle_event(0, Event::ConfigChanges(vec![change]));
        });
    }
    total_us / PATCHES_PER_ROW as f64
}

fn time_us(action: impl FnOnce()) -> f64 {
    let started = Instant::now();
    action();
    started.elapsed().as_micros() as f64
}
