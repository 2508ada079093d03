//! A call as it is written to a connection.

use std::io;

use async_std::io::prelude::*;
use async_std::net::TcpStream;

/// Longest body that is written together with the head.
const MAX_JOINED_BYTES: usize = 16 * 1024;

/// A call as it is written to a connection. A long body isn't copied.
#[derive(Clone, Copy, Debug)]
pub struct CallBytes<'a> {
    head: &'a [u8],
    body: &'a [u8],
}

impl<'a> CallBytes<'a> {
    /// A call with this head, to which a short body is appended.
    pub fn new(head: &'a mut Vec<u8>, body: &'a [u8]) -> Self {
        if body.len() > MAX_JOINED_BYTES {
            return Self { head, body };
        }
        head.extend_from_slice(body);
        Self { head, body: &[] }
    }

    /// Writes the whole call.
    pub async fn write_to(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.write_all(self.head).await?;
        stream.write_all(self.body).await
    }
}
