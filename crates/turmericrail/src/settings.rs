//! The process's own settings, read once at its start.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use turmericrail_core::ids::{DataCentreId, InstanceId};
use turmericrail_core::units::{Bytes, Millis};

use crate::error::StartError;

/// Settings of one instance.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment; peers of another one are refused.
    pub deployment: String,
    /// This instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// IP number and port for callers.
    pub caller_address: SocketAddr,
    /// IP number and port for other instances.
    pub peer_address: SocketAddr,
    /// IP number and port of the platform's services.
    pub platform_address: SocketAddr,
    /// Key for tickets and cursors, the same on all instances of the deployment.
    pub seal_key: String,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Limits against slow or oversized callers.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Limits against slow or oversized callers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest body.
    #[serde_as(as = "DisplayFromStr")]
    pub max_body_bytes: Bytes,
    /// Most connections at a time.
    pub max_connections: u64,
    /// Longest time for a request's head and body to arrive.
    #[serde_as(as = "DisplayFromStr")]
    pub receive_timeout_ms: Millis,
    /// Longest time that a caller may leave written bytes unread.
    #[serde_as(as = "DisplayFromStr")]
    pub stall_timeout_ms: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: Bytes(1 << 20),
            max_connections: 4_000,
            receive_timeout_ms: Millis(10_000),
            stall_timeout_ms: Millis(15_000),
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| StartError::ReadSettings { path: path.to_owned(), source })?;
        Self::parse(&text)
            .map_err(|problem| StartError::BadSettings { path: path.to_owned(), problem })
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if self.deployment.is_empty() {
            return Err("deployment: must not be empty".to_owned());
        }
        if self.seal_key.len() < 16 {
            return Err("seal_key: use at least 16 bytes".to_owned());
        }
        let levels = ["error", "warn", "info", "debug"];
        if !levels.contains(&self.log_level.as_str()) {
            return Err(format!(
                "log_level: {:?} is none of {}",
                self.log_level,
                levels.join(", ")
            ));
        }
        if self.peer_address.ip().is_unspecified() {
            return Err("peer_address: name the IP number that other instances reach".to_owned());
        }
        Ok(())
    }
}
