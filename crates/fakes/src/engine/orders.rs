//! `POST /orders`: role changes and loading of weights.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};
use turmericrail_core::placement::EngineOrder;

use crate::engine::{Shared, fail_if_down};

pub(super) async fn handle_order(mut request: Request<Shared>) -> tide::Result {
    let order: EngineOrder = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    let is_accepted = inner.state().orders.apply(order);
    Ok(Response::new(if is_accepted { StatusCode::Ok } else { StatusCode::Conflict }))
}
