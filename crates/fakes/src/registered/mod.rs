//! Fakes for a platform whose backend servers register themselves in a store.
//!
//! They implement the part of the HTTP interfaces of the store and the servers that tests of
//! forwarding need, with threads and blocking sockets.

mod configuration;
mod raw_server;
mod reply;
mod request_text;
mod reservation;
mod server;
mod server_answers;
mod store;

pub use configuration::configuration;
pub use raw_server::{RawAnswer, RawServer};
pub use reply::{MalformedReply, Reply};
pub use request_text::{request_head, request_text};
pub use reservation::granted_reservation;
pub use server::{Arrival, Behaviour, EndlessBytes, ExecutedCall, RegisteredServer};
pub use store::{FakeStore, StoreCopy, Watch};
