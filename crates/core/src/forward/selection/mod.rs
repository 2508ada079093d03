//! Chooses servers for calls, and engines for prefill and decode.

mod decode_cost;
mod engine_filter;
mod engine_report;
mod model_call_size;
mod model_plan;
mod reservation_pressure;
mod reservation_round;
pub(in crate::forward) mod server_selection;

pub use engine_filter::{EngineFilter, VersionNeed};
pub use engine_report::EngineReport;
pub use model_call_size::ModelCallSize;
pub use model_plan::{ModelPlan, PlanRefusal};
pub use reservation_pressure::ReservationPressure;
pub use reservation_round::ReservationRound;
pub use server_selection::KvOrigin;
