//! One HTTP call of a caller, sent once on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_wire::caller::ErrorBody;

/// Timeout for the head of an answer, and again for its body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a retry if the answer names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A call as a caller sends it.
#[derive(Clone, Debug)]
pub struct CallerCall {
    pub method: Method,
    pub path: String,
    /// An additional header.
    pub header: Option<(&'static str, String)>,
    pub body: String,
}

/// The result of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The call succeeded; the body of its answer.
    Completed(String),
    /// The call was not executed and may be sent again after the delay; `kind` is absent if no
    /// connection could be made.
    NotRun { kind: Option<ErrorKind>, retry_delay: Duration },
    /// The call may have been executed; without an error kind, the connection was lost or the
    /// answer could not be read.
    Unknown(Option<ErrorKind>),
}

/// Sends a call and returns the head of its answer, whose body is still to be read.
pub async fn open(address: SocketAddr, call: &CallerCall) -> Result<Response, Reply> {
    let not_sent = Reply::NotRun { kind: None, retry_delay: Duration::ZERO };
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
    let answer =
        async_std::future::timeout(ANSWER_TIMEOUT, async_h1::connect(stream, request)).await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(Reply::Unknown(None)),
    }
}

/// Sends a call and reads its whole answer.
pub async fn send(address: SocketAddr, call: &CallerCall) -> Reply {
    let mut answer = match open(address, call).await {
        Ok(answer) => answer,
        Err(reply) => return reply,
    };
    let mut body = String::new();
    let reading = async_std::io::timeout(ANSWER_TIMEOUT, answer.read_to_string(&mut body)).await;
    let is_complete = answer.len().is_none_or(|length| length == body.len());
    if reading.is_err() || !is_complete {
        return Reply::Unknown(None);
    }
    if answer.status().is_success() { Reply::Completed(body) } else { reply_of_error(&body) }
}

/// Returns the reply for the body of an error answer.
pub fn reply_of_error(body: &str) -> Reply {
    let Ok(error) = serde_json::from_str::<ErrorBody>(body) else {
        return Reply::Unknown(None);
    };
    let retry_delay = error.retry_after_ms.map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
    match error.outcome {
        Outcome::NotRun => Reply::NotRun { kind: Some(error.error), retry_delay },
        _ => Reply::Unknown(Some(error.error)),
    }
}
