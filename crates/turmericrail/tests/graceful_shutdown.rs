//! SIGTERM under load cuts off no request, and neither does the replacement of every instance.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use common::{PATIENCE, complete, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, text, wait_until};
use turmericrail_wire::client::CallError;

const ANSWER_TOKENS: u64 = 200;

fn has_ended(fleet: &mut Fleet, index: usize) -> bool {
    let process = fleet.instances[index].process.as_mut().unwrap();
    process.try_wait().unwrap().is_some_and(|status| status.success())
}

async fn stop(fleet: &mut Fleet, index: usize) {
    fleet.instances[index].signal("TERM");
    let ended = wait_until(PATIENCE, || has_ended(fleet, index)).await;
    assert!(ended.is_some(), "the process did not end");
    fleet.instances[index].process = None;
}

#[async_std::test]
async fn under_load() {
    let mut fleet = start_fleet("term-under-load").await;
    let address = fleet.instances[0].caller_address;
    let mut callers = Vec::new();
    for number in 0..16 {
        let asked = completion(&format!("box {number}"), ANSWER_TOKENS, true);
        callers.push(StreamCaller::open(address, &asked).await.unwrap());
    }
    let reading: Vec<_> = callers
        .into_iter()
        .map(|mut caller| task::spawn(async move { (caller.read_all().await, caller.text()) }))
        .collect();
    stop(&mut fleet, 0).await;
    for (number, answer) in reading.into_iter().enumerate() {
        let (end, answer) = answer.await;
        assert_eq!(end, AnswerEvent::End(ANSWER_TOKENS), "answer {number}");
        assert_eq!(answer, text::answer(&format!("box {number}"), ANSWER_TOKENS));
    }
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn all_replaced() {
    let mut fleet = start_fleet("all-replaced").await;
    let is_over = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> =
        fleet.instances.iter().map(|instance| instance.caller_address).collect();
    let mut loads = Vec::new();
    for number in 0..6 {
        let (addresses, is_over) = (addresses.clone(), Arc::clone(&is_over));
        loads.push(task::spawn(async move {
            let mut counts = (0, 0);
            let mut turn = number;
            while !is_over.load(Ordering::SeqCst) {
                turn += 1;
                let asked = completion(&format!("load {number}"), 60, true);
                let opened = StreamCaller::open(addresses[turn % addresses.len()], &asked).await;
                let Some(mut caller) = opened else {
                    continue;
                };
                let is_whole = caller.read_all().await == AnswerEvent::End(60)
                    && caller.text() == text::answer(&format!("load {number}"), 60);
                counts = if is_whole { (counts.0 + 1, counts.1) } else { (counts.0, counts.1 + 1) };
            }
            counts
        }));
    }
    for index in 0..fleet.instances.len() {
        stop(&mut fleet, index).await;
        fleet.start_instance(index).unwrap();
        fleet.wait_ready().await;
    }
    is_over.store(true, Ordering::SeqCst);
    for load in loads {
        let (whole, cut) = load.await;
        assert!(whole > 0);
        assert_eq!(cut, 0, "answers cut off while instances were replaced");
    }
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn late_requests() {
    let fleet = start_fleet("late-requests").await;
    let address = fleet.instances[0].caller_address;
    fleet.instances[0].signal("TERM");
    let mut told = 0;
    loop {
        match complete(address, &completion("late", 4, false)).await {
            Ok(_) => told += 1,
            Err(CallError::NotSent { .. }) => break,
            Err(error) => panic!("a request without an answer after {told}: {error}"),
        }
    }
    assert!(told > 0);
}
