//! Decides which requests wait and which are refused while a service has too little capacity.
//!
//! A request's [`Urgency`] follows from its rank and from whether it can still meet its target. The
//! less urgent it is, the more free memory an engine must have beyond the request
//! ([`headroom_tokens`]) and the longer it waits between two rounds of reservation requests. Both
//! follow from the request and the engine alone, so that all instances decide alike without a
//! message. [`ServiceOverload`] holds what one instance has seen of a service: the calls that wait,
//! the rate at which calls find room, and the share of new calls that find none, by rank.
//!
//! All of it takes effect only where a service gets requests of different ranks.

mod headroom;
mod plain_queue;
mod service_overload;
mod service_ranks;
mod tenant_rates;
mod urgency;

pub use headroom::headroom_tokens;
pub use service_overload::ServiceOverload;
pub use service_ranks::ServiceRanks;
pub use tenant_rates::TenantRates;
pub use urgency::{Standing, Urgency};
