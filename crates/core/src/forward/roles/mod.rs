//! Orders that change the roles of engines.

pub mod order_right;
mod role_conversion;
mod role_load;

pub use role_load::RoleLoad;
