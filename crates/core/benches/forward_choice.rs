//! Measures how long a forwarder takes to choose a server, by the number of servers that it knows.
//!
//! Run it with `cargo bench --bench forward_choice`. Each row gives the median, the 95th percentile
//! and the ratio of the median to that of the smallest server count.

#[path = "../tests/forward_support/mod.rs"]
mod forward_support;

use std::time::Instant;

use forward_support::{RETRY_BOUNDS, model_call_size, server_entry, service_id, table};
use turmericrail_core::config::ServerRole::{self, Decode, Plain, Prefill};
use turmericrail_core::forward::{
    Forwarder, ForwarderSettings, ServerEntry, ServerUpdate, VersionNeed,
};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::units::Millis;

/// Server counts: a small deployment, a larger one, and the largest data centre to be supported.
const SERVER_COUNTS: [usize; 3] = [12, 140, 1_200];
const DECISIONS_PER_ROW: u64 = 2_000;
/// Every n-th engine is a prefill engine.
const PREFILL_EVERY: usize = 3;

fn main() {
    println!("{:<12}{:>9}{:>12}{:>12}{:>9}", "decision", "servers", "median us", "p95 us", "ratio");
    print_rows(
        "plain",
        |_| Plain,
        |forwarder, service, random| {
            forwarder.choose_plain(Millis(random), service, true, &[], random).is_some()
        },
    );
    let role = |number| if number % PREFILL_EVERY == 0 { Prefill } else { Decode };
    print_rows("model", role, |forwarder, service, random| {
        forwarder
            .plan_model(
                Millis(random),
                service,
                model_call_size(5_000),
                VersionNeed::Any,
                Millis(14_000),
                random,
            )
            .is_ok()
    });
}

fn print_rows(
    name: &str,
    role: impl Fn(usize) -> ServerRole,
    decide: impl Fn(&Forwarder, &ServiceId, u64) -> bool,
) {
    let service = service_id();
    let mut smallest_median_us = None;
    for servers in SERVER_COUNTS {
        let forwarder = forwarder(&service, servers, &role);
        let mut times_us: Vec<f64> = (0..DECISIONS_PER_ROW)
            .map(|index| {
                let begin = Instant::now();
                assert!(decide(&forwarder, &service, index.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
                begin.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        times_us.sort_by(f64::total_cmp);
        let quantile_us =
            |fraction: f64| times_us[((times_us.len() - 1) as f64 * fraction) as usize];
        let baseline_us = *smallest_median_us.get_or_insert(quantile_us(0.5));
        let ratio = quantile_us(0.5) / baseline_us;
        println!(
            "{name:<12}{servers:>9}{:>12.2}{:>12.2}{ratio:>9.1}",
            quantile_us(0.5),
            quantile_us(0.95)
        );
    }
}

fn forwarder(
    service: &ServiceId,
    servers: usize,
    role: &impl Fn(usize) -> ServerRole,
) -> Forwarder {
    let mut forwarder = Forwarder::new(ForwarderSettings {
        data_centre: "dc-0".parse().expect("the name is valid"),
        retry_bounds: RETRY_BOUNDS,
        started_ms: Millis(0),
        assumed_instance_count: 32,
        gives_orders: false,
    });
    forwarder.apply_table(table(1, Vec::new()));
    for number in 0..servers {
        let data_centre = format!("dc-{}", number % 3);
        let entry = ServerEntry {
            version: None,
            address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
            max_concurrent_calls: 64,
            service: service.clone(),
            ..server_entry(0, role(number), &data_centre)
        };
        let server = format!("i-{:010x}", (number as u64).wrapping_mul(0x9e37_79b9_7f4a));
        let server = server.parse().expect("the name is valid");
        let update = ServerUpdate { server, revision: number as u64 + 1, entry: Some(entry) };
        forwarder.apply_server_update(Millis::ZERO, update);
    }
    forwarder
}
