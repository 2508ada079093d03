//! A caller's request as HTTP/1.1 text.

/// A request to a route of [`configuration`](super::configuration), with a body unless the route is
/// read-only.
pub fn request_text(route: &str, rest_of_path: &str, id: &str, caller_timeout_ms: u64) -> String {
    let body = if route == "read" { "" } else { "body of the call" };
    request_head(route, rest_of_path, id, caller_timeout_ms, body.len()) + body
}

/// The head of such a request with a body of another length.
pub fn request_head(
    route: &str,
    rest_of_path: &str,
    id: &str,
    caller_timeout_ms: u64,
    body_bytes: usize,
) -> String {
    let method = if route == "read" { "GET" } else { "POST" };
    format!(
        "{method} /{route}/{rest_of_path} HTTP/1.1\r\nHost: A.example:80\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {caller_timeout_ms}\r\nX-Token-Usage: 100,50\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    )
}
