//! Tells apart the calls that one connection has carried.

use xxhash_rust::xxh3::xxh3_64;

/// What a late copy of an answer is told by: the id of the request that it answers, or its body where
/// the answer to a call of the router itself names something new.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallKey(u64);

impl CallKey {
    /// The key of a call that forwards a request.
    pub fn of_request(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }

    /// The key of a server's answer to a call that grants something, such as a reservation: each
    /// grant has an id of its own, so that two with the same body are copies.
    pub fn of_grant(body: &[u8]) -> Self {
        Self(xxh3_64(body))
    }
}
