//! Guards against requests that are cut off when an instance gets SIGTERM under load, also when all
//! instances are restarted in turn.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use common::{WAIT_TIMEOUT, complete, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, text, wait_until};
use turmericrail_wire::client::CallError;

const ANSWER_TOKENS: u64 = 200;
/// Callers that send requests at the same time during a shutdown.
const LATE_CALLERS: usize = 8;

fn has_exited(fleet: &mut Fleet, index: usize) -> bool {
    let process = fleet.instances[index].process.as_mut().unwrap();
    process.try_wait().unwrap().is_some_and(|status| status.success())
}

async fn stop(fleet: &mut Fleet, index: usize) {
    fleet.instances[index].signal("TERM");
    let exited = wait_until(WAIT_TIMEOUT, || has_exited(fleet, index)).await;
    assert!(exited.is_some(), "the process did not exit");
    fleet.instances[index].process = None;
}

#[async_std::test]
async fn under_load() {
    let mut fleet = start_fleet("term-under-load").await;
    let address = fleet.instances[0].caller_address;
    let mut callers = Vec::new();
    for number in 0..16 {
        let request = completion(&format!("box {number}"), ANSWER_TOKENS, true);
        callers.push(StreamCaller::open(address, &request).await.unwrap());
    }
    let readers: Vec<_> = callers
        .into_iter()
        .map(|mut caller| task::spawn(async move { (caller.read_all().await, caller.text()) }))
        .collect();
    stop(&mut fleet, 0).await;
    for (number, answer) in readers.into_iter().enumerate() {
        let (end, answer) = answer.await;
        assert_eq!(end, AnswerEvent::End(ANSWER_TOKENS), "answer {number}");
        assert_eq!(answer, text::answer(&format!("box {number}"), ANSWER_TOKENS));
    }
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn rolling_restart() {
    let mut fleet = start_fleet("all-replaced").await;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> =
        fleet.instances.iter().map(|instance| instance.caller_address).collect();
    let mut loads = Vec::new();
    for number in 0..6 {
        let (addresses, is_stopped) = (addresses.clone(), Arc::clone(&is_stopped));
        loads.push(task::spawn(async move {
            let mut counts = (0, 0);
            let mut request_number = number;
            while !is_stopped.load(Ordering::SeqCst) {
                request_number += 1;
                let request = completion(&format!("load {number}"), 60, true);
                let opened =
                    StreamCaller::open(addresses[request_number % addresses.len()], &request).await;
                let Some(mut caller) = opened else {
                    continue;
                };
                let is_complete = caller.read_all().await == AnswerEvent::End(60)
                    && caller.text() == text::answer(&format!("load {number}"), 60);
                counts =
                    if is_complete { (counts.0 + 1, counts.1) } else { (counts.0, counts.1 + 1) };
            }
            counts
        }));
    }
    for index in 0..fleet.instances.len() {
        stop(&mut fleet, index).await;
        fleet.start_instance(index).unwrap();
        fleet.wait_ready().await;
    }
    is_stopped.store(true, Ordering::SeqCst);
    for load in loads {
        let (complete, incomplete) = load.await;
        assert!(complete > 0);
        assert_eq!(incomplete, 0, "answers cut off while instances were restarted");
    }
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn late_requests() {
    // Callers send before and throughout the shutdown, and each gets an answer until connections
    // are refused.
    let fleet = start_fleet("late-requests").await;
    let address = fleet.instances[0].caller_address;
    let callers: Vec<_> = (0..LATE_CALLERS)
        .map(|_| {
            task::spawn(async move {
                let mut answer_count = 0;
                loop {
                    match complete(address, &completion("late", 4, false)).await {
                        Ok(_) => answer_count += 1,
                        Err(CallError::NotSent { .. }) => return answer_count,
                        Err(error) => {
                            panic!("no answer after {answer_count} answers: {error}")
                        }
                    }
                }
            })
        })
        .collect();
    complete(address, &completion("first", 4, false)).await.unwrap();
    fleet.instances[0].signal("TERM");
    let mut answer_count = 0;
    for caller in callers {
        answer_count += caller.await;
    }
    assert!(answer_count > 0);
}
