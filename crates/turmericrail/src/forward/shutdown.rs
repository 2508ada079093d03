//! The end of the process, in order.
//!
//! The balancer needs some time to notice that the instance is not ready, and connections that it
//! has forwarded meanwhile are still served. Then the listener closes, idle connections close, and
//! the process ends with its last answer, or when its grace is nearly over.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use turmericrail_core::units::Millis;

use super::clock;
use super::shared::Shared;
use crate::signals::SignalListener;

/// Time in which the balancer notices: two questions, one a second, and some for the way. What
/// comes later is refused, since its answer might not fit into the grace.
const BALANCER_NOTICES_MS: Millis = Millis(2_800);
/// Time after that in which connections that are on their way are still told to go elsewhere.
const REFUSING_MS: Millis = Millis(1_000);
/// Part of the grace that is kept for the last bytes to leave.
const END_MARGIN_MS: Millis = Millis(500);
/// Time between looks at what is left.
const STEP: Duration = Duration::from_millis(50);

/// Waits for the order to end and ends in order.
pub async fn run(shared: &Arc<Shared>, mut ordered: SignalListener, listening: JoinHandle<()>) {
    ordered.wait().await;
    let ordered_ms = clock::now_ms();
    shared.leave();
    spdlog::info!("event=shutdown calls={} connections={}", shared.calls(), shared.connections());
    task::sleep(Duration::from_millis(BALANCER_NOTICES_MS.0)).await;
    shared.stop_work();
    task::sleep(Duration::from_millis(REFUSING_MS.0)).await;
    listening.cancel().await;
    shared.close_idle();
    let last_ms = ordered_ms + shared.settings().grace_ms.saturating_sub(END_MARGIN_MS);
    while shared.connections() > 0 && clock::now_ms() < last_ms {
        task::sleep(STEP).await;
    }
}
