//! Conversion of idle prefill engines into decode engines while decode memory runs out, and its
//! limits.

mod forward_support;

use std::collections::{BTreeMap, BTreeSet};

use forward_support::{forwarder, model_call_size, server_number, service_id, table};
use turmericrail_core::config::ServerRole::{self, Decode, Prefill};
use turmericrail_core::forward::{EngineReport, Forwarder, RoleLoad, ServerRun};
use turmericrail_core::units::{Millis, Tokens};

const NOW_MS: Millis = Millis(1_000);

fn role_load(
    prefill_engine_count: usize,
    mean_prefill_requests: f64,
    decode_fill: f64,
) -> RoleLoad {
    RoleLoad { prefill_engine_count, engine_count: 140, mean_prefill_requests, decode_fill }
}

fn engine_report(requests: u32, used: u64) -> EngineReport {
    EngineReport {
        is_changing: false,
        accepted_orders: 0,
        requests,
        kv_used: Tokens(used),
        kv_total: Tokens(40_000),
    }
}

/// A forwarder that knows so many prefill and decode engines in each of two data centres.
fn forwarder_with_engines(prefill: [usize; 2], decode: [usize; 2]) -> Forwarder {
    let mut servers: Vec<(ServerRole, &str)> = Vec::new();
    for (data_centre, counts) in ["dc-a", "dc-b"].into_iter().zip(prefill.into_iter().zip(decode)) {
        servers.extend(vec![(Prefill, data_centre); counts.0]);
        servers.extend(vec![(Decode, data_centre); counts.1]);
    }
    forwarder(&servers)
}

#[test]
fn both_conditions() {
    assert_eq!(role_load(49, 0.6, 0.4).engines_to_convert(), 0, "decode memory is left");
    assert_eq!(role_load(49, 1.6, 0.9).engines_to_convert(), 0, "prompts are waiting already");
    assert_eq!(
        role_load(49, 0.6, 0.9).engines_to_convert(),
        14,
        "at most a tenth of the engines in one round"
    );
    assert_eq!(
        role_load(49, 1.4, 0.9).engines_to_convert(),
        3,
        "no more than the prompts can spare"
    );
}

#[test]
fn min_prefill_engines() {
    let mut prefill = 49;
    for _ in 0..20 {
        prefill -= role_load(prefill, 0.0, 1.0).engines_to_convert();
    }
    assert_eq!(prefill, 28, "a fifth of the engines stay prefill engines");
    assert_eq!(RoleLoad::max_convertible_engines(1, 2), 0);
}

#[test]
fn long_answers() {
    // Long answers fill the memory of the decode engines while the prefill engines are idle.
    let forwarder = forwarder_with_engines([4, 3], [3, 3]);
    let service = service_id();
    let polled = forwarder.engines_to_poll(NOW_MS, &service, &[], 5);
    assert_eq!(polled.len(), 13);
    let reports: BTreeMap<ServerRun, EngineReport> =
        polled.into_iter().map(|engine| (engine.run, engine_report(0, 36_000))).collect();
    let load = forwarder.role_load(NOW_MS, &service, &[], &reports).unwrap();
    assert_eq!((load.prefill_engine_count, load.engine_count), (7, 13));
    assert!((load.decode_fill - 0.9).abs() < 1e-9, "{load:?}");
    let convertible = forwarder.convertible_engines(NOW_MS, &service, &[]);
    let candidates: Vec<_> =
        convertible.into_iter().take(load.engines_to_convert()).map(|it| it.run).collect();
    assert_eq!(candidates.len(), 2);
    let load = forwarder.role_load(NOW_MS, &service, &candidates, &reports).unwrap();
    assert_eq!(
        (load.prefill_engine_count, load.engine_count),
        (5, 13),
        "engines that are being converted still count"
    );
}

#[test]
fn engines_being_converted() {
    // The reports of engines that are being converted say nothing about the load.
    let forwarder = forwarder_with_engines([3, 3], [3, 3]);
    let service = service_id();
    let polled = forwarder.engines_to_poll(NOW_MS, &service, &[], 5);
    let changing = EngineReport { is_changing: true, ..engine_report(9, 0) };
    let reports = polled.into_iter().map(|engine| (engine.run, changing)).collect();
    assert_eq!(forwarder.role_load(NOW_MS, &service, &[], &reports), None);
}

#[test]
fn last_prefill_engine() {
    let forwarder = forwarder_with_engines([1, 1], [20, 20]);
    assert!(forwarder.convertible_engines(NOW_MS, &service_id(), &[]).is_empty());
    let small = forwarder_with_engines([1, 1], [2, 2]);
    assert!(small.engines_to_poll(NOW_MS, &service_id(), &[], 1).is_empty(), "no engine is polled");
}

#[test]
fn idle_data_centre() {
    // One idle prefill engine in each of four data centres: two of them keep theirs, so that
    // prompts are still processed after the loss of one.
    let servers: Vec<_> = ["dc-a", "dc-b", "dc-c", "dc-d"]
        .into_iter()
        .flat_map(|data_centre| [(Prefill, data_centre), (Decode, data_centre)])
        .collect();
    let forwarder = forwarder(&servers);
    let convertible = forwarder.convertible_engines(NOW_MS, &service_id(), &[]);
    assert_eq!(convertible.len(), 2);
}

#[test]
fn avoided_candidates() {
    // Most prefills avoid the engines that are converted first, since an engine refuses prefills
    // during its conversion.
    let mut forwarder = forwarder_with_engines([5, 5], [5, 5]);
    forwarder.apply_table(table(2, Vec::new()));
    let service = service_id();
    let convertible = forwarder.convertible_engines(NOW_MS, &service, &[]);
    let candidates: Vec<_> = convertible.into_iter().map(|engine| engine.run).collect();
    assert_eq!(candidates.len(), 6);
    let candidate_share = |forwarder: &Forwarder| {
        let randoms = (0..400u64).map(|index| index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let choose = |random| {
            forwarder.choose_prefill(NOW_MS, &service, model_call_size(5_000), &[], random)
        };
        let chosen: Vec<_> = randoms.filter_map(choose).collect();
        let on_candidates = chosen.iter().filter(|choice| candidates.contains(&choice.run)).count();
        on_candidates as f64 / chosen.len() as f64
    };
    assert!(candidate_share(&forwarder) > 0.5);
    forwarder.expire(NOW_MS);
    let share = candidate_share(&forwarder);
    assert!(share > 0.0 && share < 0.25, "{share}");
}

#[test]
fn refusing_engine() {
    // An engine that refuses a prefill is being converted: it gets no other until the conversion
    // may have ended.
    let mut forwarder = forwarder_with_engines([2, 1], [2, 2]);
    let service = service_id();
    let first = forwarder.choose_prefill(NOW_MS, &service, model_call_size(5_000), &[], 1).unwrap();
    forwarder.record_prefill_refusal(NOW_MS, &first.run);
    let chosen_at = |now_ms| -> BTreeSet<u16> {
        let choose = |random| {
            forwarder.choose_prefill(now_ms, &service, model_call_size(5_000), &[], random)
        };
        (0..64).filter_map(choose).map(|choice| server_number(&choice)).collect()
    };
    assert!(!chosen_at(Millis(6_000)).contains(&server_number(&first)));
    assert!(chosen_at(Millis(8_000)).contains(&server_number(&first)));
}
