//! A small HTTP client: one fresh connection for each call, so that a call is written once and
//! never repeated behind the caller's back. Idempotent calls may go over kept connections.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest answer that is read whole.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was written.
    #[error("not sent to {address}: {reason}")]
    NotSent {
        /// The receiver.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// Something was written and no whole answer came.
    #[error("lost at {address}: {reason}")]
    Lost {
        /// The receiver.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The answer's status is not a success.
    #[error("{address} answered with status {status}")]
    Status {
        /// The receiver.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
}

/// A call to be written.
#[derive(Clone, Debug)]
pub struct Call {
    /// The receiver.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Longest wait for the head of the answer.
    pub timeout: Duration,
}

impl Call {
    /// A call without a body.
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

    /// A call with a JSON body.
    pub fn post(address: SocketAddr, path: &str, body: &impl Serialize, timeout: Duration) -> Self {
        let body = serde_json::to_vec(body).expect("the types of this package serialise");
        let content_type = "application/json".to_owned();
        Self { address, method: Method::Post, path: path.to_owned(), content_type, body, timeout }
    }

    /// Writes the call and returns the answer's head; its body is read by the receiver.
    pub async fn open(self) -> Result<Response, CallError> {
        let request = self.request("close")?;
        let stream = self.connect().await?;
        self.open_on(stream, request).await
    }

    /// Writes the call and reads the whole answer.
    pub async fn send(self) -> Result<(Response, Vec<u8>), CallError> {
        let (address, timeout) = (self.address, self.timeout);
        read_whole(address, timeout, self.open().await?).await
    }

    /// Writes the call and decodes a JSON answer.
    pub async fn send_json<T: DeserializeOwned>(self) -> Result<T, CallError> {
        let address = self.address;
        let (answer, body) = self.send().await?;
        decode_json(address, &answer, &body)
    }

    /// A fresh connection to the receiver.
    pub(crate) async fn connect(&self) -> Result<TcpStream, CallError> {
        let timeout = CONNECT_TIMEOUT.min(self.timeout);
        let connecting = async_std::io::timeout(timeout, TcpStream::connect(self.address));
        let stream = connecting.await.map_err(|error| self.not_sent(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Writes the call on a connection that stays open and reads the whole answer.
    pub(crate) async fn send_keeping(
        self,
        stream: TcpStream,
    ) -> Result<(Response, Vec<u8>), CallError> {
        let (address, timeout) = (self.address, self.timeout);
        let request = self.request("keep-alive")?;
        let answer = self.open_on(stream, request).await?;
        read_whole(address, timeout, answer).await
    }

    async fn open_on(self, stream: TcpStream, request: Request) -> Result<Response, CallError> {
        let address = self.address;
        let connecting = unpanicked(async_h1::connect(stream, request));
        let answer = async_std::future::timeout(self.timeout, connecting).await;
        let lost = |reason: String| CallError::Lost { address, reason };
        let answer = answer.map_err(|_| lost("no answer in time".to_owned()))?;
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
    let reading = unpanicked(limited.read_to_end(&mut body));
    let reading = async_std::future::timeout(timeout, reading).await;
    let result = reading.map_err(|_| lost("no whole answer in time".to_owned()))?;
    let result = result.ok_or_else(|| lost("malformed trailers".to_owned()))?;
    result.map_err(|error| lost(error.to_string()))?;
    if body.len() as u64 > MAX_ANSWER_BYTES {
        return Err(lost(format!("the answer is longer than {MAX_ANSWER_BYTES} bytes")));
    }
    if !has_known_length(&answer) {
        return Err(lost("the answer names no length, so its end can't be told".to_owned()));
    }
    if let Some(expected) = answer.len().filter(|expected| *expected != body.len()) {
        return Err(lost(format!("{} of {expected} bytes came", body.len())));
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

/// The result of a future of the HTTP library, or nothing where it panicked: it does so on headers
/// and trailers outside ASCII.
fn unpanicked<F: Future>(future: F) -> impl Future<Output = Option<F::Output>> {
    let boxed = AssertUnwindSafe(Box::pin(future));
    async move { boxed.catch_unwind().await.ok() }
}

/// Whether the end of the body is told: the HTTP library takes a body that only the connection's
/// close ends for an empty one.
fn has_known_length(answer: &Response) -> bool {
    let is_told = |name: &str| answer.header(name).is_some();
    let is_bodiless = [StatusCode::NoContent, StatusCode::NotModified].contains(&answer.status());
    is_bodiless || is_told("content-length") || is_told("transfer-encoding")
}
