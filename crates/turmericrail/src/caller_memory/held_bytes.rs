//! A part of what a caller's connection holds.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::caller_account::Shortage;
use turmericrail_core::units::Bytes;

use super::HeldConnection;

/// A part of what a caller's connection holds, given back when it is dropped.
pub struct HeldBytes {
    connection: Arc<HeldConnection>,
    bytes: Bytes,
}

impl HeldBytes {
    pub(super) fn new(connection: Arc<HeldConnection>) -> Self {
        Self { connection, bytes: Bytes::default() }
    }

    /// Sets the size; fails if there is no room for more at present.
    pub fn resize(&mut self, bytes: Bytes) -> Result<(), Shortage> {
        if bytes > self.bytes {
            self.connection.grow(Bytes(bytes.0 - self.bytes.0))?;
        } else if bytes < self.bytes {
            self.connection.shrink(Bytes(self.bytes.0 - bytes.0));
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Sets the size, once the memory of connections that give way is free; fails if there is no room
    /// for more, and nobody gives way.
    pub async fn resize_when_free(&mut self, bytes: Bytes) -> Result<(), Shortage> {
        loop {
            match self.resize(bytes) {
                Err(Shortage::Leaving) => task::yield_now().await,
                result => return result,
            }
        }
    }

    /// Sets the size at once, also where the memory of connections that give way isn't free yet; fails if
    /// there is no room for more, and nobody gives way.
    pub fn resize_at_once(&mut self, bytes: Bytes) -> Result<(), Shortage> {
        match self.resize(bytes) {
            Err(Shortage::Leaving) => {
                self.set(bytes);
                Ok(())
            }
            result => result,
        }
    }

    /// Sets the size of what is held already, whether there is room or not.
    pub fn set(&mut self, bytes: Bytes) {
        if bytes > self.bytes {
            self.connection.add(Bytes(bytes.0 - self.bytes.0));
            self.bytes = bytes;
        } else {
            let _ = self.resize(bytes);
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes > Bytes::default() {
            self.connection.shrink(self.bytes);
        }
    }
}
