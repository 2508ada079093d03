//! Guards against failed idempotent calls while one server is unreachable, closes connections or
//! never answers.

mod plain_support;

use plain_support::{WAIT_TIMEOUT, apply_config_patch, closed_port, read_stock, start_fleet};
use serde_json::json;

/// Number of reads in each test.
const READ_COUNT: usize = 16;

#[async_std::test]
async fn unreachable_server() {
    let fleet = start_fleet("dead-server").await;
    let (_socket, closed) = closed_port();
    apply_config_patch(&fleet, json!({"servers": {"plain-1": {"address": closed}}})).await;
    for read in 0..READ_COUNT {
        let instance = &fleet.instances[read % fleet.instances.len()];
        assert_eq!(read_stock(instance.caller_address).await.status, 200);
    }
}

#[async_std::test]
async fn truncated_answers() {
    let fleet = start_fleet("cut-answers").await;
    fleet.plain["plain-1"].state().is_answer_cut = true;
    for read in 0..READ_COUNT {
        let instance = &fleet.instances[read % fleet.instances.len()];
        let answer = read_stock(instance.caller_address).await;
        assert_eq!(answer.status, 200);
        assert!(answer.body.starts_with("GET /stock/b1 execution="), "{}", answer.body);
    }
}

#[async_std::test]
async fn frozen_server() {
    let fleet = start_fleet("frozen-server").await;
    let address = fleet.instances[0].caller_address;
    fleet.plain["plain-2"].state().is_silent = true;
    let reads: Vec<_> =
        (0..READ_COUNT).map(|_| async_std::task::spawn(read_stock(address))).collect();
    for read in reads {
        assert_eq!(read.await.status, 200);
    }
    let execution_count = || fleet.plain["plain-2"].state().executions.values().sum::<u64>();
    let ejecting = async {
        loop {
            let count_before = execution_count();
            for _ in 0..READ_COUNT {
                assert_eq!(read_stock(address).await.status, 200);
            }
            if execution_count() == count_before {
                return;
            }
        }
    };
    async_std::future::timeout(WAIT_TIMEOUT, ejecting).await.expect("the frozen server is ejected");
}
