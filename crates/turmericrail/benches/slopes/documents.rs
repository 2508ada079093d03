//! One instance with large configurations: time of documents, of patches, and of a step with as
//! many backend servers as two years ahead.

use std::time::Instant;

use serde_json::{Value, json};
use turmericrail_core::config::Change;
use turmericrail_core::event::Event;
use turmericrail_core::ids::ConfigVersion;

use crate::fleet::{Fleet, document};

/// Backend servers of each row.
const SERVERS: [usize; 4] = [100, 1_000, 9_000, 12_000];
/// Patches applied in each row.
const PATCHES: u64 = 20;
/// Ticks timed in each row.
const TICKS: u64 = 200;

/// Prints the rows.
pub fn print() {
    println!("one instance of ten data centres: processor time of a document, a patch and a tick");
    println!("servers  document_bytes  document_us  patch_us  server_patch_us  tick_us");
    for servers in SERVERS {
        row(servers);
    }
    println!();
}

fn row(servers: usize) {
    let data_centres: Vec<_> = (0..10).map(|number| format!("dc{number}")).collect();
    let body = document(&data_centres, servers / data_centres.len());
    let size = body.to_string().len();
    let mut fleet = Fleet::new(1, &[1; 10], 0);
    fleet.start(0);
    fleet.run_for(1_000);
    let document_us = time(|| {
        fleet.handle_event(0, Event::ConfigDocument(ConfigVersion(2), body.clone()));
    });
    let limit = |number| json!({"limits": {"queue_limit_requests": 100 + number}});
    let patch_us = patches(&mut fleet, 3, limit);
    let server = |number| json!({"servers": {"dc0-e1": {"kv_pieces": 2_100 + number}}});
    let server_patch_us = patches(&mut fleet, 3 + PATCHES, server);
    let mut tick_us = 0.0;
    for _ in 0..TICKS {
        fleet.now_ms += 50;
        tick_us += time(|| {
            fleet.handle_event(0, Event::Tick);
        });
    }
    println!(
        "{servers:>7}  {size:>14}  {document_us:>11.0}  {patch_us:>8.0}  {server_patch_us:>15.0}  {:>7.0}",
        tick_us / TICKS as f64
    );
}

/// Mean time of patches that become the versions from `first` on.
fn patches(fleet: &mut Fleet, first: u64, patch: impl Fn(u64) -> Value) -> f64 {
    let mut total_us = 0.0;
    for number in 0..PATCHES {
        let version = ConfigVersion(first + number);
        let change = Change { version, patch: patch(number) };
        total_us += time(|| {
            fleet.handle_event(0, Event::ConfigChanges(vec![change]));
        });
    }
    total_us / PATCHES as f64
}

fn time(action: impl FnOnce()) -> f64 {
    let started = Instant::now();
    action();
    started.elapsed().as_micros() as f64
}
