//! A deployment on loopback for tests: the fakes run in this process, each instance as a child
//! process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

use async_std::task;
use serde_json::{Value, json};
use turmericrail_core::ids::InstanceId;
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_wire::client::Call;

use crate::engine::FakeEngine;
use crate::fleet_instance::FleetInstance;
use crate::fleet_plan::FleetPlan;
use crate::fleet_proxies::FleetProxies;
use crate::plain::FakePlain;
use crate::platform::FakePlatform;
use crate::ports::free_address;

/// Number of status requests after which an instance counts as not ready.
const MAX_READY_ATTEMPTS: usize = 1_600;
/// Interval between status requests to an instance that isn't ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Instances with the platform and the backend servers that they use.
#[expect(missing_docs, reason = "the names say it")]
pub struct Fleet {
    pub plan: FleetPlan,
    pub platform: FakePlatform,
    /// Prefill engines by server id.
    pub prefill: BTreeMap<String, FakeEngine>,
    /// Decode engines by server id.
    pub decode: BTreeMap<String, FakeEngine>,
    /// Plain services by server id.
    pub plain: BTreeMap<String, FakePlain>,
    pub instances: Vec<FleetInstance>,
    /// Empty unless the plan asks for proxies.
    pub proxies: FleetProxies,
}

impl Drop for Fleet {
    /// Removes settings and logs, except after a panic: a failed test needs them.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.plan.folder);
        }
    }
}

impl Fleet {
    /// Starts fakes and instances and waits until every instance is ready.
    pub async fn start(plan: FleetPlan) -> std::io::Result<Self> {
        std::fs::create_dir_all(&plan.folder)?;
        let mut fleet = Self {
            platform: FakePlatform::start(Value::Null).await?,
            prefill: BTreeMap::new(),
            decode: BTreeMap::new(),
            plain: BTreeMap::new(),
            instances: Vec::new(),
            proxies: FleetProxies::default(),
            plan,
        };
        let document = fleet.start_servers().await?;
        {
            let mut state = fleet.platform.state();
            state.changes = vec![(1, document.clone())];
            state.document = document;
        }
        for (data_centre, count) in fleet.plan.data_centres.clone() {
            for number in 1..=count {
                fleet.add_instance(&data_centre, number)?;
            }
        }
        if fleet.plan.has_proxies {
            fleet.proxies.add_instances(&fleet.instances, fleet.platform.address).await?;
        }
        fleet.publish_instances();
        for index in 0..fleet.instances.len() {
            fleet.start_instance(index)?;
        }
        fleet.wait_ready().await;
        Ok(fleet)
    }

    /// Starts the process of an instance.
    pub fn start_instance(&mut self, index: usize) -> std::io::Result<()> {
        let instance = &mut self.instances[index];
        let id = instance.id.as_str();
        let platform = self.proxies.platform_address(id, self.platform.address);
        let peer_address = self.proxies.peer_address(id, instance.peer_address);
        let has_proxy = peer_address != instance.peer_address;
        let listen_setting = format!("peer_listen_address: {}\n", instance.peer_address);
        let extra_settings_text =
            if has_proxy { listen_setting } else { String::new() } + &self.plan.extra_settings;
        let settings = format!(
            "deployment: test\ninstance: {id}\ndata_centre: {}\ncaller_address: {}\n\
             peer_address: {peer_address}\nplatform_address: {platform}\n\
             seal_key: 0123456789abcdef\n{extra_settings_text}",
            instance.data_centre, instance.caller_address
        );
        let path = self.plan.folder.join(format!("{}.yaml", instance.id));
        std::fs::write(&path, settings)?;
        let log = std::fs::File::options().create(true).append(true).open(&instance.log_path)?;
        let process = Command::new(&self.plan.daemon)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        instance.process = Some(process);
        Ok(())
    }

    /// Waits until every running instance is ready and knows the load of every engine.
    pub async fn wait_ready(&self) {
        for instance in &self.instances {
            if instance.process.is_some() {
                self.wait_until_instance_ready(instance).await;
            }
        }
    }

    /// Status of an instance; none if it doesn't answer.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let call =
            Call::get(self.instances[index].caller_address, "/status", Duration::from_secs(1));
        call.send_json().await.ok()
    }

    /// Number of streams that occupy memory, over all engines.
    pub fn held_streams(&self) -> usize {
        let engines = self.prefill.values().chain(self.decode.values());
        engines.map(|engine| engine.state().streams.len()).sum()
    }

    /// Id of the decode engine that holds the most streams, and the engine.
    pub fn busiest_decode_engine(&self) -> Option<(&String, &FakeEngine)> {
        self.decode.iter().max_by_key(|(_, engine)| engine.state().streams.len())
    }

    /// Index of the instance that owns a server, according to the instance with index `observer`.
    pub async fn owner_of(&self, server: &str, observer: usize) -> Option<usize> {
        let status = self.status(observer).await?;
        let owner = status["servers"][server]["owner"].as_str()?.to_owned();
        self.instances.iter().position(|instance| instance.id.as_str() == owner)
    }

    /// Lists all instances as live at the platform.
    pub fn publish_instances(&self) {
        let listed = self.instances.iter().map(|instance| {
            let entry = ListedInstance {
                data_centre: instance.data_centre.parse().expect("plans name valid data centres"),
                peer_address: self
                    .proxies
                    .peer_address(instance.id.as_str(), instance.peer_address),
                state: ListedState::Live,
            };
            (instance.id.clone(), entry)
        });
        self.platform.state().instance_list.instances = listed.collect();
    }

    fn add_instance(&mut self, data_centre: &str, number: usize) -> std::io::Result<()> {
        let id: InstanceId =
            format!("{data_centre}-{number}").parse().expect("plans name valid data centres");
        let log_path = self.plan.folder.join(format!("{id}.log"));
        self.instances.push(FleetInstance {
            id,
            data_centre: data_centre.to_owned(),
            caller_address: free_address()?,
            peer_address: free_address()?,
            process: None,
            log_path,
        });
        Ok(())
    }

    async fn start_servers(&mut self) -> std::io::Result<Value> {
        let mut servers = serde_json::Map::new();
        let mut engines = Vec::new();
        for data_centre in &self.plan.data_centres.keys().cloned().collect::<Vec<_>>() {
            for number in 1..=self.plan.prefill_engines {
                let id = format!("{data_centre}-prefill-{number}");
                let engine = FakeEngine::start(self.plan.engine.clone()).await?;
                let address = self.engine_address(&id, &engine).await?;
                servers.insert(id.clone(), server(data_centre, address, "prefill"));
                engines.push(id.clone());
                self.prefill.insert(id, engine);
            }
            for number in 1..=self.plan.decode_engines {
                let id = format!("{data_centre}-decode-{number}");
                let engine = FakeEngine::start(self.plan.engine.clone()).await?;
                let address = self.engine_address(&id, &engine).await?;
                servers.insert(id.clone(), server(data_centre, address, "decode"));
                engines.push(id.clone());
                self.decode.insert(id, engine);
            }
        }
        let data_centres: Vec<_> = self.plan.data_centres.keys().cloned().collect();
        for number in 1..=self.plan.plain_services {
            let id = format!("plain-{number}");
            let service = FakePlain::start().await?;
            let data_centre = &data_centres[number % data_centres.len()];
            servers.insert(id.clone(), server(data_centre, service.address, "plain"));
            self.plain.insert(id, service);
        }
        Ok(self.document(servers, &engines))
    }

    async fn engine_address(
        &mut self,
        id: &str,
        engine: &FakeEngine,
    ) -> std::io::Result<SocketAddr> {
        if !self.plan.has_proxies {
            return Ok(engine.address);
        }
        self.proxies.add_engine(id, engine.address).await
    }

    fn document(&self, servers: serde_json::Map<String, Value>, engines: &[String]) -> Value {
        let plain: Vec<_> = self.plain.keys().collect();
        let route = |method: &str, path: &str, idempotent: bool| {
            json!({
                "method": method, "path": path, "idempotent": idempotent,
                "timeout_ms": 2000, "servers": plain,
            })
        };
        json!({
            "version": 1,
            "caller_kinds": {
                "printer": targets("Africa/Dakar", 3.0, 1.0),
                "author": targets("Asia/Taipei", 1.0, 3.0),
            },
            "routes": {
                "read-stock": route("GET", "/stock/{board}", true),
                "book-slot": route("POST", "/slots/{slot}/bookings", false),
                "read-catalogue": route("GET", "/catalogue/{mod}", true),
                "install": route("POST", "/installs", false),
            },
            "models": {
                "quote": model(engines),
                "review": model(engines),
            },
            "servers": servers,
        })
    }

    async fn wait_until_instance_ready(&self, instance: &FleetInstance) {
        for _ in 0..MAX_READY_ATTEMPTS {
            let call = Call::get(instance.caller_address, "/status", READY_CHECK_INTERVAL * 20);
            let status: Option<Value> = call.send_json().await.ok();
            if status.is_some_and(|status| is_ready_with_all_loads(&status)) {
                return;
            }
            task::sleep(READY_CHECK_INTERVAL).await;
        }
        panic!("instance {} did not become ready", instance.id);
    }
}

fn is_ready_with_all_loads(status: &Value) -> bool {
    let servers = status["servers"].as_object();
    let has_load =
        |(id, server): (&String, &Value)| id.starts_with("plain") || !server["load"].is_null();
    status["is_ready"] == true && servers.is_some_and(|servers| servers.iter().all(has_load))
}

fn model(engines: &[String]) -> Value {
    json!({"default_version": "v1", "versions": {"v1": {"servers": engines}}})
}

fn server(data_centre: &str, address: SocketAddr, role: &str) -> Value {
    json!({"data_centre": data_centre, "address": address.to_string(), "role": role})
}

fn targets(time_zone: &str, goodput_weight: f64, wasted_prefill_weight: f64) -> Value {
    json!({
        "time_zone": time_zone,
        "goodput_weight": goodput_weight,
        "wasted_prefill_weight": wasted_prefill_weight,
        "windows": {
            "day": {"from": "07:00", "until": "20:00", "first_token_ms": 2000, "per_token_ms": 100},
            "night": {"from": "20:00", "until": "07:00", "first_token_ms": 4000, "per_token_ms": 200},
        },
    })
}
