//! Graceful shutdown.
//!
//! The load balancer needs some time to notice that the instance isn't ready, and connections that
//! it forwards until then are still served. After that the listener closes, and connections without
//! a request some time later: one may be under way to them. The process ends with its last
//! connection, or shortly before its grace period is over; requests that are not answered by then
//! are told that their call may have run.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;
use turmericrail_core::units::Millis;

use super::clock;
use super::shared::Shared;
use crate::accept_loop::AcceptLoop;
use crate::signals::SignalListener;

/// Time in which the load balancer notices that the instance isn't ready: two readiness checks, one
/// second apart, and the network delay. Later requests are refused, since their answers might not
/// fit into the grace period.
const BALANCER_NOTICE_MS: Millis = Millis(2_800);
/// Time after that for which late connections are still accepted and their requests refused.
const REFUSAL_PERIOD_MS: Millis = Millis(1_000);
/// Part of the grace period that is kept for the last answers.
const END_MARGIN_MS: Millis = Millis(700);
/// Longest time for these; the rest is kept for the end of the process.
const LAST_ANSWERS_MS: Millis = Millis(300);
/// Time between checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for the stop signal and shuts down.
pub async fn run(
    shared: &Arc<Shared>,
    mut stop_signal: SignalListener,
    listener: AcceptLoop,
    handover_listener: Option<AcceptLoop>,
) {
    stop_signal.wait().await;
    let signalled_ms = clock::now_ms();
    shared.begin_shutdown();
    spdlog::info!("event=shutdown calls={} connections={}", shared.calls(), shared.connections());
    task::sleep(Duration::from_millis(BALANCER_NOTICE_MS.0)).await;
    shared.refuse_requests();
    task::sleep(Duration::from_millis(REFUSAL_PERIOD_MS.0)).await;
    let stopping_handover = async {
        if let Some(listener) = handover_listener {
            listener.stop().await;
        }
    };
    future::zip(listener.stop(), stopping_handover).await;
    shared.idle_close.give();
    let end_ms = signalled_ms + shared.settings().grace_ms.saturating_sub(END_MARGIN_MS);
    wait_for_last_connection(shared, end_ms).await;
    if shared.connections() > 0 {
        let (calls, connections) = (shared.calls(), shared.connections());
        spdlog::warn!("event=last_answers calls={calls} connections={connections}");
        shared.last_answers.give();
        wait_for_last_connection(shared, end_ms + LAST_ANSWERS_MS).await;
    }
}

async fn wait_for_last_connection(shared: &Shared, end_ms: Millis) {
    while shared.connections() > 0 && clock::now_ms() < end_ms {
        task::sleep(POLL_INTERVAL).await;
    }
}
