//! Tells apart the calls that one connection has carried.

use xxhash_rust::xxh3::xxh3_64;

/// What a late copy of an answer has in common with the call that it would be taken for: the request
/// id, or the path of a call of the router itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallKey(u64);

impl CallKey {
    /// The key of a call that forwards a request.
    pub fn of_request(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }

    /// The key of a call of the router itself, whose answers carry no request id. Only calls that
    /// change something at the server have one, since a copied report does no harm.
    pub fn of_control_call(method: &str) -> Option<Self> {
        (method == "POST").then(|| Self(xxh3_64(b"control call")))
    }
}
