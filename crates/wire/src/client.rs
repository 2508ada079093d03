//! A small HTTP client. Each call has a connection of its own, so that a call is sent at most once
//! and never retried implicitly. For idempotent calls, see [`crate::idempotent_client`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client::Encoder;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use futures_lite::AsyncBufReadExt;
use http_types::headers::HeaderValue;
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::answer_budget::AnswerBudget;
use crate::buffer_growth::grow_for;
use crate::http1::{BodyFraming, FinalHead, ResponseHead};
use crate::response_body::ResponseBody;
use crate::response_fault::ResponseFault;

/// Limit of the time to connect; a shorter timeout of the call takes precedence.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limit of the body of an answer that is read as a whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Most bytes of one read of a head.
const READ_SIZE_BYTES: usize = 4 * 1024;

/// Why a call has no usable answer.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was written, so the call did not run.
    #[error("not sent to {address}: {reason}")]
    NotSent { address: SocketAddr, reason: String },
    /// Something was written, but no complete answer arrived; the call may have run.
    #[error("call to {address} failed after it was sent: {reason}")]
    Lost { address: SocketAddr, reason: String },
    /// An answer came that can't be used; the call may have run.
    #[error("answer of {address} refused: {fault}")]
    Refused { address: SocketAddr, fault: ResponseFault },
    /// The answer's status is not a success.
    #[error("{address} answered with status {status}")]
    Status {
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
}

/// An HTTP request to be sent.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug)]
pub struct Call {
    pub address: SocketAddr,
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Media type of the body; empty if there is no body.
    pub content_type: String,
    pub body: Vec<u8>,
    /// Applies to the time until the head of the answer arrives, and again to reading its body.
    pub timeout: Duration,
    /// Memory that the answer shares with others while it is read; `None` if there is no limit beside
    /// its own.
    pub budget: Option<AnswerBudget>,
}

/// An answer whose body is still to be read.
pub(crate) struct Answer {
    head: ResponseHead,
    body: ResponseBody,
}

/// An answer that was read whole.
pub(crate) struct WholeAnswer {
    pub(crate) response: Response,
    pub(crate) body: Vec<u8>,
    /// Whether the connection can carry another call.
    pub(crate) is_reusable: bool,
}

impl Call {
    /// A GET request without a body.
    pub fn get(address: SocketAddr, path: impl Into<String>, timeout: Duration) -> Self {
        let content_type = String::new();
        Self {
            address,
            method: Method::Get,
            path: path.into(),
            content_type,
            body: Vec::new(),
            timeout,
            budget: None,
        }
    }

    /// A POST request with a JSON body.
    pub fn post(address: SocketAddr, path: &str, body: &impl Serialize, timeout: Duration) -> Self {
        let body = serde_json::to_vec(body).expect("the types of this package serialize to JSON");
        let content_type = "application/json".to_owned();
        Self {
            address,
            method: Method::Post,
            path: path.to_owned(),
            content_type,
            body,
            timeout,
            budget: None,
        }
    }

    /// The call with an answer that shares this memory with others.
    pub fn within(self, budget: &AnswerBudget) -> Self {
        Self { budget: Some(budget.clone()), ..self }
    }

    /// Sends the call and returns once the head of the answer has arrived; the body is still to be
    /// read from the returned response.
    pub async fn open(self) -> Result<Response, CallError> {
        let address = self.address;
        let stream = self.connect().await?;
        let Answer { head, body } = self.send_on(stream, "close").await?;
        let mut response = to_response(address, &head)?;
        response.set_body(Body::from_reader(body, None));
        Ok(response)
    }

    /// Sends the call and reads the whole answer.
    pub async fn send(self) -> Result<(Response, Vec<u8>), CallError> {
        let stream = self.connect().await?;
        let answer = self.send_whole(stream, "close").await?;
        Ok((answer.response, answer.body))
    }

    /// Sends the call and decodes a JSON answer.
    pub async fn send_json<T: DeserializeOwned>(self) -> Result<T, CallError> {
        let address = self.address;
        let (answer, body) = self.send().await?;
        decode_json(address, &answer, &body)
    }

    /// Opens a new connection to the address.
    pub(crate) async fn connect(&self) -> Result<TcpStream, CallError> {
        let timeout = CONNECT_TIMEOUT.min(self.timeout);
        let connecting = async_std::io::timeout(timeout, TcpStream::connect(self.address));
        let stream = connecting.await.map_err(|error| self.not_sent(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends the call on a connection and reads the whole answer.
    pub(crate) async fn send_whole(
        self,
        stream: TcpStream,
        connection: &str,
    ) -> Result<WholeAnswer, CallError> {
        let (address, timeout, budget) = (self.address, self.timeout, self.budget.clone());
        let answer = self.send_on(stream, connection).await?;
        let mut share = budget.map(|budget| budget.share());
        let may_hold = |bytes: usize| {
            let has_room = share.as_mut().is_none_or(|share| share.resize(bytes));
            has_room && bytes <= MAX_ANSWER_BYTES
        };
        let reading = async_std::future::timeout(timeout, read_whole(address, answer, may_hold));
        let lost = |_| CallError::Lost {
            address,
            reason: "no complete answer within the timeout".to_owned(),
        };
        reading.await.map_err(lost)?
    }

    async fn send_on(self, stream: TcpStream, connection: &str) -> Result<Answer, CallError> {
        let request = self.request(connection)?;
        let address = self.address;
        let calling = async {
            let written = async_std::io::copy(&mut Encoder::new(request), &mut &stream).await;
            written.map_err(|error| lost(address, &error))?;
            read_head(address, stream.clone(), self.method.as_ref()).await
        };
        let answer = async_std::future::timeout(self.timeout, calling).await;
        let timed_out =
            |_| CallError::Lost { address, reason: "no answer within the timeout".to_owned() };
        answer.map_err(timed_out)?
    }

    fn not_sent(&self, reason: String) -> CallError {
        CallError::NotSent { address: self.address, reason }
    }

    fn request(&self, connection: &str) -> Result<Request, CallError> {
        let url = format!("http://{}{}", self.address, self.path);
        let url = Url::parse(&url).map_err(|error| self.not_sent(error.to_string()))?;
        let mut request = Request::new(self.method, url);
        request.insert_header("connection", connection);
        request.set_body(self.body.clone());
        if !self.content_type.is_empty() {
            request.insert_header("content-type", self.content_type.as_str());
        }
        Ok(request)
    }
}

fn lost(address: SocketAddr, error: &io::Error) -> CallError {
    CallError::Lost { address, reason: error.to_string() }
}

/// Reads the head of the final answer, whose body must tell its own end.
async fn read_head(
    address: SocketAddr,
    mut stream: TcpStream,
    method: &str,
) -> Result<Answer, CallError> {
    let refused = |fault| CallError::Refused { address, fault };
    let (mut final_head, mut buffer) = (FinalHead::default(), Vec::new());
    let head = loop {
        let taken = final_head.take(&mut buffer, method);
        if let Some(head) = taken.map_err(|error| refused(error.into()))? {
            break head;
        }
        let mut bytes = [0; READ_SIZE_BYTES];
        match stream.read(&mut bytes).await {
            Ok(0) => return Err(lost(address, &io::ErrorKind::UnexpectedEof.into())),
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
            Err(error) => return Err(lost(address, &error)),
        }
    };
    if head.headers.values("content-encoding").next().is_some() {
        return Err(refused(ResponseFault::Encoded));
    }
    if head.framing == BodyFraming::UntilClose {
        return Err(refused(ResponseFault::UnstatedLength));
    }
    let body = ResponseBody::new(stream, buffer, head.framing);
    Ok(Answer { head, body })
}

/// Reads a whole body while `may_hold` allows as many bytes as it takes in memory.
async fn read_whole(
    address: SocketAddr,
    answer: Answer,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<WholeAnswer, CallError> {
    let Answer { head, body: mut reader } = answer;
    let response = to_response(address, &head)?;
    let mut body = Vec::new();
    loop {
        let piece = reader.fill_buf().await.map_err(|error| to_body_error(address, &error))?;
        if piece.is_empty() {
            break;
        }
        grow_for(&mut body, piece.len());
        if !may_hold(body.capacity()) {
            return Err(CallError::Refused { address, fault: ResponseFault::Oversized });
        }
        body.extend_from_slice(piece);
        let count = piece.len();
        reader.consume(count);
    }
    let is_reusable = head.is_kept_alive && reader.is_followed_by_nothing();
    Ok(WholeAnswer { response, body, is_reusable })
}

fn to_body_error(address: SocketAddr, error: &io::Error) -> CallError {
    if error.kind() != io::ErrorKind::InvalidData {
        return lost(address, error);
    }
    CallError::Refused { address, fault: ResponseFault::Body(error.to_string()) }
}

/// Converts a head into a response without a body.
fn to_response(address: SocketAddr, head: &ResponseHead) -> Result<Response, CallError> {
    let refused = |fault| CallError::Refused { address, fault };
    let status = StatusCode::try_from(head.status)
        .map_err(|_| refused(ResponseFault::UnknownStatus(head.status)))?;
    let mut response = Response::new(status);
    for field in &head.headers.0 {
        let value = HeaderValue::from_bytes(field.value.clone())
            .map_err(|_| refused(ResponseFault::NonAsciiField(field.name.clone())))?;
        response.append_header(field.name.as_str(), value);
    }
    Ok(response)
}

/// Decodes a JSON answer whose status is a success.
pub(crate) fn decode_json<T: DeserializeOwned>(
    address: SocketAddr,
    answer: &Response,
    body: &[u8],
) -> Result<T, CallError> {
    if !answer.status().is_success() {
        return Err(CallError::Status { address, status: answer.status() as u16 });
    }
    let lost = |error: serde_json::Error| CallError::Lost { address, reason: error.to_string() };
    serde_json::from_slice(body).map_err(lost)
}
