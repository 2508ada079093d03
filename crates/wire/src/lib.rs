//! Wire formats of turmericrail: the messages between instances, the JSON bodies of callers,
//! engines and the platform's services, HTTP/1.1 framing and an HTTP client.
//!
//! This package only converts; it makes no decisions.

pub mod answer_budget;
pub mod body;
pub mod buffer_growth;
pub mod caller;
pub mod client;
pub mod convert;
mod convert_members;
pub mod engine;
pub mod http1;
pub mod idempotent_client;
#[allow(missing_docs)]
#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/turmericrail.peer.rs"]
pub mod peer;
pub mod platform;
#[allow(missing_docs)]
#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/turmericrail.relay.rs"]
pub mod relay;
pub mod relayed_item;
mod response_body;
pub mod response_fault;
