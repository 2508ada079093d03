//! The platform: configuration documents, the instance list and the list of leaving servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Value, json};
use turmericrail_core::event::Event;
use turmericrail_core::ids::{ConfigVersion, InstanceId};
use turmericrail_core::membership::{ListedInstance, ListedState};

use super::engines::{KV_TOTAL_PIECES, STREAM_LIMIT_STREAMS};
use super::simulation::{DATA_CENTRES, Delivery, Simulation, instance_id};

/// Interval at which the platform's state is sent to every instance.
const PUBLISH_INTERVAL_MS: u64 = 1_000;
/// Engines: id, data centre and role.
pub const ENGINES: [(&str, &str, &str); 5] = [
    ("a-prefill", "dc-a", "prefill"),
    ("a-decode-1", "dc-a", "decode"),
    ("a-decode-2", "dc-a", "decode"),
    ("b-prefill", "dc-b", "prefill"),
    ("b-decode", "dc-b", "decode"),
];
/// Servers of plain services: id and data centre.
pub const PLAIN_SERVERS: [(&str, &str); 3] =
    [("a-plain-1", "dc-a"), ("a-plain-2", "dc-a"), ("b-plain", "dc-b")];

/// State of the platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Newest configuration version.
    pub version: u64,
    /// Configuration version that is sent; older than `version` while stale.
    pub stale_version: u64,
    /// Sends an old version and an old list until this time.
    pub stale_until_ms: u64,
    pub down_until_ms: u64,
    /// Instance list that is sent; not updated while stale.
    pub instance_list: BTreeMap<InstanceId, ListedInstance>,
}

/// Address of an instance or server; nothing listens there.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

impl Simulation {
    /// Sends the platform's state to every instance with a random delay.
    pub fn send_platform_state(&mut self) {
        if !self.now_ms.is_multiple_of(PUBLISH_INTERVAL_MS)
            || self.now_ms < self.platform.down_until_ms
        {
            return;
        }
        let is_stale = self.now_ms < self.platform.stale_until_ms;
        if !is_stale {
            self.platform.stale_version = self.platform.version;
            self.platform.instance_list = self.current_instance_list();
        }
        let version = self.platform.stale_version;
        let leaving_ids =
            self.engines.iter().filter(|(_, engine)| self.now_ms < engine.leaving_until_ms);
        let leaving_ids: Vec<_> = leaving_ids.map(|(id, _)| id.clone()).collect();
        for index in 0..self.instances.len() {
            let run = (index, self.instances[index].incarnation);
            let delay_ms = self.random.below(PUBLISH_INTERVAL_MS);
            let list = self.platform.instance_list.clone();
            self.schedule(delay_ms, Delivery::Event(run, Event::InstanceList(list)));
            let leaving_servers = leaving_ids.clone();
            self.schedule(delay_ms, Delivery::Event(run, Event::LeavingServers(leaving_servers)));
            let event = Event::ConfigDocument(ConfigVersion(version), document(version));
            self.schedule(delay_ms, Delivery::Event(run, event));
        }
    }

    fn current_instance_list(&self) -> BTreeMap<InstanceId, ListedInstance> {
        let listed = (0..self.instances.len()).map(|index| {
            let state = ListedState::Live;
            let data_centre = DATA_CENTRES[index].parse().expect("a valid id");
            (
                instance_id(index),
                ListedInstance { data_centre, peer_address: address(index), state },
            )
        });
        listed.collect()
    }
}

/// The configuration document of a version; versions differ in `retry_percent`.
fn document(version: u64) -> Value {
    let servers = ENGINES.iter().enumerate().map(|(number, (id, data_centre, role))| {
        let server = json!({
            "data_centre": data_centre, "role": role, "address": address(100 + number).to_string(),
            "stream_limit_streams": STREAM_LIMIT_STREAMS, "kv_pieces": KV_TOTAL_PIECES,
        });
        ((*id).to_owned(), server)
    });
    let mut servers: serde_json::Map<_, _> = servers.collect();
    for (number, (id, data_centre)) in PLAIN_SERVERS.iter().enumerate() {
        let address = address(200 + number).to_string();
        let server = json!({"data_centre": data_centre, "role": "plain", "address": address});
        servers.insert((*id).to_owned(), server);
    }
    let plain_servers: Vec<_> = PLAIN_SERVERS.iter().map(|(id, _)| *id).collect();
    let engines: Vec<_> = ENGINES.iter().map(|(id, _, _)| *id).collect();
    json!({
        "version": version,
        "caller_kinds": {"printer": {
            "time_zone": "Africa/Dakar", "goodput_weight": 1.0, "wasted_prefill_weight": 1.0,
            "windows": {
                "day": {
                    "from": "07:00", "until": "20:00", "first_token_ms": 2_000, "per_token_ms": 100,
                },
                "night": {
                    "from": "20:00", "until": "07:00", "first_token_ms": 5_000, "per_token_ms": 200,
                },
            },
        }},
        "models": {"quote": {
            "default_version": "v1", "versions": {"v1": {"servers": engines}},
        }},
        "routes": {
            "book": {
                "method": "POST", "path": "/slots/{slot}/bookings", "idempotent": false,
                "timeout_ms": 2_000, "servers": plain_servers,
            },
            "read": {
                "method": "GET", "path": "/stock/{board}", "idempotent": true,
                "timeout_ms": 1_500, "servers": plain_servers,
            },
        },
        "servers": servers,
        "limits": {"retry_percent": version % 100},
    })
}
