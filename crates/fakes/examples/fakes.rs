//! Runs the servers that an instance with `examples/settings.yaml` needs: a fake platform, and a
//! fake backend server for each one in `examples/configuration.yaml`. Runs until interrupted.

use std::path::Path;

use serde_json::{Value, json};
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_fakes::{EngineSettings, FakeEngine, FakePlain, FakePlatform};

/// Address of the platform in `examples/settings.yaml`.
const PLATFORM_ADDRESS: &str = "127.0.0.1:9000";
/// Peer address of the instance in `examples/settings.yaml`.
const PEER_ADDRESS: &str = "127.0.0.1:8081";

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/configuration.yaml");
    let text = std::fs::read_to_string(path)?;
    let mut document: Value = serde_saphyr::from_str(&text).map_err(std::io::Error::other)?;
    let servers = document["servers"].as_object_mut().expect("the example names servers");
    for (id, server) in servers {
        let address = start_server(server["role"].as_str().unwrap_or_default()).await?;
        println!("{:<8} {id:<10} at {address}", server["role"].as_str().unwrap_or_default());
        server["address"] = json!(address);
    }
    let address = PLATFORM_ADDRESS.parse().expect("the address is valid");
    let platform = FakePlatform::start_at(address, document).await?;
    println!("platform at {address}, configuration version 1\ninterrupt to end");
    list_instance(&platform);
    std::future::pending().await
}

async fn start_server(role: &str) -> std::io::Result<std::net::SocketAddr> {
    if role == "plain" {
        return Ok(FakePlain::start().await?.address);
    }
    Ok(FakeEngine::start(EngineSettings::default()).await?.address)
}

fn list_instance(platform: &FakePlatform) {
    let id = "dakar-1-1".parse().expect("the id is valid");
    let listed = ListedInstance {
        data_centre: "dakar-1".parse().expect("the id is valid"),
        peer_address: PEER_ADDRESS.parse().expect("the address is valid"),
        state: ListedState::Live,
    };
    platform.state().instance_list.instances.insert(id, listed);
}
