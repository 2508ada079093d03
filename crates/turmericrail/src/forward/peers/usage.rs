//! Admits requests under the usage caps of their tenants.
//!
//! One instance is the coordinator of each tenant. Where the tenant was far below its cap a moment
//! ago, a request is admitted at once and reported afterwards (`usage_reports`); where it was far
//! below at the last reply, the coordinator is asked while the request goes on up to its first call
//! of a server that runs it; else the request waits for the reply. Requests of tenants without a
//! cap pass untouched.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use async_std::task;
use tonic::transport::Channel;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{CoordinatorOrder, Member, UsageCaps, UsageDecision, UsageTerms};
use turmericrail_core::ids::TenantId;
use turmericrail_core::units::Millis;
use turmericrail_wire::relay as wire;
use turmericrail_wire::relay::relay_client::RelayClient;

use super::relay_members;
use super::usage_calls::{self, UsageCallEnd};
use super::usage_grant::{UsageClaim, UsageGrant};
use super::usage_reports;
use crate::forward::callers::dispatch::Refusal;
use crate::forward::calls::call_context::CallContext;
use crate::forward::clock;
use crate::forward::settings::ForwardSettings;
use crate::forward::shared::Shared;

/// Members that are asked for one request before it is decided alone.
const MAX_CALLS: usize = 3;

/// The usage caps, and connections to other coordinators.
pub struct UsageState {
    caps: Mutex<UsageCaps>,
    /// Order of the coordinators by tenant, with the number of the members' change it was made at.
    orders: Mutex<BTreeMap<TenantId, (u64, Arc<CoordinatorOrder>)>>,
    pub clients: Mutex<BTreeMap<SocketAddr, RelayClient<Channel>>>,
    /// Tenants for which a task reports usage.
    pub reporting: Mutex<BTreeSet<TenantId>>,
    /// The same for what this instance counts in the place of a better coordinator.
    pub deputy_reporting: Mutex<BTreeSet<TenantId>>,
    /// Held while this instance becomes a coordinator.
    pub starting: async_std::sync::Mutex<()>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| std::process::abort())
}

impl UsageState {
    /// The state of an instance that has just started.
    pub fn new(settings: &ForwardSettings) -> Self {
        let own = relay_members::own_member(settings);
        Self {
            caps: Mutex::new(UsageCaps::new(clock::now_ms(), own, fastrand::u64(1..))),
            orders: Mutex::default(),
            clients: Mutex::default(),
            reporting: Mutex::default(),
            deputy_reporting: Mutex::default(),
            starting: async_std::sync::Mutex::new(()),
        }
    }

    /// Locks the caps; to be held for one decision only.
    pub fn caps(&self) -> MutexGuard<'_, UsageCaps> {
        lock(&self.caps)
    }
}

/// The members that may be a tenant's coordinator, best first.
pub fn order(shared: &Shared, tenant: &TenantId) -> Arc<CoordinatorOrder> {
    let change_count = shared.relay.members().change_count();
    let known = lock(&shared.usage.orders).get(tenant).cloned();
    if let Some((_, order)) = known.filter(|(count, _)| *count == change_count) {
        return order;
    }
    let members = relay_members::list_members(shared);
    let order = Arc::new(CoordinatorOrder::new(tenant, members.members()));
    lock(&shared.usage.orders).insert(tenant.clone(), (change_count, Arc::clone(&order)));
    order
}

/// The cap of a tenant in the configuration in force.
pub fn terms(shared: &Shared, tenant: &TenantId) -> Option<UsageTerms> {
    let forwarder = shared.forwarder();
    let table = forwarder.table()?;
    let cap = table.tenants()?.tenant(tenant)?.usage_cap?;
    Some(UsageTerms::new(&cap, table.version()))
}

/// Admits a request, or refuses it if its tenant has used up its cap.
pub async fn admit(context: &CallContext<'_>) -> Result<UsageGrant, Refusal> {
    let Some((tenant, cap)) = context.tenant.and_then(|tenant| Some((tenant, tenant.usage_cap?)))
    else {
        return Ok(UsageGrant::default());
    };
    let shared = context.shared;
    let terms = UsageTerms::new(&cap, context.table.version());
    let units = cap.cost(context.request.metadata.model_call_size);
    let claim = UsageClaim::new(shared, &tenant.name, units);
    let decision = shared.usage.caps().decide(clock::now_ms(), &tenant.name, &terms, units);
    match decision {
        UsageDecision::Admitted => {
            claim.decide(Ok(()));
            usage_reports::schedule(shared, &tenant.name);
        }
        UsageDecision::Refused(wait_ms) => {
            return Err(refuse(shared, &tenant.name, &terms, wait_ms, "last_reply"));
        }
        UsageDecision::AskMeanwhile => spawn_question(shared, &claim, terms),
        UsageDecision::AskFirst => {
            spawn_question(shared, &claim, terms);
            claim.outcome().await?;
        }
    }
    Ok(UsageGrant::new(claim))
}

/// Asks in a task of its own, so that what is granted counts or is given back even if the caller
/// leaves before the reply.
fn spawn_question(shared: &Arc<Shared>, claim: &Arc<UsageClaim>, terms: UsageTerms) {
    let (shared, claim) = (Arc::clone(shared), Arc::clone(claim));
    task::spawn(async move {
        claim.decide(ask(&shared, claim.tenant(), terms, claim.units()).await);
    });
}

/// Asks the coordinator, or the members that stand in for it. Where none replies, this instance
/// decides by its share of the cap.
async fn ask(
    shared: &Arc<Shared>,
    tenant: &TenantId,
    terms: UsageTerms,
    units: f64,
) -> Result<(), Refusal> {
    let mut redirect: Option<Member> = None;
    for _ in 0..MAX_CALLS {
        let order = order(shared, tenant);
        let now_ms = clock::now_ms();
        let chosen = shared.usage.caps().choose(now_ms, &order).cloned();
        let Some(member) = redirect.take().or(chosen) else {
            break;
        };
        let question = shared.usage.caps().question(now_ms, tenant, terms, &member.instance, units);
        match usage_calls::call(shared, &member, question).await {
            UsageCallEnd::Replied(reply) if reply.is_granted => return Ok(()),
            UsageCallEnd::Replied(reply) => {
                let decided_by = member.instance.as_str();
                return Err(refuse(shared, tenant, &terms, reply.wait_ms, decided_by));
            }
            UsageCallEnd::Redirected(member) => redirect = Some(member),
            UsageCallEnd::Failed => {}
        }
    }
    let order = order(shared, tenant);
    let now_ms = clock::now_ms();
    let decided = shared.usage.caps().decide_alone(now_ms, tenant, &terms, units, &order);
    match decided {
        Ok(()) => {
            usage_reports::schedule(shared, tenant);
            Ok(())
        }
        Err(wait_ms) => Err(refuse(shared, tenant, &terms, wait_ms, "own_share")),
    }
}

fn refuse(
    shared: &Shared,
    tenant: &TenantId,
    terms: &UsageTerms,
    wait_ms: Millis,
    decided_by: &str,
) -> Refusal {
    shared.metrics.usage_refused.with_label_values(&[tenant.as_str()]).inc();
    let now_ms = clock::now_ms();
    let stated = shared.usage.caps().view(now_ms, tenant).stated(now_ms);
    spdlog::info!(
        "event=usage_refused tenant={tenant} level={} cap={:.0} decided_by={decided_by} \
         retry_after_ms={}",
        stated.map_or_else(|| "none".to_owned(), |(level, _)| format!("{level:.0}")),
        terms.rate_per_s,
        wait_ms.0
    );
    Refusal { kind: ErrorKind::UsageCapReached, retry_after_ms: Some(wait_ms) }
}

/// Gives back the usage of a request that was sent to no server.
pub fn give_back(shared: &Arc<Shared>, tenant: &TenantId, units: f64) {
    let now_ms = clock::now_ms();
    shared.usage.caps().view(now_ms, tenant).reports().add(now_ms, -units);
    usage_reports::schedule(shared, tenant);
}

/// Records a message of another instance.
pub fn record_contact(shared: &Shared, sender: Option<&wire::Member>) {
    let Some(member) = sender.and_then(relay_members::member_from_wire) else {
        return;
    };
    let mut caps = shared.usage.caps();
    caps.record_exchange();
    caps.members().record_contact(clock::now_ms(), &member.instance, &member.data_centre);
}

/// Records an exchange with the member at an address.
pub fn record_exchange(shared: &Shared, address: SocketAddr) {
    let now_ms = clock::now_ms();
    let members = shared.relay.members().list(now_ms);
    let mut caps = shared.usage.caps();
    caps.record_exchange();
    if let Some(member) = members.iter().find(|member| member.address == address) {
        caps.members().record_contact(now_ms, &member.instance, &member.data_centre);
    }
}

/// Drops the state of tenants without a cap.
pub fn expire(shared: &Arc<Shared>) {
    let table = shared.forwarder().table().cloned();
    let tenants = table.as_ref().and_then(|table| table.tenants());
    let has_cap = |tenant: &TenantId| {
        tenants
            .and_then(|tenants| tenants.tenant(tenant))
            .is_some_and(|tenant| tenant.usage_cap.is_some())
    };
    shared.usage.caps().expire(clock::now_ms(), has_cap);
    let coordinated: Vec<_> =
        shared.usage.caps().levels().map(|(tenant, _)| tenant.clone()).collect();
    coordinated.iter().for_each(|tenant| usage_reports::schedule_deputy(shared, tenant));
    lock(&shared.usage.orders).retain(|tenant, _| has_cap(tenant));
    let members = shared.relay.members().list(clock::now_ms());
    let is_member = |address: &SocketAddr| members.iter().any(|it| it.address == *address);
    lock(&shared.usage.clients).retain(|address, _| is_member(address));
}

/// Puts the levels of the tenants that this instance coordinates in the metrics.
pub fn observe_levels(shared: &Shared) {
    let gauge = &shared.metrics.usage_level;
    gauge.reset();
    for (tenant, level) in shared.usage.caps().levels() {
        gauge.with_label_values(&[tenant.as_str()]).set(level as i64);
    }
}
