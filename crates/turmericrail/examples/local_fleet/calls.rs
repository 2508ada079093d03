//! One HTTP call of a caller, written once on a fresh connection.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_wire::caller::ErrorBody;

/// Longest wait for a whole answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Wait where an answer names none.
const DEFAULT_WAIT: Duration = Duration::from_millis(200);

/// A call as a caller writes it.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// HTTP method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// One header, where the call needs it.
    pub header: Option<(&'static str, String)>,
    /// The body.
    pub body: String,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The whole answer.
    Completed(String),
    /// The call was not executed and may be sent again.
    NotRun { kind: Option<ErrorKind>, wait: Duration },
    /// The call may have been executed.
    Unknown(Option<ErrorKind>),
}

/// Writes a call and returns the head of its answer; `None` where no connection could be made.
pub async fn open(address: SocketAddr, call: &CallerCall) -> Result<Response, Reply> {
    let not_sent = Reply::NotRun { kind: None, wait: Duration::ZERO };
    let Ok(stream) = TcpStream::connect(address).await else {
        return Err(not_sent);
    };
    let _ = stream.set_nodelay(true);
    let url = Url::parse(&format!("http://{address}{}", call.path)).expect("paths are valid");
    let mut request = Request::new(call.method, url);
    request.insert_header("connection", "close");
    if let Some((name, value)) = &call.header {
        request.insert_header(*name, value.as_str());
    }
    request.set_body(call.body.as_str());
    let answer = async_std::future::timeout(PATIENCE, async_h1::connect(stream, request)).await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(Reply::Unknown(None)),
    }
}

/// Writes a call and reads its whole answer.
pub async fn send(address: SocketAddr, call: &CallerCall) -> Reply {
    let mut answer = match open(address, call).await {
        Ok(answer) => answer,
        Err(reply) => return reply,
    };
    let mut body = String::new();
    let reading = async_std::io::timeout(PATIENCE, answer.read_to_string(&mut body)).await;
    let is_whole = answer.len().is_none_or(|length| length == body.len());
    if reading.is_err() || !is_whole {
        return Reply::Unknown(None);
    }
    if answer.status().is_success() { Reply::Completed(body) } else { refused(&body) }
}

/// The reply that the body of an error stands for.
pub fn refused(body: &str) -> Reply {
    let Ok(error) = serde_json::from_str::<ErrorBody>(body) else {
        return Reply::Unknown(None);
    };
    let wait = error.retry_after_ms.map_or(DEFAULT_WAIT, Duration::from_millis);
    match error.outcome {
        Outcome::NotRun => Reply::NotRun { kind: Some(error.error), wait },
        _ => Reply::Unknown(Some(error.error)),
    }
}
