//! `status`: the status pages of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use turmericrail_core::ids::{ConfigVersion, InstanceId, ServerId};
use turmericrail_wire::client::Call;

use crate::error::CommandError;
use crate::options::Format;
use crate::output::to_json;

/// Timeout of the call to an instance.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Part of a status page that is printed as text. Fields are optional, since instances that run
/// another version of the program may lack them.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StatusPage {
    own: OwnInstance,
    is_ready: bool,
    is_leaving: bool,
    config_version: ConfigVersion,
    config_rejected: Option<(ConfigVersion, String)>,
    flows: u64,
    plain_flows: u64,
    members: Vec<Member>,
    servers: BTreeMap<ServerId, ServerStatus>,
}

#[derive(Debug, Default, Deserialize)]
struct OwnInstance {
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
struct ServerStatus {
    owner: Option<InstanceId>,
    load: Option<ServerLoad>,
    leases: u64,
    is_leaving: bool,
    is_ejected: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ServerLoad {
    free_streams: u64,
    queued_tokens: u64,
}

/// Status of an instance, or why it can't be read.
#[derive(Serialize)]
struct InstanceOutput {
    address: SocketAddr,
    status: Option<Value>,
    error: Option<String>,
}

/// Returns the status of each instance; fails if any of them doesn't answer.
pub async fn status(instances: &[SocketAddr], format: Format) -> Result<String, CommandError> {
    let mut outputs = Vec::new();
    for address in instances {
        let answer = Call::get(*address, "/status", TIMEOUT).send_json::<Value>().await;
        let (status, error) = match answer {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        outputs.push(InstanceOutput { address: *address, status, error });
    }
    let unanswered_count = outputs.iter().filter(|instance| instance.status.is_none()).count();
    let text = match format {
        Format::Json => to_json(&outputs),
        Format::Text => to_text(&outputs),
    };
    if unanswered_count > 0 {
        return Err(CommandError::Unreachable {
            output: text,
            unanswered_count,
            instance_count: instances.len(),
        });
    }
    Ok(text)
}

fn to_text(outputs: &[InstanceOutput]) -> String {
    let mut lines = Vec::new();
    let mut versions: BTreeMap<ConfigVersion, u64> = BTreeMap::new();
    for instance in outputs {
        let page = instance.status.clone().map(serde_json::from_value::<StatusPage>);
        match page {
            Some(Ok(page)) => {
                *versions.entry(page.config_version).or_default() += 1;
                add_instance_lines(&mut lines, instance.address, &page);
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
    if outputs.len() > 1 {
        let counts = versions.iter().map(|(version, count)| format!("{version} on {count}"));
        lines.push(format!("versions in force: {}", counts.collect::<Vec<_>>().join(", ")));
    }
    lines.join("\n")
}

fn add_instance_lines(lines: &mut Vec<String>, address: SocketAddr, page: &StatusPage) {
    let state = match (page.is_leaving, page.is_ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let name = page.own.instance.as_ref().map(ToString::to_string).unwrap_or_default();
    lines.push(format!(
        "instance {name} at {address}: {state}, configuration version {}, {} model requests, {} plain calls",
        page.config_version, page.flows, page.plain_flows
    ));
    if let Some((version, problem)) = &page.config_rejected {
        lines.push(format!("  version {version} was rejected: {problem}"));
    }
    for member in &page.members {
        let state = match (member.is_leaving, member.is_live) {
            (true, _) => "leaving",
            (false, true) => "live",
            (false, false) => "silent",
        };
        lines.push(format!("  member {:<20} {state}", member.instance));
    }
    for (id, server) in &page.servers {
        lines.push(server_line(id, server));
    }
}

fn server_line(id: &ServerId, server: &ServerStatus) -> String {
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
