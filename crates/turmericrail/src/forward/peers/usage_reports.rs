//! Reports usage to coordinators in the background.
//!
//! A task for each tenant sends the sum of what was admitted since the last report, for as long as
//! there is something to report. The first report goes at once.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::ids::TenantId;

use super::usage::{self, lock};
use super::usage_calls::{self, UsageCallEnd};
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Reports what this instance has admitted, unless that is under way.
pub fn schedule(shared: &Arc<Shared>, tenant: &TenantId) {
    let is_new = lock(&shared.usage.reporting).insert(tenant.clone());
    if is_new {
        task::spawn(report(Arc::clone(shared), tenant.clone()));
    }
}

async fn report(shared: Arc<Shared>, tenant: TenantId) {
    loop {
        let now_ms = clock::now_ms();
        let due_ms = {
            let mut reporting = lock(&shared.usage.reporting);
            let due_ms = shared.usage.caps().view(now_ms, &tenant).reports().due_in_ms(now_ms);
            if due_ms.is_none() {
                reporting.remove(&tenant);
            }
            due_ms
        };
        let Some(due_ms) = due_ms else {
            return;
        };
        task::sleep(Duration::from_millis(due_ms.0)).await;
        send(&shared, &tenant).await;
    }
}

async fn send(shared: &Arc<Shared>, tenant: &TenantId) {
    let order = usage::order(shared, tenant);
    let now_ms = clock::now_ms();
    let Some(terms) = usage::terms(shared, tenant) else {
        // The cap was removed.
        let mut caps = shared.usage.caps();
        caps.view(now_ms, tenant).reports().take(now_ms);
        caps.view(now_ms, tenant).reports().confirm(now_ms);
        return;
    };
    let member = shared.usage.caps().choose(now_ms, &order).cloned();
    let Some(mut member) = member else {
        shared.usage.caps().view(now_ms, tenant).reports().keep_failed(now_ms);
        return;
    };
    let request = shared.usage.caps().report(now_ms, tenant, terms, &member.instance);
    let mut end = usage_calls::call(shared, &member, request.clone()).await;
    if let UsageCallEnd::Redirected(successor) = end {
        member = successor;
        end = usage_calls::call(shared, &member, request).await;
    }
    let now_ms = clock::now_ms();
    let mut caps = shared.usage.caps();
    let reports = caps.view(now_ms, tenant).reports();
    match end {
        UsageCallEnd::Replied(_) => reports.confirm(now_ms),
        UsageCallEnd::Redirected(_) | UsageCallEnd::Failed => reports.keep_failed(now_ms),
    }
}

/// Reports what this instance counts in the place of a better coordinator, unless that is under
/// way.
pub fn schedule_deputy(shared: &Arc<Shared>, tenant: &TenantId) {
    let order = usage::order(shared, tenant);
    let now_ms = clock::now_ms();
    let due = shared.usage.caps().deputy_report_due_in_ms(now_ms, &order, tenant).is_some();
    if due && lock(&shared.usage.deputy_reporting).insert(tenant.clone()) {
        task::spawn(report_as_deputy(Arc::clone(shared), tenant.clone()));
    }
}

async fn report_as_deputy(shared: Arc<Shared>, tenant: TenantId) {
    loop {
        let order = usage::order(&shared, &tenant);
        let now_ms = clock::now_ms();
        let due = {
            let mut reporting = lock(&shared.usage.deputy_reporting);
            let mut caps = shared.usage.caps();
            let due = caps.deputy_report_due_in_ms(now_ms, &order, &tenant);
            if due.is_none() {
                reporting.remove(&tenant);
            }
            due
        };
        let Some((better, due_ms)) = due else {
            return;
        };
        task::sleep(Duration::from_millis(due_ms.0)).await;
        let terms = usage::terms(&shared, &tenant);
        let now_ms = clock::now_ms();
        let request =
            terms.and_then(|terms| shared.usage.caps().deputy_report(now_ms, &tenant, terms));
        let Some(request) = request else {
            lock(&shared.usage.deputy_reporting).remove(&tenant);
            return;
        };
        let end = usage_calls::call(&shared, better, request).await;
        let now_ms = clock::now_ms();
        let mut caps = shared.usage.caps();
        let Some(coordinator) = caps.coordinator(&tenant) else {
            continue;
        };
        match end {
            UsageCallEnd::Replied(_) => coordinator.reports().confirm(now_ms),
            UsageCallEnd::Redirected(_) | UsageCallEnd::Failed => {
                coordinator.reports().keep_failed(now_ms);
            }
        }
    }
}
