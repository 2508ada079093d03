//! Calls to backend servers, with one module for each kind of call.

pub mod engine;
pub mod orders;
pub mod plain;
mod refused_answers;
pub mod tokens;
