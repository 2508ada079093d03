//! Idempotent calls past dead and frozen servers.

mod plain_support;

use plain_support::{PATIENCE, change_config, closed_port, read_stock, start_fleet};
use serde_json::json;

/// Reads in each test.
const READS: usize = 16;

#[async_std::test]
async fn dead_server() {
    let fleet = start_fleet("dead-server").await;
    let (_socket, closed) = closed_port();
    change_config(&fleet, json!({"servers": {"plain-1": {"address": closed}}})).await;
    for read in 0..READS {
        let instance = &fleet.instances[read % fleet.instances.len()];
        assert_eq!(read_stock(instance.caller_address).await.status, 200);
    }
}

#[async_std::test]
async fn cut_answers() {
    let fleet = start_fleet("cut-answers").await;
    fleet.plain["plain-1"].state().is_answer_cut = true;
    for read in 0..READS {
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
    let reads: Vec<_> = (0..READS).map(|_| async_std::task::spawn(read_stock(address))).collect();
    for read in reads {
        assert_eq!(read.await.status, 200);
    }
    let count = || fleet.plain["plain-2"].state().executions.values().sum::<u64>();
    let ejecting = async {
        loop {
            let before = count();
            for _ in 0..READS {
                assert_eq!(read_stock(address).await.status, 200);
            }
            if count() == before {
                return;
            }
        }
    };
    async_std::future::timeout(PATIENCE, ejecting).await.expect("the frozen server is left alone");
}
