//! The platform's versioned configuration: document, checks, time windows, patches and history.

pub mod check;
mod check_adapters;
mod check_memory;
mod check_routes;
mod check_targets;
pub mod document;
pub mod entry_patch;
pub mod error;
pub mod history;
pub mod key_path;
pub mod lines;
pub mod patch;
pub mod role_schedule;
pub mod window;

pub use check::{parse_document, parse_value};
pub use document::{Configuration, ServerRole};
pub use error::ConfigError;
pub use history::{Change, ConfigHistory};
pub use key_path::KeyPath;
pub use patch::{PatchError, PatchFile};
