//! Adapter for orders to engines.
//!
//! An order is written once. Whether it was obeyed is learned from the engine's next report, so
//! that a lost answer does no harm.

use std::time::Duration;

use turmericrail_core::action::ServerEndpoint;
use turmericrail_core::placement::EngineOrder;
use turmericrail_wire::client::Call;

/// Longest wait for the answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Gives an order.
pub async fn give(target: ServerEndpoint, order: EngineOrder) {
    let answer = Call::post(target.address, "/orders", &order, TIMEOUT).send().await;
    let problem = match answer {
        Ok((answer, _)) if answer.status().is_success() => return,
        Ok((answer, _)) => format!("status {}", answer.status() as u16),
        Err(error) => error.to_string(),
    };
    spdlog::warn!(
        "event=order_error server={} order={} fencing_number={} error={problem:?}",
        target.server,
        order.kind,
        order.fencing_number
    );
}
