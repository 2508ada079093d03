//! A streamed answer: parses its events, and resumes it where it was cut.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::io::{BufReader, timeout};
use http_types::{Method, Response};
use serde::Deserialize;
use turmericrail_wire::caller::{EndEvent, TokenEvent};

use crate::calls::{self, CallerCall, Reply};

/// Longest time without a line before a stream counts as cut.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The part of an answer that has been received.
#[derive(Debug, Default)]
pub struct Answer {
    pub text: String,
    /// Index of the next expected token.
    pub next_index: u64,
    /// Event id from which the answer can be resumed.
    pub cursor: Option<String>,
    /// Number of tokens of the answer, as its end event states it.
    pub count: Option<u64>,
    /// Number of tokens that were repeated, out of order or unreadable.
    pub unexpected_tokens: u64,
}

/// How the reading of one response ended.
#[derive(Debug)]
pub enum ReadResult {
    /// The end event was received.
    Complete,
    /// The connection was lost before the end event, or the result is unknown.
    Cut,
    /// The router answered with an error, or could not be reached.
    Failed(Reply),
}

impl Answer {
    /// Starts the answer at one instance, or resumes it there if part of it has been received.
    pub async fn read(&mut self, address: SocketAddr, first: &CallerCall) -> ReadResult {
        let resume = self.cursor.clone().map(|cursor| CallerCall {
            method: Method::Get,
            path: "/v1/completions/resume".to_owned(),
            header: Some(("last-event-id", cursor)),
            body: String::new(),
        });
        let call = resume.as_ref().unwrap_or(first);
        let mut response = match calls::open(address, call).await {
            Ok(response) => response,
            Err(Reply::Unknown(_)) => return ReadResult::Cut,
            Err(reply) => return ReadResult::Failed(reply),
        };
        if response.status().is_success() {
            return self.read_events(response).await;
        }
        let body = response.body_string().await.unwrap_or_default();
        ReadResult::Failed(calls::reply_of_error(&body))
    }

    async fn read_events(&mut self, response: Response) -> ReadResult {
        let mut lines = BufReader::new(response);
        let (mut line, mut id, mut event) = (String::new(), String::new(), String::new());
        loop {
            line.clear();
            if !timeout(READ_TIMEOUT, lines.read_line(&mut line)).await.is_ok_and(|count| count > 0)
            {
                return ReadResult::Cut;
            }
            let Some((field, value)) = line.trim_end().split_once(": ") else {
                continue;
            };
            match field {
                "id" => id = value.to_owned(),
                "event" => event = value.to_owned(),
                "data" => match event.as_str() {
                    "token" => self.handle_token_event(&id, value),
                    "end" => return self.handle_end_event(value),
                    _ => return ReadResult::Failed(calls::reply_of_error(value)),
                },
                _ => {}
            }
        }
    }

    fn handle_token_event(&mut self, id: &str, data: &str) {
        let Some(token) = parse::<TokenEvent>(data).filter(|token| token.index == self.next_index)
        else {
            self.unexpected_tokens += 1;
            return;
        };
        self.text.push_str(&token.text);
        self.next_index += 1;
        self.cursor = Some(id.to_owned());
    }

    fn handle_end_event(&mut self, data: &str) -> ReadResult {
        self.count = parse::<EndEvent>(data).map(|end| end.count);
        ReadResult::Complete
    }
}

fn parse<'a, T: Deserialize<'a>>(data: &'a str) -> Option<T> {
    serde_json::from_str(data).ok()
}
