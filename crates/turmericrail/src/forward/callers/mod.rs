//! The side of the callers: connections, requests and answers.

pub mod answer_writer;
pub mod buffer_budget;
pub mod caller_connection;
pub mod caller_listener;
pub mod caller_stream;
pub mod connection_end;
pub mod dispatch;
pub mod request;
pub mod unread;
