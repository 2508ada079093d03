//! Findings of a forwarding configuration: entries without effect and limits that contradict each
//! other. Whatever makes a configuration invalid is found when it is decoded.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use turmericrail_core::forward::{Route, RouteTable, Tenant};

/// Least urgent priority that servers accept.
const MAX_PRIORITY: u8 = 9;

/// A mistake in a configuration; displayed as one line.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Kind and name of the entry; absent if the configuration could not be decoded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<String>,
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.entry {
            Some(entry) => write!(f, "{entry}: {}", self.problem),
            None => f.write_str(&self.problem),
        }
    }
}

/// Findings of the routes, then of the tenants.
pub fn findings(table: &RouteTable) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut names = BTreeSet::new();
    for route in table.routes().chain(table.duplicate_routes()) {
        let mut add = |problem| found.push(finding("route", &route.name, problem));
        if !names.insert(&route.name) {
            add("another route has this name".to_owned());
        }
        for problem in route_problems(route) {
            add(problem);
        }
    }
    for route in table.duplicate_routes() {
        let path_prefix = &route.path_prefix;
        let Some(winner) = table.find(&route.host, path_prefix) else {
            continue;
        };
        let problem = format!(
            "never matches: route {} before it has the same host and path prefix {path_prefix:?}",
            winner.name
        );
        found.push(finding("route", &route.name, problem));
    }
    let Some(tenants) = table.tenants() else {
        return found;
    };
    let with_keys: BTreeSet<_> = tenants.keys().map(|(_, tenant)| &tenant.name).collect();
    for tenant in tenants.tenants() {
        let no_key = !with_keys.contains(&tenant.name);
        let no_key = no_key.then(|| "has no key: no request can name it".to_owned());
        for problem in no_key.into_iter().chain(tenant_problems(tenant)) {
            found.push(finding("tenant", &tenant.name, problem));
        }
    }
    found
}

fn finding(kind: &str, name: impl fmt::Display, problem: String) -> Finding {
    Finding { entry: Some(format!("{kind} {name}")), problem }
}

fn route_problems(route: &Route) -> Vec<String> {
    let mut problems = Vec::new();
    if !route.path_prefix.starts_with('/') {
        problems.push(format!(
            "never matches: path prefix {:?} doesn't begin with a slash",
            route.path_prefix
        ));
    }
    for weighted in route.services.iter().filter(|weighted| weighted.weight == 0) {
        problems.push(format!("service {} has weight 0: it gets no calls", weighted.service));
    }
    for (name, target_ms) in [("target", route.target_ms), ("gap target", route.gap_target_ms)] {
        if route.timeout_ms < target_ms {
            problems.push(format!(
                "timeout of {} is below the {name} of {target_ms}",
                route.timeout_ms
            ));
        }
    }
    problems.extend(priority_problem(route.priority));
    problems
}

fn tenant_problems(tenant: &Tenant) -> Vec<String> {
    let mut problems = Vec::new();
    problems.extend(tenant.priority.and_then(priority_problem));
    if let Some(cap) = tenant.usage_cap {
        let cost = cap.cost(None);
        if cap.burst < cost {
            problems.push(format!(
                "cap allows {} at once, but one request without a stated size counts {cost}",
                cap.burst
            ));
        }
    }
    problems
}

fn priority_problem(priority: u8) -> Option<String> {
    (priority > MAX_PRIORITY)
        .then(|| format!("priority {priority} is not one of 0 to {MAX_PRIORITY}"))
}
