//! Look-up of tenants by API key in one configuration version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use thiserror::Error;

use super::{ApiKey, Tenant};
use crate::ids::TenantId;

/// Why the tenants of a configuration are invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("tenant {tenant} is listed twice: rename one")]
    DuplicateName { tenant: TenantId },
    /// Two tenants hold the same key, which isn't printed.
    #[error("tenants {first} and {second} hold the same API key: remove it from one")]
    SharedKey { first: TenantId, second: TenantId },
    /// A rate or burst can't be used.
    #[error("tenant {tenant}: {field} is not a finite number of at least 0")]
    BadCap { tenant: TenantId, field: &'static str },
}

/// The tenants of one configuration version and their keys.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    tenants: BTreeMap<TenantId, Arc<Tenant>>,
    by_key: BTreeMap<ApiKey, Arc<Tenant>>,
    /// Priorities of the tenants; `None` stands for those without one.
    priorities: BTreeSet<Option<u8>>,
}

impl TenantTable {
    /// Validates the tenants and indexes their keys. A tenant may have no keys.
    pub fn new(tenants: Vec<(Tenant, Vec<ApiKey>)>) -> Result<Self, TenantError> {
        let mut table = Self::default();
        for (tenant, keys) in tenants {
            check_cap(&tenant)?;
            table.priorities.insert(tenant.priority);
            let tenant = Arc::new(tenant);
            if table.tenants.insert(tenant.name.clone(), Arc::clone(&tenant)).is_some() {
                return Err(TenantError::DuplicateName { tenant: tenant.name.clone() });
            }
            for key in keys {
                let holder = table.by_key.insert(key, Arc::clone(&tenant));
                let Some(first) = holder.filter(|holder| holder.name != tenant.name) else {
                    continue;
                };
                let (first, second) = (first.name.clone(), tenant.name.clone());
                return Err(TenantError::SharedKey { first, second });
            }
        }
        Ok(table)
    }

    /// The tenant that holds a key.
    pub fn find(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &TenantId) -> Option<&Arc<Tenant>> {
        self.tenants.get(name)
    }

    /// All tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// All keys with the tenants that hold them.
    pub fn keys(&self) -> impl Iterator<Item = (&ApiKey, &Arc<Tenant>)> {
        self.by_key.iter()
    }

    /// Number of tenants.
    pub fn count(&self) -> usize {
        self.tenants.len()
    }

    /// The different priorities of the tenants; `None` if some tenant has none.
    pub fn priorities(&self) -> impl Iterator<Item = Option<u8>> {
        self.priorities.iter().copied()
    }
}

fn check_cap(tenant: &Tenant) -> Result<(), TenantError> {
    let Some(cap) = tenant.usage_cap else {
        return Ok(());
    };
    for (field, value) in [("the rate", cap.rate_per_s), ("the burst", cap.burst)] {
        if !value.is_finite() || value < 0.0 {
            return Err(TenantError::BadCap { tenant: tenant.name.clone(), field });
        }
    }
    Ok(())
}
