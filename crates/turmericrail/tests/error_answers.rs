//! Each error kind can be answered.

use http_types::StatusCode;
use turmericrail_core::error_kind::ErrorKind;

#[test]
fn known_statuses() {
    for kind in ErrorKind::ALL {
        let status = StatusCode::try_from(kind.answer().status);
        assert!(status.is_ok(), "the HTTP library has no status {}", kind.answer().status);
    }
}
