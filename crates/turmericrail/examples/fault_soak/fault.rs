//! The faults that a run injects.

use std::time::Duration;

use turmericrail_fakes::registered::{Behaviour, EndlessBytes};
use turmericrail_fakes::{Fault as ProxyFault, FaultProxy, FaultScope};

use crate::fault_run::{FaultRun, PLAIN_SERVERS};

/// Faulty behaviours of servers towards single calls.
const FAULTY_BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::CloseWithoutAnswer,
    Behaviour::NeverAnswer,
    Behaviour::Refuse,
    Behaviour::CloseMidEvent,
    Behaviour::Pause,
    Behaviour::Fail,
    Behaviour::ForeignAnswerFirst,
];
/// Answers that stop before their end, or never do.
pub const ANSWER_FAULTS: [Behaviour; 9] = [
    Behaviour::AnswerUntilClose,
    Behaviour::EndMidEvent,
    Behaviour::EndBeforeEvents,
    Behaviour::CloseBeforeEvents,
    Behaviour::LastChunkMidEvent,
    Behaviour::FullLengthMidEvent,
    Behaviour::GarbledChunks,
    Behaviour::Endless(EndlessBytes::InterimHeads),
    Behaviour::Endless(EndlessBytes::Trailers),
];
/// Maximum number of consecutive calls that one server handles wrongly: about what it receives in a
/// second.
const MAX_FAULTY_CALLS: usize = 30;

/// A fault; the first number is that of the affected instance or server.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An instance is killed, and started again at the end of the fault.
    Kill(usize),
    /// An instance is suspended.
    Suspend(usize),
    /// An instance reloads its settings.
    Reload(usize),
    /// The connections between an instance and the store fail.
    StoreProxy(usize, ProxyFault),
    /// The connections of all instances to the store fail.
    AllStoreProxies(ProxyFault),
    DropStoreHistory,
    /// Watches of the store receive no events, and are closed after a while.
    SilentWatches,
    /// Connections to a server fail; the flag says whether new connections fail too.
    ServerProxy(usize, ProxyFault, bool),
    /// A server handles this many calls wrongly.
    FaultyCalls(usize, Behaviour, usize),
    /// A server's entry is removed from the store, and written again at the end of the fault.
    RemoveEntry(usize),
    PublishConfiguration,
}

impl Fault {
    /// Returns a random fault.
    pub fn random(rng: &mut fastrand::Rng, instances: usize, servers: usize) -> Self {
        let proxy_faults = [
            ProxyFault::Close,
            ProxyFault::DropAll,
            ProxyFault::DropFromClient,
            ProxyFault::Delay(Duration::from_millis(rng.u64(20..600))),
        ];
        let proxy_fault = proxy_faults[rng.usize(..proxy_faults.len())];
        let (instance, server) = (rng.usize(..instances), rng.usize(..servers));
        let behaviour = FAULTY_BEHAVIOURS[rng.usize(..FAULTY_BEHAVIOURS.len())];
        match rng.u8(..20) {
            0 | 1 => Fault::Kill(instance),
            2 | 3 => Fault::Suspend(instance),
            4 => Fault::Reload(instance),
            5 | 6 => Fault::StoreProxy(instance, proxy_fault),
            7 => Fault::AllStoreProxies(proxy_fault),
            8 => Fault::DropStoreHistory,
            9 => Fault::SilentWatches,
            10 | 11 => Fault::ServerProxy(server, proxy_fault, rng.bool()),
            12..=14 => Fault::FaultyCalls(server, behaviour, rng.usize(1..=MAX_FAULTY_CALLS)),
            15..=17 => {
                let plain = rng.usize(..PLAIN_SERVERS);
                Fault::FaultyCalls(plain, behaviour, rng.usize(1..=MAX_FAULTY_CALLS))
            }
            18 => Fault::RemoveEntry(server),
            _ => Fault::PublishConfiguration,
        }
    }

    /// Starts the fault.
    pub fn start(self, run: &mut FaultRun) {
        match self {
            Fault::Kill(number) => run.instances[number].kill(),
            Fault::Suspend(number) => run.instances[number].signal("STOP"),
            Fault::Reload(number) => run.instances[number].signal("HUP"),
            Fault::StoreProxy(number, fault) => fail_all(&run.instances[number].store_proxy, fault),
            Fault::AllStoreProxies(fault) => {
                run.instances.iter().for_each(|instance| fail_all(&instance.store_proxy, fault));
            }
            Fault::DropStoreHistory => run.store.drop_history(),
            Fault::SilentWatches => run.store.withhold_events(),
            Fault::ServerProxy(number, fault, affects_new) => {
                let scope = if affects_new { FaultScope::All } else { FaultScope::Existing };
                run.servers[number].proxy.add_fault(fault, scope, |_| true);
            }
            Fault::FaultyCalls(number, behaviour, count) => {
                run.servers[number].server.set_next_behaviours(&vec![behaviour; count]);
            }
            Fault::RemoveEntry(number) => run.servers[number].remove(&run.store),
            Fault::PublishConfiguration => run.publish(),
        }
    }

    /// Ends the fault, and with it all other faults of the same proxy.
    pub fn end(self, run: &mut FaultRun) {
        match self {
            Fault::Kill(number) => run.instances[number].restart(),
            Fault::Suspend(number) => run.instances[number].signal("CONT"),
            Fault::StoreProxy(number, _) => run.instances[number].store_proxy.clear_faults(),
            Fault::AllStoreProxies(_) => {
                run.instances.iter().for_each(|instance| instance.store_proxy.clear_faults());
            }
            Fault::SilentWatches => run.store.resume_events(),
            Fault::ServerProxy(number, ..) => run.servers[number].proxy.clear_faults(),
            Fault::FaultyCalls(number, ..) => run.servers[number].server.set_next_behaviours(&[]),
            Fault::RemoveEntry(number) => run.servers[number].register(&run.store, "ready"),
            Fault::Reload(_) | Fault::DropStoreHistory | Fault::PublishConfiguration => {}
        }
    }
}

fn fail_all(proxy: &FaultProxy, fault: ProxyFault) {
    proxy.add_fault(fault, FaultScope::All, |_| true);
}
