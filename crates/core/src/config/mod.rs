//! The platform's numbered configuration: its document, checks, time windows and patches.

pub mod check;
pub mod document;
pub mod history;
pub mod window;

pub use check::{ConfigError, parse_document, parse_value};
pub use document::Configuration;
pub use history::{Change, ConfigHistory};
