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
use super::shutdown_times::ShutdownTimes;
use crate::accept_loop::AcceptLoop;
use crate::signals::SignalListener;

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
    let times = ShutdownTimes::within(shared.settings().grace_ms);
    sleep_until(signalled_ms + times.refusal_ms).await;
    shared.refuse_requests();
    sleep_until(signalled_ms + times.close_ms).await;
    let stopping_handover = async {
        if let Some(listener) = handover_listener {
            listener.stop().await;
        }
    };
    future::zip(listener.stop(), stopping_handover).await;
    shared.idle_close.give();
    wait_for_last_connection(shared, signalled_ms + times.last_answers_ms).await;
    if shared.connections() > 0 {
        let (calls, connections) = (shared.calls(), shared.connections());
        spdlog::warn!("event=last_answers calls={calls} connections={connections}");
        shared.last_answers.give();
        wait_for_last_connection(shared, signalled_ms + times.end_ms).await;
    }
}

async fn sleep_until(time_ms: Millis) {
    task::sleep(Duration::from_millis(time_ms.saturating_sub(clock::now_ms()).0)).await;
}

async fn wait_for_last_connection(shared: &Shared, end_ms: Millis) {
    while shared.connections() > 0 && clock::now_ms() < end_ms {
        task::sleep(POLL_INTERVAL).await;
    }
}
