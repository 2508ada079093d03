//! A small HTTP client. Each call has a connection of its own, so that a call is sent at most once
//! and never retried implicitly. For idempotent calls, see [`crate::idempotent_client`].

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Limit of the time to connect; a shorter timeout of the call takes precedence.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limit of the body of an answer that is read as a whole.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

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
        }
    }

    /// A POST request with a JSON body.
    pub fn post(address: SocketAddr, path: &str, body: &impl Serialize, timeout: Duration) -> Self {
        let body = serde_json::to_vec(body).expect("the types of this package serialize to JSON");
        let content_type = "application/json".to_owned();
        Self { address, method: Method::Post, path: path.to_owned(), content_type, body, timeout }
    }

    /// Sends the call and returns once the head of the answer has arrived; the body is still to be
    /// read from the returned response.
    pub async fn open(self) -> Result<Response, CallError> {
        let request = self.request("close")?;
        let stream = self.connect().await?;
        self.send_on(stream, request).await
    }

    /// Sends the call and reads the whole answer.
    pub async fn send(self) -> Result<(Response, Vec<u8>), CallError> {
        let (address, timeout) = (self.address, self.timeout);
        read_whole(address, timeout, self.open().await?).await
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

    /// Sends the call on a keep-alive connection and reads the whole answer.
    pub(crate) async fn send_keep_alive(
        self,
        stream: TcpStream,
    ) -> Result<(Response, Vec<u8>), CallError> {
        let (address, timeout) = (self.address, self.timeout);
        let request = self.request("keep-alive")?;
        let answer = self.send_on(stream, request).await?;
        read_whole(address, timeout, answer).await
    }

    async fn send_on(self, stream: TcpStream, request: Request) -> Result<Response, CallError> {
        let address = self.address;
        let connecting = catch_panic(async_h1::connect(stream, request));
        let answer = async_std::future::timeout(self.timeout, connecting).await;
        let lost = |reason: String| CallError::Lost { address, reason };
        let answer = answer.map_err(|_| lost("no answer within the timeout".to_owned()))?;
        let answer = answer.ok_or_else(|| lost("malformed answer".to_owned()))?;
        answer.map_err(|error| lost(error.to_string()))
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

async fn read_whole(
    address: SocketAddr,
    timeout: Duration,
    mut answer: Response,
) -> Result<(Response, Vec<u8>), CallError> {
    let lost = |reason: String| CallError::Lost { address, reason };
    let mut body = Vec::new();
    let mut limited = (&mut answer).take(MAX_ANSWER_BYTES + 1);
    let reading = catch_panic(limited.read_to_end(&mut body));
    let reading = async_std::future::timeout(timeout, reading).await;
    let result = reading.map_err(|_| lost("no complete answer within the timeout".to_owned()))?;
    let result = result.ok_or_else(|| lost("malformed trailers".to_owned()))?;
    result.map_err(|error| lost(error.to_string()))?;
    if body.len() as u64 > MAX_ANSWER_BYTES {
        return Err(lost(format!("the answer is longer than {MAX_ANSWER_BYTES} bytes")));
    }
    if !has_known_length(&answer) {
        return Err(lost(
            "the answer has neither Content-Length nor Transfer-Encoding, so its end is unknown"
                .to_owned(),
        ));
    }
    if let Some(expected) = answer.len().filter(|expected| *expected != body.len()) {
        return Err(lost(format!("{} of {expected} bytes arrived", body.len())));
    }
    Ok((answer, body))
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

/// Runs a future of the HTTP library; `None` if it panicked, which the library does on headers and
/// trailers that are not ASCII.
fn catch_panic<F: Future>(future: F) -> impl Future<Output = Option<F::Output>> {
    let boxed = AssertUnwindSafe(Box::pin(future));
    async move { boxed.catch_unwind().await.ok() }
}

/// Whether the end of the body is known from the head. The HTTP library reads a body that is ended
/// only by the close of the connection as empty.
fn has_known_length(answer: &Response) -> bool {
    let has_header = |name: &str| answer.header(name).is_some();
    let is_bodiless = [StatusCode::NoContent, StatusCode::NotModified].contains(&answer.status());
    is_bodiless || has_header("content-length") || has_header("transfer-encoding")
}
