//! Tenants of the configuration: their API keys, ranks and usage caps.

mod api_key;
mod tenant;
mod tenant_table;
mod usage_cap;

pub use api_key::ApiKey;
pub use tenant::Tenant;
pub use tenant_table::{TenantError, TenantTable};
pub use usage_cap::{UsageCap, UsageUnit};
