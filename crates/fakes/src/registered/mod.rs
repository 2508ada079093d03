//! Stand-ins for a platform whose backend servers register themselves in a store.
//!
//! They speak the store's and the servers' calls as far as tests of forwarding need them, on
//! threads and blocking sockets.

mod raw_server;
mod server;
mod store;

pub use raw_server::{RawAnswer, RawServer};
pub use server::{Behaviour, RegisteredServer, Seen};
pub use store::FakeStore;
