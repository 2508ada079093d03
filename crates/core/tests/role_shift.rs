//! Idle prefill engines become decode engines while decode memory runs out, and never too many.

mod forward_support;

use std::collections::{BTreeMap, BTreeSet};

use forward_support::{forwarder, model_call_size, server_number, service_id, table};
use turmericrail_core::config::ServerRole::{self, Decode, Prefill};
use turmericrail_core::forward::{EngineReport, Forwarder, RoleLoad, ServerRun};
use turmericrail_core::units::{Millis, Tokens};

const NOW_MS: Millis = Millis(1_000);

fn load(prefill_engines: usize, prefill_requests: f64, decode_fill: f64) -> RoleLoad {
    RoleLoad { prefill_engines, engines: 140, prefill_requests, decode_fill }
}

fn report(requests: u32, used: u64) -> EngineReport {
    EngineReport { is_changing: false, requests, kv_used: Tokens(used), kv_total: Tokens(40_000) }
}

/// A fleet in which `prefill` of the engines of each data centre read prompts.
fn fleet(prefill: [usize; 2], decode: [usize; 2]) -> Forwarder {
    let mut servers: Vec<(ServerRole, &str)> = Vec::new();
    for (data_centre, counts) in ["dc-a", "dc-b"].into_iter().zip(prefill.into_iter().zip(decode)) {
        servers.extend(vec![(Prefill, data_centre); counts.0]);
        servers.extend(vec![(Decode, data_centre); counts.1]);
    }
    forwarder(&servers)
}

#[test]
fn both_signals() {
    assert_eq!(load(49, 0.6, 0.4).engines_to_convert(), 0, "there is memory left");
    assert_eq!(load(49, 1.6, 0.9).engines_to_convert(), 0, "prompts wait already");
    assert_eq!(load(49, 0.6, 0.9).engines_to_convert(), 14, "a tenth in one round");
    assert_eq!(load(49, 1.4, 0.9).engines_to_convert(), 3, "no more than the prompts leave");
}

#[test]
fn lower_bound() {
    let mut prefill = 49;
    for _ in 0..20 {
        prefill -= load(prefill, 0.0, 1.0).engines_to_convert();
    }
    assert_eq!(prefill, 28, "a fifth goes on reading prompts");
    assert_eq!(RoleLoad::max_convertible_engines(1, 2), 0);
}

#[test]
fn burst_of_answers() {
    // Long answers fill the decode engines while prefill engines have a request now and then.
    let forwarder = fleet([4, 3], [3, 3]);
    let service = service_id();
    let asked = forwarder.engines_to_poll(NOW_MS, &service, &[], 5);
    assert_eq!(asked.len(), 13);
    let reports: BTreeMap<ServerRun, EngineReport> =
        asked.into_iter().map(|engine| (engine.run, report(0, 36_000))).collect();
    let load = forwarder.role_load(NOW_MS, &service, &[], &reports).unwrap();
    assert_eq!((load.prefill_engines, load.engines), (7, 13));
    assert!((load.decode_fill - 0.9).abs() < 1e-9, "{load:?}");
    let mut changing = Vec::new();
    for _ in 0..load.engines_to_convert() {
        changing.push(forwarder.next_engine_to_convert(NOW_MS, &service, &changing).unwrap().run);
    }
    assert_eq!(changing.len(), 2);
    let load = forwarder.role_load(NOW_MS, &service, &changing, &reports).unwrap();
    assert_eq!((load.prefill_engines, load.engines), (5, 13), "those that change count as engines");
}

#[test]
fn changing_engines() {
    // Engines in the middle of a change tell nothing of the load.
    let forwarder = fleet([3, 3], [3, 3]);
    let service = service_id();
    let asked = forwarder.engines_to_poll(NOW_MS, &service, &[], 5);
    let changing = EngineReport { is_changing: true, ..report(9, 0) };
    let reports = asked.into_iter().map(|engine| (engine.run, changing)).collect();
    assert_eq!(forwarder.role_load(NOW_MS, &service, &[], &reports), None);
}

#[test]
fn last_of_data_centre() {
    let forwarder = fleet([1, 1], [20, 20]);
    assert!(forwarder.next_engine_to_convert(NOW_MS, &service_id(), &[]).is_none());
    let small = fleet([1, 1], [2, 2]);
    assert!(small.engines_to_poll(NOW_MS, &service_id(), &[], 1).is_empty(), "nobody is asked");
}

#[test]
fn spared_engines() {
    // Most prefills leave the engines alone that change first, since these refuse while they do.
    let mut forwarder = fleet([5, 5], [5, 5]);
    forwarder.apply_table(table(2, Vec::new()));
    let service = service_id();
    let mut changing = Vec::new();
    for _ in 0..6 {
        changing.push(forwarder.next_engine_to_convert(NOW_MS, &service, &changing).unwrap().run);
    }
    let part_on_spare = |forwarder: &Forwarder| {
        let draws = (0..400u64).map(|index| index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let choose =
            |draw| forwarder.choose_prefill(NOW_MS, &service, model_call_size(5_000), &[], draw);
        let chosen: Vec<_> = draws.filter_map(choose).collect();
        let on_spare = chosen.iter().filter(|choice| changing.contains(&choice.run)).count();
        on_spare as f64 / chosen.len() as f64
    };
    assert!(part_on_spare(&forwarder) > 0.5);
    forwarder.expire(NOW_MS);
    let part = part_on_spare(&forwarder);
    assert!(part > 0.0 && part < 0.25, "{part}");
}

#[test]
fn refusing_engine() {
    // An engine that refuses a prefill is changing: it gets no other before it can be done.
    let mut forwarder = fleet([2, 1], [2, 2]);
    let service = service_id();
    let first = forwarder.choose_prefill(NOW_MS, &service, model_call_size(5_000), &[], 1).unwrap();
    forwarder.record_prefill_refusal(NOW_MS, &first.run);
    let chosen_at = |now_ms| -> BTreeSet<u16> {
        let choose =
            |draw| forwarder.choose_prefill(now_ms, &service, model_call_size(5_000), &[], draw);
        (0..64).filter_map(choose).map(|choice| server_number(&choice)).collect()
    };
    assert!(!chosen_at(Millis(6_000)).contains(&server_number(&first)));
    assert!(chosen_at(Millis(8_000)).contains(&server_number(&first)));
}
