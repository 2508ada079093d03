//! What the forwarder records of the connections to servers.

use std::net::SocketAddr;

use super::service_reach::{CUT_OFF_SERVERS, FEW_SERVERS};
use super::shuffled::shuffled;
use super::{HandoverTargets, ReachChange};
use crate::forward::{Forwarder, ServerEntry, ServerRun, ServerState};
use crate::ids::{ServerId, ServiceId};
use crate::units::Millis;

/// Servers that are looked at besides the first unreached one.
const CONFIRMING_PROBES: usize = CUT_OFF_SERVERS - 1;
/// Servers that are probed at once while a service is cut off.
const HEAL_PROBES: usize = 2;

impl Forwarder {
    /// Records whether a connection to a server was opened; returns its service and what that
    /// changed. Runs that aren't registered any more say nothing.
    pub fn record_connect(
        &mut self,
        now_ms: Millis,
        run: &ServerRun,
        is_opened: bool,
    ) -> Option<(ServiceId, ReachChange)> {
        let entry = self.registry.entry(now_ms, &run.server);
        let entry = entry.filter(|entry| entry.started_ms == run.started_ms)?;
        let service = entry.service.clone();
        if is_opened {
            let reach = self.reaches.get_mut(&service)?;
            return Some((service, reach.record_reached(now_ms)));
        }
        let servers = self.ready_servers(now_ms, &service).count();
        let reach = self.reaches.entry(service.clone()).or_default();
        let change = reach.record_unreached(now_ms, run, servers);
        Some((service, change))
    }

    /// Records that a server has answered.
    pub fn record_heard(&mut self, now_ms: Millis, service: &ServiceId) {
        self.reaches.entry(service.clone()).or_default().record_answer(now_ms);
    }

    /// Whether no server of a service is reached, where a request for it has come.
    pub fn is_cut_off(&mut self, now_ms: Millis, service: &ServiceId) -> bool {
        let Some(reach) = self.reaches.get_mut(service).filter(|reach| reach.is_cut_off()) else {
            return false;
        };
        reach.record_wanted(now_ms);
        true
    }

    /// Whether no server of a service was reached when that was looked at last.
    pub fn is_still_cut_off(&self, service: &ServiceId) -> bool {
        self.reaches.get(service).is_some_and(|reach| reach.is_cut_off())
    }

    /// Number of services of which no server is reached.
    pub fn cut_off_services(&self) -> usize {
        self.reaches.values().filter(|reach| reach.is_cut_off()).count()
    }

    /// Whether a server that hasn't answered a call should be probed.
    pub fn plan_silence_probe(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        run: &ServerRun,
    ) -> bool {
        self.reaches.entry(service.clone()).or_default().plan_silence_probe(now_ms, run)
    }

    /// Servers whose connections tell whether a doubtful service is cut off. Those of a service with few
    /// servers are to be looked at a second time.
    pub fn confirming_servers(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        random: u64,
    ) -> Vec<(ServerRun, SocketAddr)> {
        let reach = self.reaches.get(service);
        let is_unreached = |server: &ServerId, entry: &ServerEntry| {
            let is_same =
                |run: &ServerRun| run.server == *server && run.started_ms == entry.started_ms;
            reach.is_some_and(|reach| reach.unreached().any(is_same))
        };
        let takes_all = self.has_few_servers(now_ms, service);
        let servers = self.ready_servers(now_ms, service);
        let doubtful = servers.filter(|(server, entry)| takes_all || !is_unreached(server, entry));
        pick(doubtful, CONFIRMING_PROBES, random)
    }

    /// Whether a service has so few servers that each is looked at twice.
    pub fn has_few_servers(&self, now_ms: Millis, service: &ServiceId) -> bool {
        self.ready_servers(now_ms, service).nth(FEW_SERVERS - 1).is_none()
    }

    /// Servers whose connections tell whether a service that is cut off is reached again.
    pub fn heal_servers(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        random: u64,
    ) -> Vec<(ServerRun, SocketAddr)> {
        pick(self.ready_servers(now_ms, service), HEAL_PROBES, random)
    }

    fn ready_servers<'f>(
        &'f self,
        now_ms: Millis,
        service: &'f ServiceId,
    ) -> impl Iterator<Item = (&'f ServerId, &'f ServerEntry)> {
        let is_ready =
            |entry: &ServerEntry| entry.service == *service && entry.state == ServerState::Ready;
        self.registry.servers(now_ms).filter(move |(_, entry)| is_ready(entry))
    }

    /// The members that are left out when requests are handed over.
    pub fn handover_targets(&mut self) -> &mut HandoverTargets {
        &mut self.handover_targets
    }

    /// Drops what is over.
    pub(in crate::forward) fn expire_reaches(&mut self, now_ms: Millis) {
        self.reaches.retain(|_, reach| reach.expire(now_ms));
        self.handover_targets.expire(now_ms);
    }
}

fn pick<'f>(
    servers: impl Iterator<Item = (&'f ServerId, &'f ServerEntry)>,
    count: usize,
    random: u64,
) -> Vec<(ServerRun, SocketAddr)> {
    let picked = shuffled(servers.collect(), random).into_iter().take(count);
    let to_run = |(server, entry): (&ServerId, &ServerEntry)| {
        let run = ServerRun { server: server.clone(), started_ms: entry.started_ms };
        (run, entry.address)
    };
    picked.map(to_run).collect()
}
