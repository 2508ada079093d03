//! Taking orders.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};
use turmericrail_core::placement::EngineOrder;

use crate::engine::{Shared, admit};

pub(super) async fn take_order(mut request: Request<Shared>) -> tide::Result {
    let order: EngineOrder = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let is_obeyed = inner.state().orders.obey(order);
    Ok(Response::new(if is_obeyed { StatusCode::Ok } else { StatusCode::Conflict }))
}
