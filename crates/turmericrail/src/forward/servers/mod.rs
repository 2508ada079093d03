//! The side of the backend servers: connections, exchanges and control calls.

pub mod answer_body;
pub mod answer_fault;
pub mod call_bytes;
pub mod call_key;
pub mod connection_pool;
pub mod control_call;
pub mod exchange;
pub mod refused_answers;
pub mod role_orders;
pub mod sent_call;
pub mod server_calls;
pub mod server_connection;
pub mod server_ends;
pub mod server_notices;
