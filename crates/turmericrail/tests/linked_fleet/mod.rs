//! Instances in two data centres, each with a link of its own to every server.

pub mod steady_callers;

use std::net::SocketAddr;

use turmericrail_fakes::registered::{FakeStore, RegisteredServer};
use turmericrail_fakes::{LinkFault, ServerLink};

use crate::forward_support::{ForwardInstance, configuration};

/// Roles of the servers, of which the plain ones come first.
const STAGES: [Option<&str>; 7] =
    [None, None, None, Some("prefill"), Some("prefill"), Some("decode"), Some("decode")];
/// Number of plain servers.
pub const PLAIN_SERVERS: usize = 3;
/// Number of instances in the first data centre; the others are in the second.
const FIRST_DATA_CENTRE_INSTANCES: usize = 3;

/// A fleet whose links can be cut one by one.
pub struct LinkedFleet {
    pub instances: Vec<ForwardInstance>,
    pub servers: Vec<RegisteredServer>,
    /// Links by instance and server.
    pub links: Vec<Vec<ServerLink>>,
}

impl LinkedFleet {
    /// Starts instances that all know each other, and the servers.
    pub fn start(name: &str, count: usize) -> Self {
        let unread_store = FakeStore::start().unwrap();
        let start_server = |(index, stage): (usize, &Option<&'static str>)| {
            RegisteredServer::start(&unread_store, &format!("s{index}"), *stage).unwrap()
        };
        let servers: Vec<_> = STAGES.iter().enumerate().map(start_server).collect();
        let mut fleet = Self { instances: Vec::new(), servers, links: Vec::new() };
        for _ in 0..count {
            fleet.add_instance(name);
        }
        let all_known = format!("event=members_changed count={count} ");
        for instance in &fleet.instances {
            instance.wait_for_log(&all_known);
        }
        fleet
    }

    fn add_instance(&mut self, name: &str) {
        let start_link = |server: &RegisteredServer| ServerLink::start(server.address()).unwrap();
        let links: Vec<_> = self.servers.iter().map(start_link).collect();
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        for (server, link) in self.servers.iter().zip(&links) {
            server.register_at(&store, "ready", link.address);
        }
        self.links.push(links);
        let address = store.address();
        let number = self.instances.len() + 1;
        let data_centre = if number <= FIRST_DATA_CENTRE_INSTANCES { "dc-a" } else { "dc-b" };
        let name = format!("{name}-{number}");
        let instance = match self.instances.first() {
            None => ForwardInstance::start_with_store(&name, store),
            Some(first) => first.start_peer_in(data_centre, &name, number as u8, store, address),
        };
        self.instances.push(instance);
    }

    /// Addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.caller_address).collect()
    }

    /// Begins a fault on all links of these instances.
    pub fn cut_off(&self, instances: &[usize], fault: LinkFault) {
        self.for_each_link(instances, |link| link.cut(fault).unwrap());
    }

    /// Ends the faults of all links of these instances.
    pub fn heal(&self, instances: &[usize]) {
        self.for_each_link(instances, |link| link.heal().unwrap());
    }

    /// Acts on the links at the same time.
    fn for_each_link(&self, instances: &[usize], act: impl Fn(&ServerLink) + Sync) {
        std::thread::scope(|scope| {
            for link in instances.iter().flat_map(|instance| &self.links[*instance]) {
                scope.spawn(|| act(link));
            }
        });
    }

    /// Bytes that an instance has sent to plain servers through its own links.
    pub fn bytes_to_plain_servers(&self, instance: usize) -> u64 {
        self.links[instance][..PLAIN_SERVERS].iter().map(ServerLink::bytes_to_server).sum()
    }

    /// Number of executions of a request at all servers; processing of prompts alone isn't counted.
    pub fn execution_count(&self, id: &str) -> usize {
        let calls = self.servers.iter().flat_map(RegisteredServer::executed_calls);
        let is_run = |call: &turmericrail_fakes::registered::ExecutedCall| {
            call.request_id() == Some(id)
                && call.head.headers.text("X-Serving-Stage") != Some("prefill")
        };
        calls.filter(is_run).count()
    }
}
