//! Guards against incomplete answers and occupied engine memory when connections to engines are
//! closed or stop carrying data, one kind of call at a time.

mod common;
mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{LoadGenerator, WAIT_TIMEOUT, caller_addresses, proxied_plan};
use turmericrail_fakes::{Fault, FaultScope, Fleet, StreamCaller, wait_until};

/// Time for which a fault lasts under load.
const FAULT_TIME: Duration = Duration::from_secs(4);
/// Length of an answer that outlasts the test.
const LONG_ANSWER_TOKENS: u64 = 12_000;

/// Adds a fault for the calls to one engine whose request line contains `path`.
fn add_call_fault(fleet: &Fleet, server: &str, path: &'static str, fault: Fault) {
    let has_path = move |head: &[u8]| {
        let request_line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
        String::from_utf8_lossy(request_line).contains(path)
    };
    fleet.proxies.engines[server].add_fault(fault, FaultScope::All, has_path);
}

/// Waits until no engine has occupied memory, then clears the faults.
async fn assert_memory_freed(fleet: &Fleet, description: &str) {
    let waited = wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await;
    assert!(waited.is_some(), "{description}: memory held");
    fleet.proxies.clear_faults();
    fleet.wait_ready().await;
}

/// Runs load with a fault for one kind of call to one engine. Memory must be freed while the fault
/// still exists.
async fn run_with_call_fault(fleet: &Fleet, server: &str, path: &'static str, fault: Fault) {
    let load = LoadGenerator::start(&caller_addresses(fleet));
    task::sleep(Duration::from_millis(500)).await;
    add_call_fault(fleet, server, path, fault);
    task::sleep(FAULT_TIME).await;
    let results = load.stop().await;
    let description = format!("{server} {path} {fault:?}");
    println!(
        "{description}: {} complete, {} refused",
        results.complete_count,
        results.refused.len()
    );
    assert!(results.complete_count > 0);
    if path != "/tokens" {
        assert_eq!(results.refused, Vec::<String>::new(), "{description}");
    }
    assert_eq!(results.incomplete, Vec::<String>::new(), "{description}");
    assert_memory_freed(fleet, &description).await;
}

/// Callers disconnect while cancellations can't reach the engines; streams are cancelled once they
/// can.
async fn run_with_cancel_fault(fleet: &Fleet, fault: Fault) {
    for server in fleet.decode.keys() {
        add_call_fault(fleet, server, "/cancel", fault);
    }
    let request = common::completion("a hamper", LONG_ANSWER_TOKENS, true);
    for address in caller_addresses(fleet) {
        let mut caller = StreamCaller::open(address, &request).await.unwrap();
        caller.read_tokens(5).await;
    }
    task::sleep(FAULT_TIME).await;
    assert_eq!(fleet.held_streams(), fleet.instances.len());
    fleet.proxies.clear_faults();
    assert_memory_freed(fleet, &format!("cancel {fault:?}")).await;
}

/// Runs load while every existing connection to the engines fails; new ones work.
async fn run_with_connection_fault(fleet: &Fleet, fault: Fault) {
    let load = LoadGenerator::start(&caller_addresses(fleet));
    task::sleep(Duration::from_millis(500)).await;
    for proxy in fleet.proxies.engines.values() {
        proxy.add_fault(fault, FaultScope::Existing, |_| true);
    }
    task::sleep(FAULT_TIME).await;
    fleet.wait_ready().await;
    load.stop().await.assert_all_complete();
    assert_memory_freed(fleet, &format!("all connections {fault:?}")).await;
}

async fn run_all_faults(name: &str, fault: Fault) {
    let mut plan = proxied_plan(name);
    plan.prefill_engines = 2;
    let fleet = Fleet::start(plan).await.unwrap();
    for path in ["/prefill", "/export", "/report"] {
        run_with_call_fault(&fleet, "dc-a-prefill-1", path, fault).await;
    }
    for path in ["/import", "/tokens", "/report"] {
        run_with_call_fault(&fleet, "dc-a-decode-1", path, fault).await;
    }
    run_with_cancel_fault(&fleet, fault).await;
    run_with_connection_fault(&fleet, fault).await;
}

#[async_std::test]
async fn calls_silent() {
    run_all_faults("calls-silent", Fault::DropAll).await;
}

#[async_std::test]
async fn calls_closed() {
    run_all_faults("calls-cut", Fault::Close).await;
}
