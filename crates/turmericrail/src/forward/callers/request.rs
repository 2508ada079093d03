//! A request of a caller that was read completely.

use std::sync::Arc;

use turmericrail_core::forward::Tenant;
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Bytes, Millis};
use turmericrail_platform::request::RequestMetadata;
use turmericrail_wire::http1::RequestHead;

use crate::caller_memory::{HeldBytes, HeldConnection};
use crate::forward::handover::Origin;

/// Memory of a header field beside its bytes.
const FIELD_BYTES: usize = 96;

/// A request that was read completely.
pub struct Request {
    pub head: RequestHead,
    /// The headers that the router itself evaluates.
    pub metadata: RequestMetadata,
    pub body: Vec<u8>,
    /// Monotonic time at which the head was complete.
    pub arrived_ms: Millis,
    /// Monotonic time until which the caller may leave the answer unread.
    pub unread_until_ms: Millis,
    pub origin: Origin,
    /// The connection in the account of what callers hold.
    pub connection: Arc<HeldConnection>,
    /// What the request itself takes.
    pub _held: HeldBytes,
}

impl Request {
    /// What the repeats of the request have in common, by caller, path and body. Ids of attempts,
    /// deadlines and positions in a stream differ between repeats.
    /// Tenants count in place of their keys, of which one may follow the other.
    pub fn fingerprint(&self, tenant: Option<&Tenant>) -> RequestFingerprint {
        let credentials = self.metadata.credentials.as_deref().unwrap_or_default();
        let caller = tenant.map_or(credentials, |tenant| tenant.name.as_str());
        let texts = [&self.head.method, &self.head.host, &self.head.target, caller];
        let [method, host, target, caller] = texts.map(str::as_bytes);
        RequestFingerprint::of(&[method, host, target, caller, &self.body])
    }
}

/// Memory of a head that was parsed.
pub fn head_memory(head: &RequestHead) -> Bytes {
    let fields = head.headers.0.iter();
    let field_bytes: usize =
        fields.map(|field| FIELD_BYTES + field.name.len() + field.value.len()).sum();
    Bytes((field_bytes + head.target.len()) as u64)
}
