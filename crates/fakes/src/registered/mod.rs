//! Stand-ins for a platform whose backend servers register themselves in a store.
//!
//! They speak the store's and the servers' calls as far as tests of forwarding need them, on
//! threads and blocking sockets.

mod configuration;
mod raw_server;
mod reply;
mod request_text;
mod server;
mod store;

pub use configuration::configuration;
pub use raw_server::{RawAnswer, RawServer};
pub use reply::{MalformedReply, Reply};
pub use request_text::request_text;
pub use server::{Behaviour, ExecutedCall, RegisteredServer};
pub use store::FakeStore;
