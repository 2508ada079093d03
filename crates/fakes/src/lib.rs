//! Fake platform and backend servers, for tests and examples only.
//!
//! Each fake listens on its own loopback port and has switches that make it fail as the real
//! server can. The fakes don't simulate models or time: answers are a fixed function of the prompt,
//! and delays are real time.

pub mod caller;
pub mod engine;
pub mod fault_proxy;
pub mod fleet;
pub mod fleet_instance;
pub mod fleet_plan;
pub mod fleet_proxies;
pub mod input_mutator;
pub mod orders;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod registered;
mod serve;
pub mod server_link;
pub mod signal;
pub mod text;

pub use caller::{AnswerEvent, StreamCaller, send_resumption, wait_until};
pub use engine::{EngineSettings, FakeEngine};
pub use fault_proxy::{Fault, FaultProxy, FaultScope};
pub use fleet::Fleet;
pub use fleet_instance::FleetInstance;
pub use fleet_plan::FleetPlan;
pub use fleet_proxies::FleetProxies;
pub use input_mutator::InputMutator;
pub use plain::FakePlain;
pub use platform::FakePlatform;
pub use server_link::{LinkFault, ServerLink};
