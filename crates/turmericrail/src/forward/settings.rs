//! Settings of an instance that forwards calls.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use turmericrail_core::adapters::{IpAndPort, Quantity};
use turmericrail_core::config::error::decode_text;
use turmericrail_core::config::{ConfigError, KeyPath};
use turmericrail_core::forward::RetryBounds;
use turmericrail_core::ids::{DataCentreId, InstanceId};
use turmericrail_core::units::Millis;

use crate::error::StartError;
use crate::log_level::LogLevel;
use crate::settings::read_and_parse;

/// Settings of an instance that forwards calls.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// IP number and port for callers; every path belongs to them.
    #[serde_as(as = "IpAndPort")]
    pub caller_address: SocketAddr,
    /// IP number and port for the balancer's question whether callers may come.
    #[serde_as(as = "IpAndPort")]
    pub ready_address: SocketAddr,
    /// IP number and port for operators: health, metrics, status.
    #[serde_as(as = "IpAndPort")]
    pub operator_address: SocketAddr,
    /// IP number and port for other instances, as they reach it.
    #[serde_as(as = "IpAndPort")]
    pub peer_address: SocketAddr,
    /// Some other instances, which may be stale or down; their ports are replaced by that of
    /// `peer_address`.
    #[serde_as(as = "Vec<IpAndPort>")]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// IP number and port of the store that configuration and servers are read from.
    #[serde_as(as = "IpAndPort")]
    pub store_address: SocketAddr,
    /// Time from the order to end until the process is killed.
    #[serde_as(as = "Quantity")]
    pub grace_ms: Millis,
    /// Calls sent again for each call, at the most.
    pub retry_ratio: f64,
    /// Calls sent again in each window in addition, by all instances together.
    pub retry_slack: u64,
    /// Length of the window in which calls sent again are counted.
    #[serde_as(as = "Quantity")]
    pub retry_window_ms: Millis,
    /// Whether engines may be ordered to change their role; only where they check fencing numbers.
    #[serde(default)]
    pub gives_orders: bool,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

impl ForwardSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        read_and_parse(path, Self::parse)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut settings: Self = decode_text(text)?;
        for seed in &mut settings.seeds {
            seed.set_port(settings.peer_address.port());
        }
        settings.check().map_err(|error| error.in_text(text))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let error = |field: &str, problem: &str| Err(ConfigError::at(KeyPath::new(field), problem));
        if !self.retry_ratio.is_finite() || self.retry_ratio < 0.0 {
            return error("retry_ratio", "must be zero or more");
        }
        if self.retry_window_ms == Millis::ZERO {
            return error("retry_window_ms", "must be more than zero");
        }
        if self.grace_ms == Millis::ZERO {
            return error("grace_ms", "must be more than zero");
        }
        if self.store_address.ip().is_unspecified() {
            return error("store_address", "name the IP number of the store");
        }
        Ok(())
    }

    /// The bound on calls sent again.
    pub fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window_ms: self.retry_window_ms,
        }
    }
}
