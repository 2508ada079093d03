//! `status`: what instances tell about themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use turmericrail_core::ids::{ConfigVersion, InstanceId, ServerId};
use turmericrail_wire::client::Call;

use crate::error::ControlError;
use crate::options::Format;
use crate::output::to_json;

/// Longest wait for an instance.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The part of a status page that is shown to people; pages of other releases may lack fields.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Summary {
    own: Own,
    is_ready: bool,
    is_leaving: bool,
    config_version: ConfigVersion,
    config_rejected: Option<(ConfigVersion, String)>,
    flows: u64,
    plain_flows: u64,
    members: Vec<Member>,
    servers: BTreeMap<ServerId, Server>,
}

#[derive(Debug, Default, Deserialize)]
struct Own {
    instance: Option<InstanceId>,
}

#[derive(Debug, Deserialize)]
struct Member {
    instance: InstanceId,
    #[serde(default)]
    is_live: bool,
    #[serde(default)]
    is_leaving: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Server {
    owner: Option<InstanceId>,
    load: Option<Load>,
    leases: u64,
    is_leaving: bool,
    is_ejected: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Load {
    free_streams: u64,
    queued_tokens: u64,
}

/// One instance in the JSON output.
#[derive(Serialize)]
struct InstanceShown {
    address: SocketAddr,
    status: Option<Value>,
    error: Option<String>,
}

/// Shows the status of each instance; those that do not answer make the command fail.
pub async fn status(instances: &[SocketAddr], format: Format) -> Result<String, ControlError> {
    let mut shown = Vec::new();
    for address in instances {
        let answer = Call::get(*address, "/status", TIMEOUT).send_json::<Value>().await;
        let (status, error) = match answer {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        shown.push(InstanceShown { address: *address, status, error });
    }
    let missing = shown.iter().filter(|instance| instance.status.is_none()).count();
    let text = match format {
        Format::Json => to_json(&shown),
        Format::Text => to_text(&shown),
    };
    if missing > 0 {
        return Err(ControlError::Unreachable { shown: text, missing, asked: instances.len() });
    }
    Ok(text)
}

fn to_text(shown: &[InstanceShown]) -> String {
    let mut lines = Vec::new();
    let mut versions: BTreeMap<ConfigVersion, u64> = BTreeMap::new();
    for instance in shown {
        let summary = instance.status.clone().map(serde_json::from_value::<Summary>);
        match summary {
            Some(Ok(summary)) => {
                *versions.entry(summary.config_version).or_default() += 1;
                add_summary(&mut lines, instance.address, &summary);
            }
            Some(Err(error)) => {
                lines.push(format!("{}: status page not understood: {error}", instance.address));
            }
            None => {
                let error = instance.error.as_deref().unwrap_or_default();
                lines.push(format!("{}: no answer: {error}", instance.address));
            }
        }
    }
    if shown.len() > 1 {
        let counts = versions.iter().map(|(version, count)| format!("{version} on {count}"));
        lines.push(format!("versions in force: {}", counts.collect::<Vec<_>>().join(", ")));
    }
    lines.join("\n")
}

fn add_summary(lines: &mut Vec<String>, address: SocketAddr, summary: &Summary) {
    let state = match (summary.is_leaving, summary.is_ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let name = summary.own.instance.as_ref().map(ToString::to_string).unwrap_or_default();
    lines.push(format!(
        "instance {name} at {address}: {state}, configuration version {}, {} model requests, {} plain calls",
        summary.config_version, summary.flows, summary.plain_flows
    ));
    if let Some((version, problem)) = &summary.config_rejected {
        lines.push(format!("  version {version} was rejected: {problem}"));
    }
    for member in &summary.members {
        let state = match (member.is_leaving, member.is_live) {
            (true, _) => "leaving",
            (false, true) => "live",
            (false, false) => "silent",
        };
        lines.push(format!("  member {:<20} {state}", member.instance));
    }
    for (id, server) in &summary.servers {
        lines.push(server_line(id, server));
    }
}

fn server_line(id: &ServerId, server: &Server) -> String {
    let owner = server.owner.as_ref().map_or("none".to_owned(), ToString::to_string);
    let load = match &server.load {
        Some(load) => {
            format!("{} free streams, {} queued tokens", load.free_streams, load.queued_tokens)
        }
        None => "load not known".to_owned(),
    };
    let state = match (server.is_leaving, server.is_ejected) {
        (true, _) => ", leaving",
        (false, true) => ", ejected",
        (false, false) => "",
    };
    format!("  server {id:<20} owner {owner}, {load}, {} leases here{state}", server.leases)
}
