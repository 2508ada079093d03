//! Settings file of an instance that forwards calls. It is read at start and again when it changes.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use turmericrail_core::caller_account::AccountLimits;
use turmericrail_core::config::error::decode_text;
use turmericrail_core::config::{ConfigError, KeyPath};
use turmericrail_core::forward::RetryBounds;
use turmericrail_core::ids::{DataCentreId, InstanceId};
use turmericrail_core::serde_adapters::{IpAndPort, Quantity};
use turmericrail_core::units::{Bytes, Millis};

use crate::error::StartError;
use crate::log_level::LogLevel;
use crate::settings::{RECEIVE_BUFFER_RANGE, read_and_parse};

/// Least memory for answers.
const MIN_ANSWER_BYTES: Bytes = Bytes(1 << 20);
/// Least memory for callers: the longest body of usual configurations and a few small requests.
const MIN_CALLER_BYTES: Bytes = Bytes(8 << 20);
const MIN_CALLER_CONNECTIONS: u64 = 16;

/// Settings of an instance that forwards calls.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardSettings {
    /// Name of this instance, unique in the deployment.
    pub instance: InstanceId,
    /// Data centre in which this instance runs.
    pub data_centre: DataCentreId,
    /// IP address and port for callers; all of its paths are free for routes.
    #[serde_as(as = "IpAndPort")]
    pub caller_address: SocketAddr,
    /// IP address and port on which the load balancer asks whether the instance is ready.
    #[serde_as(as = "IpAndPort")]
    pub ready_address: SocketAddr,
    /// IP address and port for operators: health, metrics, status.
    #[serde_as(as = "IpAndPort")]
    pub operator_address: SocketAddr,
    /// IP address and port at which other instances reach this one.
    #[serde_as(as = "IpAndPort")]
    pub peer_address: SocketAddr,
    /// Port at which all instances take over requests of those that reach no server, at the IP address
    /// of `peer_address`; absent if requests aren't handed over.
    #[serde(default)]
    pub handover_port: Option<u16>,
    /// Other instances to contact first, some of which may be outdated or down. Their ports are
    /// replaced by that of `peer_address`.
    #[serde_as(as = "Vec<IpAndPort>")]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// IP address and port of the store from which configuration and servers are read.
    #[serde_as(as = "IpAndPort")]
    pub store_address: SocketAddr,
    /// Time from the stop signal until the process is killed.
    #[serde_as(as = "Quantity")]
    pub grace_ms: Millis,
    /// Retries allowed per call in the window, zero or more.
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to the ratio, for all instances together.
    pub retry_slack: u64,
    /// Length of the window in which retries are counted.
    #[serde_as(as = "Quantity")]
    pub retry_window_ms: Millis,
    /// Memory for all answers that are held at once, besides a small part of each.
    #[serde_as(as = "Quantity")]
    #[serde(default = "default_max_answer_bytes")]
    pub max_answer_bytes: Bytes,
    /// Memory for all that callers make the process hold: connections, requests and answers.
    #[serde_as(as = "Quantity")]
    #[serde(default = "default_max_caller_bytes")]
    pub max_caller_bytes: Bytes,
    /// Connections of callers at the same time; at most half of the files that the process may open.
    #[serde(default = "default_max_caller_connections")]
    pub max_caller_connections: u64,
    /// Bytes of a caller's connection that the system keeps until they are read.
    #[serde_as(as = "Quantity")]
    #[serde(default = "default_receive_buffer_bytes")]
    pub receive_buffer_bytes: Bytes,
    /// Whether engines may be ordered to change their role.
    #[serde(default)]
    pub gives_orders: bool,
    /// Whether servers are chosen by the speed that they state of themselves.
    #[serde(default)]
    pub uses_stated_speeds: bool,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

fn default_max_answer_bytes() -> Bytes {
    Bytes(16 << 20)
}

/// Leaves more than half of the smallest machine's memory for other work.
fn default_max_caller_bytes() -> Bytes {
    Bytes(24 << 20)
}

fn default_max_caller_connections() -> u64 {
    1_500
}

fn default_receive_buffer_bytes() -> Bytes {
    Bytes(16 << 10)
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
        if self.max_answer_bytes < MIN_ANSWER_BYTES {
            return error("max_answer_bytes", "must be at least 1 MiB");
        }
        if self.max_caller_bytes < MIN_CALLER_BYTES {
            return error("max_caller_bytes", "must be at least 8 MiB");
        }
        if self.max_caller_connections < MIN_CALLER_CONNECTIONS {
            return error("max_caller_connections", "must be at least 16");
        }
        if !RECEIVE_BUFFER_RANGE.contains(&self.receive_buffer_bytes) {
            return error("receive_buffer_bytes", "must be from 4 KiB to 4 MiB");
        }
        let addresses =
            [self.caller_address, self.ready_address, self.operator_address, self.peer_address];
        let is_taken = |port| addresses.iter().any(|address| address.port() == port);
        if self.handover_port.is_some_and(|port| port == 0 || is_taken(port)) {
            return error("handover_port", "must be another port than those of the addresses");
        }
        if self.grace_ms == Millis::ZERO {
            return error("grace_ms", "must be more than zero");
        }
        if self.store_address.ip().is_unspecified() {
            return error(
                "store_address",
                "must be the IP address of the store, not an unspecified one",
            );
        }
        Ok(())
    }

    /// Limits on what callers make the process hold.
    pub fn account_limits(&self) -> AccountLimits {
        AccountLimits {
            max_bytes: self.max_caller_bytes,
            max_connections: self.max_caller_connections,
        }
    }

    /// The bound on retries.
    pub fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window_ms: self.retry_window_ms,
        }
    }
}
