//! Connections to engines that break or fall silent, one kind of call at a time: callers get their
//! whole answers and no memory stays held.

mod common;
mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{Load, PATIENCE, caller_addresses, linked_plan};
use turmericrail_fakes::{Fault, FaultScope, Fleet, StreamCaller, wait_until};

/// Time for which a fault lasts under load.
const FAULT_TIME: Duration = Duration::from_secs(4);
/// Tokens of an answer that outlasts the test.
const LONG_ANSWER_TOKENS: u64 = 12_000;

/// Fails one kind of call at one engine.
fn fail(fleet: &Fleet, server: &str, path: &'static str, fault: Fault) {
    let is_kind = move |head: &[u8]| {
        let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
        String::from_utf8_lossy(line).contains(path)
    };
    fleet.proxies.engines[server].add_fault(fault, FaultScope::All, is_kind);
}

/// Ends the faults once no engine holds memory.
async fn check_freed(fleet: &Fleet, what: &str) {
    let freed = wait_until(PATIENCE, || fleet.held_streams() == 0).await;
    assert!(freed.is_some(), "{what}: memory held");
    fleet.proxies.clear_faults();
    fleet.wait_ready().await;
}

/// Fails one kind of call at one engine under load; memory comes free with the fault still there.
async fn fail_calls(fleet: &Fleet, server: &str, path: &'static str, fault: Fault) {
    let load = Load::start(&caller_addresses(fleet));
    task::sleep(Duration::from_millis(500)).await;
    fail(fleet, server, path, fault);
    task::sleep(FAULT_TIME).await;
    let seen = load.end().await;
    let what = format!("{server} {path} {fault:?}");
    println!("{what}: {} whole, {} refused", seen.whole, seen.refused.len());
    assert!(seen.whole > 0);
    if path != "/tokens" {
        assert_eq!(seen.refused, Vec::<String>::new(), "{what}");
    }
    assert_eq!(seen.broken, Vec::<String>::new(), "{what}");
    check_freed(fleet, &what).await;
}

/// Callers leave while an engine can't be told; it is told once it can.
async fn fail_cancellations(fleet: &Fleet, fault: Fault) {
    for server in fleet.decode.keys() {
        fail(fleet, server, "/cancel", fault);
    }
    let asked = common::completion("a hamper", LONG_ANSWER_TOKENS, true);
    for address in caller_addresses(fleet) {
        let mut caller = StreamCaller::open(address, &asked).await.unwrap();
        caller.read_tokens(5).await;
    }
    task::sleep(FAULT_TIME).await;
    assert_eq!(fleet.held_streams(), fleet.instances.len());
    fleet.proxies.clear_faults();
    check_freed(fleet, &format!("cancel {fault:?}")).await;
}

/// Every connection to an engine fails once; new ones work.
async fn fail_existing(fleet: &Fleet, fault: Fault) {
    let load = Load::start(&caller_addresses(fleet));
    task::sleep(Duration::from_millis(500)).await;
    for link in fleet.proxies.engines.values() {
        link.add_fault(fault, FaultScope::Existing, |_| true);
    }
    task::sleep(FAULT_TIME).await;
    fleet.wait_ready().await;
    load.end().await.check_all_whole();
    check_freed(fleet, &format!("all connections {fault:?}")).await;
}

async fn fail_kinds(name: &str, fault: Fault) {
    let mut plan = linked_plan(name);
    plan.prefill_engines = 2;
    let fleet = Fleet::start(plan).await.unwrap();
    for path in ["/prefill", "/export", "/report"] {
        fail_calls(&fleet, "dc-a-prefill-1", path, fault).await;
    }
    for path in ["/import", "/tokens", "/report"] {
        fail_calls(&fleet, "dc-a-decode-1", path, fault).await;
    }
    fail_cancellations(&fleet, fault).await;
    fail_existing(&fleet, fault).await;
}

#[async_std::test]
async fn calls_silent() {
    fail_kinds("calls-silent", Fault::DropAll).await;
}

#[async_std::test]
async fn calls_cut() {
    fail_kinds("calls-cut", Fault::Close).await;
}
