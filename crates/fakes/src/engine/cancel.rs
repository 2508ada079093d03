//! `POST /cancel`: frees the memory of a stream if the caller is its holder.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};
use turmericrail_wire::engine::CancelBody;

use crate::engine::{Shared, fail_if_down};

pub(super) async fn cancel(mut request: Request<Shared>) -> tide::Result {
    let body: CancelBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    let mut state = inner.state();
    let is_holder =
        state.streams.get(&body.stream).is_some_and(|stream| stream.holder == body.holder);
    if is_holder {
        state.discard(&body.stream);
    }
    Ok(Response::new(StatusCode::Ok))
}
