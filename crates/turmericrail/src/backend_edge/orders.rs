//! Sends orders to engines: load or unload weights, change the role.
//!
//! An order is sent once. The engine's next load report shows whether it was carried out, so a lost
//! answer does no harm.

use std::time::Duration;

use turmericrail_core::action::ServerEndpoint;
use turmericrail_core::placement::EngineOrder;
use turmericrail_wire::client::Call;

const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends an order; a failure is only logged.
pub async fn send_order(target: ServerEndpoint, order: EngineOrder) {
    let answer = Call::post(target.address, "/orders", &order, ORDER_TIMEOUT).send().await;
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
