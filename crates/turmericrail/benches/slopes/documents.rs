//! One instance with large configurations: time of documents, of patches, and of a step with as
//! many backend servers as two years ahead.

use std::time::Instant;

use serde_json::json;
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
    println!("servers  document_bytes  document_us  patch_us  tick_us");
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
    fleet.run(1_000);
    let document_us = time(|| {
        fleet.tell(0, Event::ConfigDocument(ConfigVersion(2), body.clone()));
    });
    let mut patch_us = 0.0;
    for number in 0..PATCHES {
        let patch = json!({"limits": {"queue_limit_requests": 100 + number}});
        let change =
            turmericrail_core::config::Change { version: ConfigVersion(3 + number), patch };
        patch_us += time(|| {
            fleet.tell(0, Event::ConfigChanges(vec![change.clone()]));
        });
    }
    let mut tick_us = 0.0;
    for _ in 0..TICKS {
        fleet.now_ms += 50;
        tick_us += time(|| {
            fleet.tell(0, Event::Tick);
        });
    }
    println!(
        "{servers:>7}  {size:>14}  {document_us:>11.0}  {:>8.0}  {:>7.0}",
        patch_us / PATCHES as f64,
        tick_us / TICKS as f64
    );
}

fn time(action: impl FnOnce()) -> f64 {
    let started = Instant::now();
    action();
    started.elapsed().as_micros() as f64
}
