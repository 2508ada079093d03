//! Small stand-ins for the platform and the backend servers, for tests and examples only.
//!
//! Each listens on a loopback port of its own and has switches for the ways in which the real ones
//! fail. They are no simulator: what they compute is a fixed function of the prompt, and time
//! passes in the real clock.

pub mod caller;
pub mod engine;
pub mod fault_proxy;
pub mod fleet;
pub mod fleet_instance;
pub mod fleet_plan;
pub mod fleet_proxies;
pub mod orders;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod registered;
mod serve;
pub mod signal;
pub mod text;

pub use caller::{AnswerEvent, StreamCaller, send_resumption, wait_until};
pub use engine::{EngineSettings, FakeEngine};
pub use fault_proxy::{Fault, FaultProxy, FaultScope};
pub use fleet::Fleet;
pub use fleet_instance::FleetInstance;
pub use fleet_plan::FleetPlan;
pub use fleet_proxies::FleetProxies;
pub use plain::FakePlain;
pub use platform::FakePlatform;
