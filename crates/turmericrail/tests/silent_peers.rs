//! Connections between instances, and between caller and instance, that fall silent or break while
//! their processes run on.

mod common;
mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{Load, PATIENCE, caller_addresses, linked_plan};
use turmericrail_fakes::{
    AnswerEvent, Fault, FaultProxy, FaultScope, Fleet, StreamCaller, text, wait_until,
};

/// Time after which members must know of each other again.
const MEMBER_BOUND: Duration = Duration::from_secs(5);

/// Tokens of an answer that goes on at another instance.
const ANSWER_TOKENS: u64 = 300;

/// Whether an instance counts all instances as live.
async fn sees_all(fleet: &Fleet, index: usize) -> bool {
    let status = fleet.status(index).await.unwrap_or_default();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let live = members.iter().filter(|member| member["is_live"] == true).count();
    status["is_ready"] == true && live == fleet.instances.len()
}

async fn fail_streams(name: &str, fault: Fault) {
    let fleet = Fleet::start(linked_plan(name)).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let load = Load::start(&addresses);
    task::sleep(Duration::from_secs(1)).await;
    for (one, other) in [("dc-a-1", "dc-a-2"), ("dc-a-1", "dc-b-1"), ("dc-a-2", "dc-b-1")] {
        fleet.proxies.add_fault_between(one, other, fault, FaultScope::Existing);
    }
    task::sleep(MEMBER_BOUND).await;
    for index in 0..fleet.instances.len() {
        assert!(sees_all(&fleet, index).await, "{:?}", fleet.status(index).await);
    }
    load.end().await.check_all_whole();
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn streams_silent() {
    fail_streams("streams-silent", Fault::DropAll).await;
}

#[async_std::test]
async fn streams_cut() {
    fail_streams("streams-cut", Fault::Close).await;
}

#[async_std::test]
async fn caller_elsewhere() {
    let fleet = common::start_fleet("caller-elsewhere").await;
    for fault in [Fault::DropAll, Fault::Delay(Duration::from_millis(200))] {
        let link = FaultProxy::start(fleet.instances[0].caller_address).await.unwrap();
        let asked = common::completion("a sleeve", ANSWER_TOKENS, true);
        let mut caller = StreamCaller::open(link.address, &asked).await.unwrap();
        caller.read_tokens(20).await;
        link.add_fault(fault, FaultScope::All, |_| true);
        let mut caller = caller.resume(fleet.instances[1].caller_address).await.unwrap();
        assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS), "{fault:?}");
        assert_eq!(caller.text(), text::answer("a sleeve", ANSWER_TOKENS), "{fault:?}");
        assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "{fault:?}");
    }
    let computed: u64 = fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(computed, 2 * text::prompt_tokens("a sleeve"), "a stream was computed again");
}
