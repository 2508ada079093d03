//! Cancellations.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};
use turmericrail_wire::engine::CancelBody;

use crate::engine::{Shared, admit};

pub(super) async fn cancel(mut request: Request<Shared>) -> tide::Result {
    let body: CancelBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let mut state = inner.state();
    let is_holder =
        state.streams.get(&body.stream).is_some_and(|stream| stream.holder == body.holder);
    if is_holder {
        state.waste(&body.stream);
    }
    Ok(Response::new(StatusCode::Ok))
}
