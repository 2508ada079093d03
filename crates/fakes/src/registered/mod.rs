//! Stand-ins for a platform whose backend servers register themselves in a store.
//!
//! They speak the store's and the servers' calls as far as tests of forwarding need them, on
//! threads and blocking sockets.

mod call_text;
mod configuration;
mod raw_server;
mod reply;
mod server;
mod store;

pub use call_text::call_text;
pub use configuration::configuration;
pub use raw_server::{RawAnswer, RawServer};
pub use reply::{MalformedReply, Reply};
pub use server::{Behaviour, RegisteredServer, Seen};
pub use store::FakeStore;
