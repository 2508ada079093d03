//! Forwarding of calls to backend servers that register themselves and come and go.
//!
//! A call finds its [`Route`] by host and longest path prefix in the [`RouteTable`] in force, and a
//! server among those of the [`Registry`]. [`Forwarder`] joins both with what this instance's own
//! calls and the servers' answers tell of load and health. Time and random draws come in as
//! arguments; calls are made elsewhere.

mod call_end;
mod choice;
mod choosing;
mod engine_report;
mod entry;
mod failure_score;
mod forwarder;
mod load;
mod members;
mod pace;
mod patience;
mod plan;
mod pressure;
mod prompt;
mod published;
mod registry;
mod retry_window;
mod role_balance;
mod roles;
mod route;
mod service;
mod service_pace;
mod table;

pub use call_end::CallEnd;
pub use choice::{Choice, ServerRun};
pub use choosing::KvOrigin;
pub use engine_report::EngineReport;
pub use entry::{ServerEntry, ServerNews, ServerState};
pub use failure_score::FailureScore;
pub use forwarder::{Forwarder, ForwarderSettings};
pub use load::{ReportedLoad, ServerLoad};
pub use members::{Member, Members};
pub use patience::Patience;
pub use plan::{ModelPlan, PlanRefusal};
pub use pressure::Pressure;
pub use prompt::Prompt;
pub use published::{Published, PublishedItem};
pub use registry::Registry;
pub use retry_window::{RetryBounds, RetryWindow};
pub use role_balance::RoleLoad;
pub use route::{Route, RouteKind, WeightedService};
pub use service::{EngineLimits, Service};
pub use table::{RequestLimits, RouteTable, TableError};
