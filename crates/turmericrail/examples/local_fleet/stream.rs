//! A streamed answer: its events, and how a caller reads on where it was cut.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::io::{BufReader, timeout};
use http_types::{Method, Response};
use serde::Deserialize;
use turmericrail_wire::caller::{EndEvent, TokenEvent};

use crate::calls::{self, CallerCall, Reply};

/// Longest silence of a stream.
const SILENCE: Duration = Duration::from_secs(10);

/// What has come of one answer.
#[derive(Debug, Default)]
pub struct Answer {
    /// The text so far.
    pub text: String,
    /// Index of the next token.
    pub next_index: u64,
    /// Where it can be continued.
    pub cursor: Option<String>,
    /// Tokens of the whole answer, once its end has come.
    pub count: Option<u64>,
    /// Tokens that came twice or out of order.
    pub misplaced: u64,
}

/// How one reading ended.
#[derive(Debug)]
pub enum ReadEnd {
    /// The explicit end came.
    Whole,
    /// The connection was cut before the end.
    Cut,
    /// The router gave a final answer.
    Refused(Reply),
}

impl Answer {
    /// Starts or continues the answer at one instance.
    pub async fn read(&mut self, address: SocketAddr, first: &CallerCall) -> ReadEnd {
        let resume = self.cursor.clone().map(|cursor| CallerCall {
            method: Method::Get,
            path: "/v1/completions/resume".to_owned(),
            header: Some(("last-event-id", cursor)),
            body: String::new(),
        });
        let call = resume.as_ref().unwrap_or(first);
        let mut response = match calls::open(address, call).await {
            Ok(response) => response,
            Err(Reply::Unknown(_)) => return ReadEnd::Cut,
            Err(reply) => return ReadEnd::Refused(reply),
        };
        if response.status().is_success() {
            return self.read_events(response).await;
        }
        let body = response.body_string().await.unwrap_or_default();
        ReadEnd::Refused(calls::refused(&body))
    }

    async fn read_events(&mut self, response: Response) -> ReadEnd {
        let mut lines = BufReader::new(response);
        let (mut line, mut id, mut event) = (String::new(), String::new(), String::new());
        loop {
            line.clear();
            if !timeout(SILENCE, lines.read_line(&mut line)).await.is_ok_and(|count| count > 0) {
                return ReadEnd::Cut;
            }
            let Some((field, value)) = line.trim_end().split_once(": ") else {
                continue;
            };
            match field {
                "id" => id = value.to_owned(),
                "event" => event = value.to_owned(),
                "data" => match event.as_str() {
                    "token" => self.take_token(&id, value),
                    "end" => return self.take_end(value),
                    _ => return ReadEnd::Refused(calls::refused(value)),
                },
                _ => {}
            }
        }
    }

    fn take_token(&mut self, id: &str, data: &str) {
        let Some(token) = parse::<TokenEvent>(data).filter(|token| token.index == self.next_index)
        else {
            self.misplaced += 1;
            return;
        };
        self.text.push_str(&token.text);
        self.next_index += 1;
        self.cursor = Some(id.to_owned());
    }

    fn take_end(&mut self, data: &str) -> ReadEnd {
        self.count = parse::<EndEvent>(data).map(|end| end.count);
        ReadEnd::Whole
    }
}

fn parse<'a, T: Deserialize<'a>>(data: &'a str) -> Option<T> {
    serde_json::from_str(data).ok()
}
