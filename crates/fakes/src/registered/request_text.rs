//! A caller's request as HTTP/1.1 text.

/// A request to a route of [`configuration`](super::configuration), with a body unless the route is
/// read-only.
pub fn request_text(route: &str, rest_of_path: &str, id: &str, caller_timeout_ms: u64) -> String {
    let (method, body) = if route == "read" { ("GET", "") } else { ("POST", "body of the call") };
    format!(
        "{method} /{route}/{rest_of_path} HTTP/1.1\r\nHost: A.example:80\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {caller_timeout_ms}\r\nX-Token-Usage: 100,50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
