//! Calls between the instances that keep usage caps, and their handling at coordinators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use tonic::transport::Channel;
use tonic::{Code, Request, Status};
use turmericrail_core::forward::{
    CoordinatorOrder, Member, UsageLevels, UsageReply, UsageRequest, UsageStep,
};
use turmericrail_core::ids::TenantId;
use turmericrail_wire::relay as wire;
use turmericrail_wire::relay::relay_client::RelayClient;

use super::relay;
use super::relay_members;
use super::usage::{self, lock};
use super::usage_messages;
use super::usage_reports;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Longest wait for a coordinator's reply; a usual one takes 1 to 3 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait of a new coordinator for the levels of others: its callers wait meanwhile.
const FETCH_TIMEOUT: Duration = Duration::from_millis(40);

/// How a call to a coordinator ended.
pub enum UsageCallEnd {
    Replied(UsageReply),
    /// Another member is the coordinator.
    Redirected(Member),
    Failed,
}

/// Sends a question or a report to a member, which may be this instance.
pub async fn call(shared: &Arc<Shared>, member: &Member, request: UsageRequest) -> UsageCallEnd {
    let is_own = member.instance == shared.settings().instance;
    let (step, is_timed_out) = if is_own {
        (Some(reserve(shared, &request).await), false)
    } else {
        let calling = send(shared, member.address, usage_messages::request_to_wire(&request));
        match async_std::future::timeout(CALL_TIMEOUT, calling).await {
            Ok(step) => (step.ok(), false),
            Err(_) => (None, true),
        }
    };
    let now_ms = clock::now_ms();
    match step {
        Some(UsageStep::Reply(reply)) => {
            shared.usage.caps().record_reply(now_ms, member, &request, &reply);
            UsageCallEnd::Replied(reply)
        }
        Some(UsageStep::Redirect(member)) => UsageCallEnd::Redirected(member),
        Some(UsageStep::Start(_) | UsageStep::Unable) | None => {
            if is_timed_out {
                lock(&shared.usage.clients).remove(&member.address);
            }
            let mut caps = shared.usage.caps();
            let was_suspect = caps.members().is_suspect(now_ms, &member.instance);
            caps.record_failure(now_ms, member, &request, is_timed_out);
            drop(caps);
            if !was_suspect && !is_own {
                let reason = if is_timed_out { "no_reply" } else { "unreachable" };
                log_coordinator(&request.tenant, member, reason);
            }
            UsageCallEnd::Failed
        }
    }
}

fn log_coordinator(tenant: &TenantId, member: &Member, reason: &str) {
    let instance = &member.instance;
    spdlog::info!("event=usage_coordinator tenant={tenant} instance={instance} reason={reason}");
}

async fn send(
    shared: &Arc<Shared>,
    address: SocketAddr,
    message: wire::ReserveUsageRequest,
) -> Result<UsageStep, Status> {
    let mut client = client(shared, address).await?;
    let reply = client.reserve_usage(Request::new(message)).await;
    if let Err(status) = &reply {
        // An instance of an earlier release doesn't know the call.
        if status.code() != Code::Unimplemented {
            lock(&shared.usage.clients).remove(&address);
        }
        spdlog::debug!("event=usage_call_failed peer={address} problem={:?}", status.message());
    }
    usage_messages::step_from_wire(reply?.into_inner())
}

/// A client with a connection to a member. The connection is made even if the caller stops waiting
/// for it, so that later calls find it.
async fn client(shared: &Arc<Shared>, address: SocketAddr) -> Result<RelayClient<Channel>, Status> {
    if let Some(client) = lock(&shared.usage.clients).get(&address) {
        return Ok(client.clone());
    }
    let shared = Arc::clone(shared);
    let connecting = task::spawn(async move {
        let client = relay::connect(address).await?;
        lock(&shared.usage.clients).insert(address, client.clone());
        Ok(client)
    });
    connecting.await
}

/// Handles a question or a report; becomes the coordinator first if this instance is to be it.
pub async fn reserve(shared: &Arc<Shared>, request: &UsageRequest) -> UsageStep {
    let order = usage::order(shared, &request.tenant);
    let decide = || shared.usage.caps().reserve(clock::now_ms(), &order, request);
    let mut step = decide();
    if matches!(step, UsageStep::Start(_)) {
        let _starting = shared.usage.starting.lock().await;
        // Another call may have started it meanwhile.
        step = decide();
        if let UsageStep::Start(predecessors) = &step {
            let levels = fetch_levels(shared, &request.tenant, predecessors).await;
            step = UsageStep::Reply(start(shared, &order, request, levels));
        }
    }
    usage_reports::schedule_deputy(shared, &request.tenant);
    step
}

fn start(
    shared: &Shared,
    order: &CoordinatorOrder,
    request: &UsageRequest,
    levels: Vec<UsageLevels>,
) -> UsageReply {
    let instance = &shared.settings().instance;
    spdlog::info!(
        "event=usage_coordinator tenant={} instance={instance} reason={} replies={}",
        request.tenant,
        if order.is_first(instance) { "first" } else { "deputy" },
        levels.len()
    );
    shared.usage.caps().start(clock::now_ms(), order, request, levels)
}

/// Asks members for their levels of a tenant, all at once.
async fn fetch_levels(
    shared: &Arc<Shared>,
    tenant: &TenantId,
    members: &[Member],
) -> Vec<UsageLevels> {
    let mut fetches = Vec::new();
    for member in members {
        let (shared, address) = (Arc::clone(shared), member.address);
        let message = wire::FetchUsageRequest {
            tenant: tenant.to_string(),
            sender: Some(relay_members::own_to_wire(&shared)),
        };
        fetches.push(task::spawn(async move {
            let fetching = async {
                let mut client = client(&shared, address).await?;
                client.fetch_usage(Request::new(message)).await
            };
            async_std::future::timeout(FETCH_TIMEOUT, fetching).await
        }));
    }
    let mut levels = Vec::new();
    for fetch in fetches {
        if let Ok(Ok(reply)) = fetch.await {
            levels.push(usage_messages::levels_from_wire(reply.get_ref()));
        }
    }
    levels
}

/// Answers a question or a report of another instance.
pub async fn answer(
    shared: &Arc<Shared>,
    message: wire::ReserveUsageRequest,
) -> Result<wire::ReserveUsageReply, Status> {
    let request = usage_messages::request_from_wire(message)?;
    Ok(usage_messages::step_to_wire(reserve(shared, &request).await))
}

/// Answers an instance that becomes the coordinator of a tenant.
pub fn answer_fetch(
    shared: &Shared,
    message: &wire::FetchUsageRequest,
) -> Result<wire::FetchUsageReply, Status> {
    let malformed = || Status::invalid_argument("a field of the usage message can't be used");
    let tenant: TenantId = message.tenant.parse().map_err(|_| malformed())?;
    let sender = message.sender.as_ref().and_then(relay_members::member_from_wire);
    let sender = sender.ok_or_else(malformed)?;
    relay_members::merge_members(shared, message.sender.iter());
    usage::record_contact(shared, message.sender.as_ref());
    let order = usage::order(shared, &tenant);
    let now_ms = clock::now_ms();
    let mut caps = shared.usage.caps();
    let levels = caps.levels_for(now_ms, &order, &tenant, &sender.instance);
    drop(caps);
    if levels.own.is_some() && order.is_before(&sender.instance, &shared.settings().instance) {
        log_coordinator(&tenant, &sender, "handed_over");
    }
    Ok(usage_messages::levels_to_wire(&levels))
}
