//! Guards against an error kind whose status the HTTP library doesn't know, which could not be
//! sent.

use http_types::StatusCode;
use turmericrail_core::error_kind::ErrorKind;

#[test]
fn valid_statuses() {
    for kind in ErrorKind::ALL {
        let status = StatusCode::try_from(kind.answer().status);
        assert!(status.is_ok(), "the HTTP library has no status {}", kind.answer().status);
    }
}
