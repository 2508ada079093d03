//! Differences between two forwarding configurations, with defaults filled in. Their versions are
//! not compared, nor routes without effect. Of keys only numbers are shown.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value, json};
use turmericrail_core::forward::{ApiKey, Route, RouteTable, Service, Tenant, UsageCap, UsageUnit};
use turmericrail_core::ids::TenantId;

use crate::commands::diff::{Difference, differences};

type KeysByTenant<'a> = BTreeMap<&'a TenantId, BTreeSet<&'a ApiKey>>;

/// Differences of limits, routes, services and tenants.
pub fn route_differences(before: &RouteTable, after: &RouteTable) -> Vec<Difference> {
    let (old_keys, new_keys) = (keys_by_tenant(before), keys_by_tenant(after));
    let mut found = differences(&document(before, &old_keys), &document(after, &new_keys));
    // Replaced keys leave the number of keys unchanged.
    for (tenant, keys) in &new_keys {
        let Some(known) = old_keys.get(tenant) else {
            continue;
        };
        let new_count = keys.difference(known).count();
        if new_count == 0 {
            continue;
        }
        let path = format!("tenants.{tenant}.new_key_count");
        found.push(Difference { path, before: None, after: Some(new_count.into()) });
    }
    found
}

fn keys_by_tenant(table: &RouteTable) -> KeysByTenant<'_> {
    let mut by_tenant = KeysByTenant::new();
    for (key, tenant) in table.tenants().into_iter().flat_map(|tenants| tenants.keys()) {
        by_tenant.entry(&tenant.name).or_default().insert(key);
    }
    by_tenant
}

fn document(table: &RouteTable, keys: &KeysByTenant<'_>) -> Value {
    let limits = table.limits();
    let routes: Map<_, _> = table.routes().map(|route| route_entry(route)).collect();
    let services: Map<_, _> = table.services().map(service_entry).collect();
    // No tenants at all and an empty list differ: only the latter demands keys.
    let tenants = table.tenants().map(|tenants| {
        let entry = |tenant| tenant_entry(tenant, keys);
        tenants.tenants().map(|tenant| entry(tenant)).collect::<Map<_, _>>()
    });
    json!({
        "limits": {
            "max_header_bytes": limits.max_header_bytes,
            "max_body_bytes": limits.max_body_bytes,
            "header_timeout_ms": limits.header_timeout_ms,
            "idle_timeout_ms": limits.idle_timeout_ms,
        },
        "routes": routes,
        "services": services,
        "tenants": tenants,
    })
}

/// A route under its host and path prefix, which are unique in contrast to its name.
fn route_entry(route: &Route) -> (String, Value) {
    let shares: Vec<_> = route
        .services
        .iter()
        .map(|weighted| json!({"service": weighted.service, "weight": weighted.weight}))
        .collect();
    let value = json!({
        "name": route.name,
        "kind": route.kind.as_str(),
        "max_attempts": route.max_attempts,
        "timeout_ms": route.timeout_ms,
        "target_ms": route.target_ms,
        "gap_target_ms": route.gap_target_ms,
        "priority": route.priority,
        "is_public": route.is_public,
        "services": shares,
    });
    (format!("{}{}", route.host, route.path_prefix), value)
}

fn service_entry(service: &Service) -> (String, Value) {
    let engine = service.engine.map(|engine| {
        json!({
            "max_batch_requests": engine.max_batch_requests,
            "kv_tokens": engine.kv_tokens,
            "handle_ttl_ms": engine.handle_ttl_ms,
            "max_reservation_ms": engine.max_reservation_ms,
        })
    });
    let value = json!({"max_connections": service.max_connections, "engine": engine});
    (service.name.to_string(), value)
}

fn tenant_entry(tenant: &Tenant, keys: &KeysByTenant<'_>) -> (String, Value) {
    let value = json!({
        "priority": tenant.priority,
        "cap": tenant.usage_cap.map(cap_value),
        "key_count": keys.get(&tenant.name).map_or(0, BTreeSet::len),
    });
    (tenant.name.to_string(), value)
}

fn cap_value(cap: UsageCap) -> Value {
    let (unit, plain_tokens) = match cap.unit {
        UsageUnit::Requests => ("requests", None),
        UsageUnit::Tokens { plain } => ("tokens", Some(plain)),
    };
    json!({
        "rate_per_s": cap.rate_per_s,
        "burst": cap.burst,
        "unit": unit,
        "plain_request_tokens": plain_tokens,
    })
}
