//! HTTP endpoints for the load balancer and for operators: readiness, health, metrics and status.

use std::sync::Arc;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::FutureExt;
use tide::{Request, Response, Server, StatusCode};
use turmericrail_core::caller_account::{AccountLimits, ConnectionPhase};
use turmericrail_core::forward::{LossCause, LossSubject, ServerState};
use turmericrail_core::units::Bytes;

use super::clock;
use super::peers::usage;
use super::shared::Shared;
use crate::accept_loop::{self, AcceptLoop};
use crate::caller_memory::{AccountMetrics, HeldConnection, SharedAccount};
use crate::error::StartError;
use crate::tcp_timeouts::log_refusal;

/// Connections to one address of the load balancer or the operators at the same time.
const MAX_CONNECTIONS: u64 = 32;

type OperatorRequest = Request<Arc<Shared>>;

/// Listens on the load balancer's and the operators' address until the returned loops are dropped.
pub async fn listen(shared: &Arc<Shared>) -> Result<Vec<AcceptLoop>, StartError> {
    let mut app = Server::with_state(Arc::clone(shared));
    app.at("/ready").get(ready);
    app.at("/health").get(|_: OperatorRequest| async { Ok(Response::new(StatusCode::Ok)) });
    app.at("/metrics").get(metrics);
    app.at("/status").get(status);
    let mut loops = Vec::new();
    for address in [shared.settings().ready_address, shared.settings().operator_address] {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| StartError::Listen { address, source })?;
        let app = app.clone();
        let limits = AccountLimits { max_bytes: Bytes(0), max_connections: MAX_CONNECTIONS };
        let account = Arc::new(SharedAccount::new(limits, AccountMetrics::default()));
        loops.push(accept_loop::start(listener, move |stream| {
            if let Ok(connection) = account.open(Bytes(0)) {
                task::spawn(serve(app.clone(), stream, connection));
            }
        }));
    }
    Ok(loops)
}

/// Serves the requests of a connection until it ends or gives way to a new one.
async fn serve(app: Server<Arc<Shared>>, stream: TcpStream, connection: Arc<HeldConnection>) {
    log_refusal(stream.set_nodelay(true));
    let serving = async_h1::accept(stream, |request| async {
        connection.set_phase(ConnectionPhase::Serving);
        let answer = app.respond(request).await;
        connection.set_phase(ConnectionPhase::Idle);
        answer
    });
    let evicted = async {
        connection.evicted().await;
        Ok(())
    };
    // A connection that fails concerns its client alone.
    let _ = serving.or(evicted).await;
}

async fn ready(request: OperatorRequest) -> tide::Result {
    let status = match request.state().is_ready() {
        true => StatusCode::Ok,
        false => StatusCode::ServiceUnavailable,
    };
    Ok(Response::new(status))
}

async fn metrics(request: OperatorRequest) -> tide::Result {
    let shared = request.state();
    let count = |state| {
        let forwarder = shared.forwarder();
        let servers = forwarder.registry().servers(clock::now_ms());
        servers.filter(|(_, entry)| entry.state == state).count() as i64
    };
    let metrics = &shared.metrics;
    metrics.servers.with_label_values(&["ready"]).set(count(ServerState::Ready));
    metrics.servers.with_label_values(&["draining"]).set(count(ServerState::Draining));
    metrics.instances.set(shared.relay.members().count() as i64);
    let causes = shared.forwarder().quarantine().causes().to_vec();
    let is_request = |cause: &&LossCause| matches!(cause.subject, LossSubject::Request(_));
    let requests = causes.iter().filter(is_request).count();
    metrics.quarantined_requests.set(requests as i64);
    metrics.quarantined_prompts.set((causes.len() - requests) as i64);
    usage::observe_levels(shared);
    let cut_off = shared.forwarder().cut_off_services();
    metrics.services_cut_off.set(cut_off as i64);
    metrics.store_lost.set(i64::from(shared.is_store_lost()));
    let body = metrics.render();
    Ok(Response::builder(200).content_type("text/plain; version=0.0.4").body(body).build())
}

async fn status(request: OperatorRequest) -> tide::Result {
    let shared = request.state();
    let forwarder = shared.forwarder();
    let servers: Vec<_> = forwarder
        .registry()
        .servers(clock::now_ms())
        .map(|(server, entry)| {
            serde_json::json!({
                "server": server,
                "service": entry.service,
                "address": entry.address,
                "data_centre": entry.data_centre,
                "role": entry.role,
                "state": format!("{:?}", entry.state).to_lowercase(),
            })
        })
        .collect();
    let body = serde_json::json!({
        "instance": shared.settings().instance,
        "is_ready": !shared.is_shutting_down() && forwarder.table().is_some(),
        "is_leaving": shared.is_shutting_down(),
        "config_version": forwarder.table().map(|table| table.version()),
        "registry_revision": forwarder.registry().revision(),
        "calls": shared.calls(),
        "connections": shared.connections(),
        "servers": servers,
    });
    Ok(Response::builder(200).body(body).build())
}
