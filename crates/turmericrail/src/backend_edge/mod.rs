//! Calls to backend servers, one adapter a file.

pub mod engine;
pub mod orders;
pub mod plain;
pub mod tokens;
