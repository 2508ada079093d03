//! One tenant of the configuration.

use super::UsageCap;
use crate::ids::TenantId;

/// A tenant: a customer whose callers share API keys, a rank and a usage cap.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as backend servers are told it.
    pub name: TenantId,
    /// Priority of its requests in place of their route's; zero is the most urgent.
    pub priority: Option<u8>,
    /// Limit on its use over all instances; `None` if there is none.
    pub usage_cap: Option<UsageCap>,
}
