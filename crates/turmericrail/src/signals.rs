//! Operating system signals as asynchronous events.

use std::os::unix::net::UnixStream;

use async_std::io::ReadExt;

use crate::error::StartError;

/// Receives any of a set of signals.
pub struct SignalListener {
    reader: async_std::os::unix::net::UnixStream,
}

impl SignalListener {
    /// Registers a handler for each of the signals, in place of their default actions.
    pub fn register(signals: &[i32]) -> Result<Self, StartError> {
        let (reader, writer) = UnixStream::pair().map_err(StartError::Signals)?;
        for signal in signals {
            let writer = writer.try_clone().map_err(StartError::Signals)?;
            signal_hook::low_level::pipe::register(*signal, writer).map_err(StartError::Signals)?;
        }
        Ok(Self { reader: reader.into() })
    }

    /// Waits for the next signal; returns false when signals can no longer be received.
    pub async fn wait(&mut self) -> bool {
        let mut byte = [0];
        let read = self.reader.read_exact(&mut byte).await;
        if let Err(error) = &read {
            spdlog::error!("event=signals_lost error={:?}", error.to_string());
        }
        read.is_ok()
    }
}
