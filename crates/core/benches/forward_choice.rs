//! Time of one decision of a forwarder by the number of servers it knows: `cargo bench --bench
//! forward_choice`. Rows give the median and the 95th percentile, and the ratio to the smallest
//! fleet of the same run.

use std::time::Instant;

use turmericrail_core::config::ServerRole::{self, Decode, Plain, Prefill};
use turmericrail_core::forward::{
    EngineLimits, Forwarder, ForwarderSettings, Prompt, RequestLimits, RetryBounds, RouteTable,
    ServerEntry, ServerNews, ServerState, Service,
};
use turmericrail_core::ids::{ConfigVersion, ServiceId};
use turmericrail_core::units::{Bytes, Millis, Tokens, WallMillis};

/// Servers that a forwarder knows: a site, a grown one, and a data centre of the size aimed at.
const FLEETS: [usize; 3] = [12, 140, 1_200];
/// Decisions of a row.
const DECISIONS: u64 = 2_000;
/// One engine in so many reads prompts.
const PREFILL_EVERY: usize = 3;

fn main() {
    println!("{:<12}{:>9}{:>12}{:>12}{:>9}", "decision", "servers", "median us", "p95 us", "ratio");
    print_rows(
        "plain",
        |_| Plain,
        |forwarder, service, draw| {
            forwarder.choose_plain(Millis(draw), service, true, &[], draw).is_some()
        },
    );
    let role = |number| if number % PREFILL_EVERY == 0 { Prefill } else { Decode };
    print_rows("model", role, |forwarder, service, draw| {
        forwarder.plan_model(Millis(draw), service, prompt(), Millis(14_000), draw).is_ok()
    });
}

fn print_rows(
    name: &str,
    role: impl Fn(usize) -> ServerRole,
    decide: impl Fn(&Forwarder, &ServiceId, u64) -> bool,
) {
    let service: ServiceId = "desk".parse().expect("the name is valid");
    let mut smallest = None;
    for servers in FLEETS {
        let forwarder = forwarder(&service, servers, &role);
        let mut times_us: Vec<f64> = (0..DECISIONS)
            .map(|draw| {
                let begin = Instant::now();
                assert!(decide(&forwarder, &service, draw.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
                begin.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        times_us.sort_by(f64::total_cmp);
        let at = |part: f64| times_us[((times_us.len() - 1) as f64 * part) as usize];
        let base = *smallest.get_or_insert(at(0.5));
        let ratio = at(0.5) / base;
        println!("{name:<12}{servers:>9}{:>12.2}{:>12.2}{ratio:>9.1}", at(0.5), at(0.95));
    }
}

fn prompt() -> Prompt {
    let output = Tokens(500);
    Prompt {
        prompt_tokens: Tokens(5_000),
        max_output_tokens: output,
        expected_output_tokens: output,
    }
}

fn forwarder(
    service: &ServiceId,
    servers: usize,
    role: &impl Fn(usize) -> ServerRole,
) -> Forwarder {
    let mut forwarder = Forwarder::new(ForwarderSettings {
        data_centre: "dc-0".parse().expect("the name is valid"),
        retry_bounds: RetryBounds { ratio: 0.2, slack: 56, window_ms: Millis(10_000) },
        assumed_instances: 32,
        gives_orders: false,
    });
    let limits = RequestLimits {
        max_header_bytes: Bytes(16_384),
        max_body_bytes: Bytes(1 << 20),
        header_timeout_ms: Millis(3_000),
        idle_timeout_ms: Millis(15_000),
    };
    let engine = EngineLimits {
        slots: 64,
        kv_tokens: Tokens(60_000),
        handle_ttl_ms: Millis(500),
        reservation_ms: Millis(2_000),
    };
    let known = Service { name: service.clone(), max_connections: 100, engine: Some(engine) };
    let table = RouteTable::new(ConfigVersion(1), limits, vec![known], Vec::new());
    forwarder.take_table(table.expect("the table is valid"));
    for number in 0..servers {
        let entry = ServerEntry {
            started_ms: WallMillis(1),
            service: service.clone(),
            address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
            data_centre: format!("dc-{}", number % 3).parse().expect("the name is valid"),
            slots: 64,
            state: ServerState::Ready,
            role: role(number),
        };
        let server = format!("i-{:010x}", (number as u64).wrapping_mul(0x9e37_79b9_7f4a));
        let server = server.parse().expect("the name is valid");
        let news = ServerNews { server, revision: number as u64 + 1, entry: Some(entry) };
        forwarder.take_news(Millis::ZERO, news);
    }
    forwarder
}
