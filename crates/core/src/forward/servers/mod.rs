//! Registered servers, their load, health and speed.

mod call_end;
mod chosen_server;
mod failure_score;
mod latency_ratio;
mod leaving_runs;
mod published_set;
pub(in crate::forward) mod reliability;
mod server_entry;
mod server_load;
mod server_registry;
pub(in crate::forward) mod service_latency;

pub use call_end::CallEnd;
pub use chosen_server::{ChosenServer, ServerRun};
pub use failure_score::FailureScore;
pub use leaving_runs::LeavingRuns;
pub use published_set::{PublishedItem, PublishedSet};
pub use server_entry::{ServerEntry, ServerState, ServerUpdate};
pub use server_load::{ReportedLoad, ServerLoad};
pub use server_registry::ServerRegistry;
