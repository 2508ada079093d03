//! Decides which requests wait and which are refused while a service has too little capacity.
//!
//! All of it takes effect only where a service serves requests of different ranks.

mod service_ranks;

pub use service_ranks::ServiceRanks;
