//! Pages for operators and the load balancer: health, readiness, metrics, status and decisions.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};

use super::reply;
use crate::daemon::Shared;

pub async fn health(_request: Request<Arc<Shared>>) -> tide::Result {
    Ok(Response::new(StatusCode::Ok))
}

pub async fn ready(request: Request<Arc<Shared>>) -> tide::Result {
    let status = match request.state().node().is_ready() {
        true => StatusCode::Ok,
        false => StatusCode::ServiceUnavailable,
    };
    Ok(Response::new(status))
}

pub async fn metrics(request: Request<Arc<Shared>>) -> tide::Result {
    let shared = request.state();
    let (in_force, rejected) = {
        let node = shared.node();
        (node.config_version(), node.rejected_config_version())
    };
    shared.metrics.config_version.set(in_force.0 as i64);
    shared.metrics.rejected_config_version.set(rejected.0 as i64);
    let body = shared.metrics.render();
    Ok(Response::builder(200).content_type("text/plain; version=0.0.4").body(body).build())
}

pub async fn status(request: Request<Arc<Shared>>) -> tide::Result {
    let status = request.state().node().status();
    reply::json(&status)
}

pub async fn decisions(request: Request<Arc<Shared>>) -> tide::Result {
    let wanted = request.param("request").ok().and_then(|text| text.parse().ok());
    match wanted.and_then(|id| request.state().decisions.of_request(id)) {
        Some(decisions) => reply::json(&decisions),
        None => Ok(Response::new(StatusCode::NotFound)),
    }
}
