//! One forwarded call: its context, its attempts and the choice of servers for them.

pub mod answer_stream;
pub mod attempt_records;
pub mod begun_version;
pub mod call_context;
pub mod call_failure;
pub mod call_guard;
pub mod engine_attempt;
pub mod engine_calls;
pub mod engine_selection;
pub mod generation_timer;
pub mod held_kv;
pub mod model_call;
pub mod plain_call;
pub mod ranked_selection;
pub mod reservation;
pub mod reserved_prefill;
pub mod waiting_call;
