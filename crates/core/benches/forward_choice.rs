//! Measures how long a forwarder takes to choose a server, by the number of servers that it knows.
//!
//! Run it with `cargo bench --bench forward_choice`. Each row gives the median, the 95th percentile
//! and the ratio of the median to that of the smallest server count.

#[path = "../tests/forward_support/mod.rs"]
mod forward_support;

use std::cell::{Cell, RefCell};
use std::time::Instant;

use forward_support::{RETRY_BOUNDS, model_call_size, server_entry, service_id, table};
use turmericrail_core::config::ServerRole::{self, Decode, Plain, Prefill};
use turmericrail_core::forward::{
    Forwarder, ForwarderSettings, KvOrigin, ServerEntry, ServerUpdate, ServiceRanks, Standing,
    Urgency, VersionNeed, headroom_tokens,
};
use turmericrail_core::ids::{ServerId, ServiceId, TenantId};
use turmericrail_core::units::{Millis, Tokens};

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
    print_overload_rows(role);
}

/// Rows of the decisions on calls that found no room.
fn print_overload_rows(role: impl Fn(usize) -> ServerRole + Copy) {
    let ranks = ServiceRanks::from_iter([0, 1, 2]);
    let in_burst: [RefCell<Forwarder>; 3] = SERVER_COUNTS.map(|servers| {
        let mut forwarder = forwarder(&service_id(), servers, &role);
        record_burst(&mut forwarder, &ranks, &service_id());
        RefCell::new(forwarder)
    });
    let decisions = Cell::new(0);
    let engine: ServerId = "i-00000000ab".parse().expect("the name is valid");
    let decide = |service: &ServiceId, engine: &ServerId, random| {
        let row = decisions.replace(decisions.get() + 1) / DECISIONS_PER_ROW;
        let row = row as usize % SERVER_COUNTS.len();
        decide_overload(&in_burst[row], &ranks, service, engine, random)
    };
    print_rows("overload", role, |_, service, random| decide(service, &engine, random));
    // The same with the choice of the engine to ask.
    print_rows("ranked", role, |forwarder, service, random| {
        let size = model_call_size(5_000);
        let (now_ms, origin) = (Millis(random), KvOrigin::DecodeEngine);
        let choice = forwarder.choose_decode(now_ms, service, size, origin, &[], random);
        choice.is_some_and(|choice| decide(service, &choice.run.server, random))
    });
}

/// Waiting calls of an instance in a burst.
const WAITING_CALLS: u64 = 32;
/// Instances of the largest fleet.
const INSTANCES: usize = 320;

/// One decision of a call that found no room: its urgency, the headroom at an engine, and the wait if
/// that one is full as well.
fn decide_overload(
    forwarder: &RefCell<Forwarder>,
    ranks: &ServiceRanks,
    service: &ServiceId,
    engine: &ServerId,
    random: u64,
) -> bool {
    let (now_ms, mut forwarder) = (Millis(random >> 44), forwarder.borrow_mut());
    let rank = (random % 3) as u8;
    let tenant: TenantId = TENANTS[(random % 4) as usize].parse().expect("the name is valid");
    let rates = forwarder.overload(service).tenant_rates();
    let is_in_excess = rates.is_in_excess(now_ms, &tenant);
    let urgency = Urgency::new(ranks, rank, Standing::InTime, is_in_excess);
    let is_scarce = forwarder.is_scarce(now_ms, service);
    let typical_tokens = forwarder.typical_tokens(service);
    let headroom = headroom_tokens(urgency, engine, typical_tokens, Tokens(60_000));
    let overload = forwarder.overload(service);
    let is_hopeless = overload.is_hopeless(now_ms, urgency, Millis(9_000));
    let interval_ms = overload.retry_interval_ms(now_ms, rank, urgency, Millis(1_000));
    overload.add_waiting(urgency);
    overload.remove_waiting(urgency);
    !(is_scarce && is_hopeless) && headroom <= Tokens(60_000) && interval_ms > Millis::ZERO
}

const TENANTS: [&str; 4] = ["clinics", "shops", "cities", "schools"];

/// Records what an instance has seen in a burst.
fn record_burst(forwarder: &mut Forwarder, ranks: &ServiceRanks, service: &ServiceId) {
    forwarder.set_instance_count(Millis::ZERO, INSTANCES);
    forwarder.relative_size(service, model_call_size(5_000));
    for number in 0..WAITING_CALLS {
        let rank = (number % 3) as u8;
        let overload = forwarder.overload(service);
        overload.add_waiting(Urgency::new(ranks, rank, Standing::Late, false));
        overload.record_first_attempt(Millis::ZERO, rank, false);
        overload.record_placement(Millis::ZERO);
        let tenant = TENANTS[(number % 4) as usize].parse().expect("the name is valid");
        overload.tenant_rates().record(Millis::ZERO, &tenant);
        forwarder.record_reservation_result(Millis::ZERO, service, false);
    }
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
