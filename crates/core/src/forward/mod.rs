//! Chooses the backend server of each forwarded call. Servers register themselves and may come and
//! go at any time.
//!
//! A call finds its [`Route`] by host and longest path prefix in the current [`RouteTable`], and a
//! server in the [`ServerRegistry`]. [`Forwarder`] combines both with the load and health seen in
//! this instance's own calls and in the servers' answers. Time and random numbers are passed in as
//! arguments; the network calls are made elsewhere.

mod broken_call;
mod broken_calls;
mod call_end;
mod call_limit;
mod call_limits;
mod call_sends;
mod caller_retry_detector;
mod chosen_server;
mod engine_filter;
mod engine_report;
mod failure_score;
mod forwarder;
mod forwarder_notices;
mod forwarder_versions;
mod latency_ratio;
mod leaving_runs;
mod loss_cause;
mod loss_notice;
mod loss_records;
mod member_list;
mod members;
mod model_call_size;
mod model_plan;
pub mod order_right;
mod part_survivals;
mod published_set;
mod quarantine;
mod reliability;
mod request_traits;
mod reservation_pressure;
mod reservation_round;
mod retry_window;
mod role_conversion;
mod role_load;
mod route;
mod server_entry;
mod server_load;
mod server_registry;
mod server_selection;
mod service;
mod service_latency;
mod software_version;
mod stream_version;
mod stream_versions;
mod table;
mod version_history;

pub use broken_call::{BrokenCall, BrokenKind};
pub use broken_calls::BrokenCalls;
pub use call_end::CallEnd;
pub use call_limits::{CallLimits, LimitStatement};
pub use call_sends::{CallSends, SendPermit};
pub use caller_retry_detector::CallerRetryDetector;
pub use chosen_server::{ChosenServer, ServerRun};
pub use engine_filter::{EngineFilter, VersionNeed};
pub use engine_report::EngineReport;
pub use failure_score::FailureScore;
pub use forwarder::{Forwarder, ForwarderSettings};
pub use leaving_runs::LeavingRuns;
pub use loss_cause::{LossCause, LossSubject};
pub use loss_notice::{Loss, LossNotice, Survival, Suspect};
pub use loss_records::LossRecords;
pub use member_list::MemberList;
pub use members::{Member, Members, Watcher};
pub use model_call_size::ModelCallSize;
pub use model_plan::{ModelPlan, PlanRefusal};
pub use published_set::{PublishedItem, PublishedSet};
pub use quarantine::{Admission, Quarantine};
pub use request_traits::RequestTraits;
pub use reservation_pressure::ReservationPressure;
pub use reservation_round::ReservationRound;
pub use retry_window::{RetryBounds, RetryWindow};
pub use role_load::RoleLoad;
pub use route::{Route, RouteKind, WeightedService};
pub use server_entry::{ServerEntry, ServerState, ServerUpdate};
pub use server_load::{ReportedLoad, ServerLoad};
pub use server_registry::ServerRegistry;
pub use server_selection::KvOrigin;
pub use service::{EngineLimits, Service};
pub use software_version::SoftwareVersion;
pub use stream_version::{StreamKey, StreamVersion};
pub use stream_versions::StreamVersions;
pub use table::{RequestLimits, RouteTable, TableError};
pub use version_history::VersionHistory;
