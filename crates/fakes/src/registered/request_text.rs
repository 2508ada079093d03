//! The bytes of a caller's request.

/// A request on a route of [`configuration`](super::configuration), with a body where the route is
/// not read-only.
pub fn request_text(route: &str, rest_of_path: &str, id: &str, patience_ms: u64) -> String {
    let (method, body) = if route == "read" { ("GET", "") } else { ("POST", "body of the call") };
    format!(
        "{method} /{route}/{rest_of_path} HTTP/1.1\r\nHost: A.example:80\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {patience_ms}\r\nX-Token-Usage: 100,50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
