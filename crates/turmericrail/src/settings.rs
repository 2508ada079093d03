//! Settings of an instance, read once from a YAML file when the process starts.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use turmericrail_core::caller_account::AccountLimits;
use turmericrail_core::config::error::decode_text;
use turmericrail_core::config::{ConfigError, KeyPath};
use turmericrail_core::ids::{DataCentreId, InstanceId};
use turmericrail_core::serde_adapters::{IpAndPort, Quantity};
use turmericrail_core::units::{Bytes, Millis};

use crate::error::StartError;
use crate::log_level::LogLevel;

const MAX_WORKER_THREADS: usize = 64;
/// A stream id is an instance id followed by numbers, and its own length is limited too.
const MAX_INSTANCE_ID_BYTES: usize = 64;
const MIN_SEAL_KEY_BYTES: usize = 16;
/// Least memory for requests, each of which takes some beside its body.
const MIN_BUFFERED_BYTES: Bytes = Bytes(256 << 10);
/// Least and most that the system may keep of a connection until it is read.
pub const RECEIVE_BUFFER_RANGE: RangeInclusive<Bytes> = Bytes(4 << 10)..=Bytes(4 << 20);

/// Settings of one instance.
#[serde_as]
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Messages from peers of another deployment are refused.
    pub deployment: String,
    pub instance: InstanceId,
    pub data_centre: DataCentreId,
    /// IP address and port on which callers are served.
    #[serde_as(as = "IpAndPort")]
    pub caller_address: SocketAddr,
    /// IP address and port at which other instances reach this one.
    #[serde_as(as = "IpAndPort")]
    pub peer_address: SocketAddr,
    /// IP address and port on which peers are served, if they reach it through another address;
    /// absent if it is `peer_address` itself.
    #[serde_as(as = "Option<IpAndPort>")]
    #[serde(default)]
    pub peer_listen_address: Option<SocketAddr>,
    /// IP address and port of the platform's services.
    #[serde_as(as = "IpAndPort")]
    pub platform_address: SocketAddr,
    /// Secret that protects tickets and cursors; the same on all instances of the deployment.
    pub seal_key: String,
    #[serde(default)]
    pub log_level: LogLevel,
    /// Threads of the async executor.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Limits on what callers may send and hold.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest body of a request.
    #[serde_as(as = "Quantity")]
    pub max_body_bytes: Bytes,
    /// Memory for all connections and requests: heads, bodies, and what each takes beside these.
    #[serde_as(as = "Quantity")]
    pub max_buffered_bytes: Bytes,
    /// Memory for all answers of servers while they are read, besides the first 64 KiB of each.
    #[serde_as(as = "Quantity")]
    pub max_answer_bytes: Bytes,
    /// Concurrent connections of callers; at most half of the files that the process may open.
    pub max_connections: u64,
    /// Bytes of a caller's connection that the system keeps until they are read.
    #[serde_as(as = "Quantity")]
    pub receive_buffer_bytes: Bytes,
    /// Longest time for the head of a request to arrive, and again for its body.
    #[serde_as(as = "Quantity")]
    pub receive_timeout_ms: Millis,
    /// Longest time that an answer may wait because the caller reads too slowly.
    #[serde_as(as = "Quantity")]
    pub stall_timeout_ms: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: Bytes(1 << 20),
            max_buffered_bytes: Bytes(128 << 20),
            max_answer_bytes: Bytes(64 << 20),
            max_connections: 1_000,
            receive_buffer_bytes: Bytes(16 << 10),
            receive_timeout_ms: Millis(10_000),
            stall_timeout_ms: Millis(15_000),
        }
    }
}

fn default_worker_threads() -> usize {
    2
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        read_and_parse(path, Self::parse)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let settings: Self = decode_text(text)?;
        settings.check().map_err(|error| error.in_text(text))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let error = |field: &str, problem: &str| Err(ConfigError::at(KeyPath::new(field), problem));
        if self.deployment.trim().is_empty() {
            return error("deployment", "must not be empty: name the deployment");
        }
        if self.instance.as_str().len() > MAX_INSTANCE_ID_BYTES {
            return error("instance", "too long: use at most 64 characters");
        }
        if self.seal_key.len() < MIN_SEAL_KEY_BYTES {
            return error(
                "seal_key",
                "too short: use at least 16 bytes, the same on all instances",
            );
        }
        if self.peer_address.ip().is_unspecified() {
            return error("peer_address", "name the IP number that other instances reach");
        }
        if self.platform_address.ip().is_unspecified() {
            return error("platform_address", "name the IP number of the platform's services");
        }
        if !(1..=MAX_WORKER_THREADS).contains(&self.worker_threads) {
            return error("worker_threads", "use 1 to 64 threads");
        }
        self.check_ports()?;
        self.limits.check()
    }

    fn check_ports(&self) -> Result<(), ConfigError> {
        let mut addresses = vec![
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("platform_address", self.platform_address),
        ];
        addresses.extend(self.peer_listen_address.map(|address| ("peer_listen_address", address)));
        for (index, (field, address)) in addresses.iter().enumerate() {
            let error = |problem: String| Err(ConfigError::at(KeyPath::new(field), problem));
            if address.port() == 0 {
                return error("port 0 can't be reached: name a port".to_owned());
            }
            let same =
                addresses[..index].iter().find(|(_, other)| addresses_overlap(*address, *other));
            if let Some((other, _)) = same {
                let problem =
                    format!("duplicate address {address}: {other} has it too, change one of them");
                return error(problem);
            }
        }
        Ok(())
    }
}

impl CallerLimits {
    /// Limits on what callers make the process hold.
    pub fn account_limits(&self) -> AccountLimits {
        AccountLimits { max_bytes: self.max_buffered_bytes, max_connections: self.max_connections }
    }

    fn check(&self) -> Result<(), ConfigError> {
        let limits = [
            ("max_body_bytes", self.max_body_bytes.0),
            ("max_answer_bytes", self.max_answer_bytes.0),
            ("max_connections", self.max_connections),
            ("receive_timeout_ms", self.receive_timeout_ms.0),
            ("stall_timeout_ms", self.stall_timeout_ms.0),
        ];
        for (field, limit) in limits {
            if limit == 0 {
                let path = KeyPath::new("limits").join(field);
                return Err(ConfigError::at(path, "must be more than zero"));
            }
        }
        if !RECEIVE_BUFFER_RANGE.contains(&self.receive_buffer_bytes) {
            let path = KeyPath::new("limits").join("receive_buffer_bytes");
            return Err(ConfigError::at(path, "must be from 4 KiB to 4 MiB"));
        }
        if self.max_buffered_bytes < self.max_body_bytes {
            let path = KeyPath::new("limits").join("max_buffered_bytes");
            return Err(ConfigError::at(path, "less than max_body_bytes: raise it"));
        }
        if self.max_buffered_bytes < MIN_BUFFERED_BYTES {
            let path = KeyPath::new("limits").join("max_buffered_bytes");
            return Err(ConfigError::at(path, "must be at least 256 KiB"));
        }
        Ok(())
    }
}

/// Reads a settings file and parses it; errors name the file.
pub fn read_and_parse<T>(
    path: &Path,
    parse: impl Fn(&str) -> Result<T, ConfigError>,
) -> Result<T, StartError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| StartError::ReadSettings { path: path.to_owned(), source })?;
    parse(&text).map_err(|problem| StartError::BadSettings { path: path.to_owned(), problem })
}

/// Whether two addresses can't both be in use; an unspecified IP address matches every other.
fn addresses_overlap(first: SocketAddr, second: SocketAddr) -> bool {
    let is_any = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() == second.port() && (is_any || first.ip() == second.ip())
}
