//! Client of the completion API that reads a streamed answer event by event, and can disconnect or
//! resume the answer at another instance.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::BufReader;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Request, Response, Url};
use serde_json::Value;
use turmericrail_wire::client::Call;

/// Longest wait for the head of an answer or for a line of an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum AnswerEvent {
    Token {
        /// Position in the whole answer, from 0.
        index: u64,
        text: String,
    },
    /// The answer is complete; holds its number of tokens.
    End(u64),
    /// The request failed; holds the error kind.
    Error(String),
    /// The connection ended or timed out before a final event.
    Disconnected,
}

/// A caller with the part of the answer that it has received.
#[derive(Debug)]
pub struct StreamCaller {
    answer_reader: BufReader<Response>,
    /// Cursor of the last token, from which the answer can be resumed.
    pub cursor: String,
    /// Index and text of the tokens received over all connections.
    pub tokens: Vec<(u64, String)>,
    /// Final event; absent while the answer continues.
    pub end: Option<AnswerEvent>,
}

impl StreamCaller {
    /// Sends a completion request and waits for the head of the answer; none if it fails.
    pub async fn open(address: SocketAddr, body: &Value) -> Option<Self> {
        Self::try_open(address, body).await.ok()
    }

    /// Sends a completion request and waits for the head of the answer. The error is the body of
    /// the error answer, or the reason why none was received.
    pub async fn try_open(address: SocketAddr, body: &Value) -> Result<Self, String> {
        let answer = Call::post(address, "/v1/completions", body, EVENT_TIMEOUT).open().await;
        let mut answer = answer.map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(answer.body_string().await.unwrap_or_default());
        }
        Ok(Self::from_response(answer))
    }

    /// Resumes the answer at another instance after the last token received.
    pub async fn resume(self, address: SocketAddr) -> Option<Self> {
        let answer = send_resumption(address, &self.cursor, None).await?;
        let resumed =
            Self::from_response(Some(answer).filter(|answer| answer.status().is_success())?);
        Some(Self { cursor: self.cursor, tokens: self.tokens, ..resumed })
    }

    /// Like `resume`, but sends the original request with the cursor.
    pub async fn resume_with_request(self, address: SocketAddr, body: &Value) -> Option<Self> {
        let answer = send_resumption(address, &self.cursor, Some(body)).await?;
        let resumed =
            Self::from_response(Some(answer).filter(|answer| answer.status().is_success())?);
        Some(Self { cursor: self.cursor, tokens: self.tokens, ..resumed })
    }

    /// Reads until `count` tokens have been received in all, or the answer ends.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.tokens.len() < count && self.end.is_none() {
            self.read_event().await;
        }
    }

    /// Reads until the final event and returns it.
    pub async fn read_all(&mut self) -> AnswerEvent {
        while self.end.is_none() {
            self.read_event().await;
        }
        self.end.clone().unwrap_or(AnswerEvent::Disconnected)
    }

    /// Concatenated text of the tokens received.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|(_, text)| text.as_str()).collect()
    }

    fn from_response(answer: Response) -> Self {
        let answer_reader = BufReader::new(answer);
        Self { answer_reader, cursor: String::new(), tokens: Vec::new(), end: None }
    }

    async fn read_event(&mut self) {
        let Some((id, event, data)) = self.read_fields().await else {
            self.end = Some(AnswerEvent::Disconnected);
            return;
        };
        match event.as_str() {
            "token" => {
                self.cursor = id;
                let index = data["index"].as_u64().unwrap_or(u64::MAX);
                let text = data["text"].as_str().unwrap_or_default().to_owned();
                self.tokens.push((index, text));
            }
            "end" => self.end = Some(AnswerEvent::End(data["count"].as_u64().unwrap_or_default())),
            _ => {
                let kind = data["error"].as_str().unwrap_or_default().to_owned();
                self.end = Some(AnswerEvent::Error(kind));
            }
        }
    }

    async fn read_fields(&mut self) -> Option<(String, String, Value)> {
        let (mut id, mut event, mut data) = (String::new(), String::new(), Value::Null);
        loop {
            let mut line = String::new();
            let reading =
                async_std::io::timeout(EVENT_TIMEOUT, self.answer_reader.read_line(&mut line));
            if reading.await.ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if let Some(text) = line.strip_prefix("id: ") {
                id = text.to_owned();
            }
            if let Some(text) = line.strip_prefix("event: ") {
                event = text.to_owned();
            }
            if let Some(text) = line.strip_prefix("data: ") {
                data = serde_json::from_str(text).ok()?;
            }
            if line.is_empty() && !event.is_empty() {
                return Some((id, event, data));
            }
        }
    }
}

/// Sends a resumption request, with the original request as its body if given, and waits for the
/// head of the answer.
pub async fn send_resumption(
    address: SocketAddr,
    cursor: &str,
    body: Option<&Value>,
) -> Option<Response> {
    let url = Url::parse(&format!("http://{address}/v1/completions/resume")).ok()?;
    let mut request = Request::get(url.clone());
    if let Some(body) = body {
        request = Request::post(url);
        request.set_body(Body::from_json(body).ok()?);
    }
    request.insert_header("last-event-id", cursor);
    let stream = TcpStream::connect(address).await.ok()?;
    let answer = async_h1::connect(stream, request);
    async_std::future::timeout(EVENT_TIMEOUT, answer).await.ok()?.ok()
}

/// Waits until a condition holds and returns the time that it took; none after the timeout.
pub async fn wait_until(
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < timeout {
        if condition() {
            return Some(started.elapsed());
        }
        task::sleep(POLL_INTERVAL).await;
    }
    None
}
