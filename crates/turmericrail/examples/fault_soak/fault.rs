//! The faults, each with what it strikes.

use std::time::Duration;

use turmericrail_fakes::registered::Behaviour;
use turmericrail_fakes::{Fault as LinkFault, FaultProxy, FaultScope};

use crate::world::{PLAIN_SERVERS, World};

/// What servers do wrong with single calls.
const BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::CloseWithoutAnswer,
    Behaviour::NeverAnswer,
    Behaviour::Refuse,
    Behaviour::CloseMidEvent,
    Behaviour::Pause,
    Behaviour::Fail,
    Behaviour::ForeignAnswerFirst,
];
/// Most calls in a row that one server does wrong: what it gets in a second.
const MAX_WRONG_CALLS: usize = 30;

/// A fault; the number names the instance or server that it strikes.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An instance is killed and started again once the fault is over.
    Kill(usize),
    /// An instance is paused.
    Pause(usize),
    /// An instance is told to read its settings again.
    Reload(usize),
    /// The link between an instance and the store fails.
    StoreLink(usize, LinkFault),
    /// The links of all instances to the store fail.
    Store(LinkFault),
    /// The store drops its history.
    History,
    /// Watches of the store hear nothing, and are cut after a while.
    DeafWatches,
    /// Connections to a server fail.
    ServerLink(usize, LinkFault, bool),
    /// A server does some calls wrong.
    WrongCalls(usize, Behaviour, usize),
    /// A server's entry is lost, and comes back.
    Entry(usize),
    /// The next configuration is published.
    Configuration,
}

impl Fault {
    /// Draws a fault.
    pub fn draw(dice: &mut fastrand::Rng, instances: usize, servers: usize) -> Self {
        let link_faults = [
            LinkFault::Close,
            LinkFault::DropAll,
            LinkFault::DropFromClient,
            LinkFault::Delay(Duration::from_millis(dice.u64(20..600))),
        ];
        let link_fault = link_faults[dice.usize(..link_faults.len())];
        let (instance, server) = (dice.usize(..instances), dice.usize(..servers));
        let behaviour = BEHAVIOURS[dice.usize(..BEHAVIOURS.len())];
        match dice.u8(..20) {
            0 | 1 => Fault::Kill(instance),
            2 | 3 => Fault::Pause(instance),
            4 => Fault::Reload(instance),
            5 | 6 => Fault::StoreLink(instance, link_fault),
            7 => Fault::Store(link_fault),
            8 => Fault::History,
            9 => Fault::DeafWatches,
            10 | 11 => Fault::ServerLink(server, link_fault, dice.bool()),
            12..=14 => Fault::WrongCalls(server, behaviour, dice.usize(1..=MAX_WRONG_CALLS)),
            15..=17 => {
                let plain = dice.usize(..PLAIN_SERVERS);
                Fault::WrongCalls(plain, behaviour, dice.usize(1..=MAX_WRONG_CALLS))
            }
            18 => Fault::Entry(server),
            _ => Fault::Configuration,
        }
    }

    /// Begins it.
    pub fn begin(self, world: &mut World) {
        match self {
            Fault::Kill(number) => world.instances[number].kill(),
            Fault::Pause(number) => world.instances[number].signal("STOP"),
            Fault::Reload(number) => world.instances[number].signal("HUP"),
            Fault::StoreLink(number, fault) => fail(&world.instances[number].store_link, fault),
            Fault::Store(fault) => {
                world.instances.iter().for_each(|instance| fail(&instance.store_link, fault));
            }
            Fault::History => world.store.drop_history(),
            Fault::DeafWatches => world.store.withhold_events(),
            Fault::ServerLink(number, fault, is_new_too) => {
                let reach = if is_new_too { FaultScope::All } else { FaultScope::Existing };
                world.servers[number].link.add_fault(fault, reach, |_| true);
            }
            Fault::WrongCalls(number, behaviour, count) => {
                world.servers[number].server.set_next_behaviours(&vec![behaviour; count]);
            }
            Fault::Entry(number) => world.servers[number].remove(&world.store),
            Fault::Configuration => world.publish(),
        }
    }

    /// Ends it; other faults of the same link end with it.
    pub fn end(self, world: &mut World) {
        match self {
            Fault::Kill(number) => world.instances[number].restart(),
            Fault::Pause(number) => world.instances[number].signal("CONT"),
            Fault::StoreLink(number, _) => world.instances[number].store_link.clear_faults(),
            Fault::Store(_) => {
                world.instances.iter().for_each(|instance| instance.store_link.clear_faults());
            }
            Fault::DeafWatches => world.store.resume_events(),
            Fault::ServerLink(number, ..) => world.servers[number].link.clear_faults(),
            Fault::WrongCalls(number, ..) => world.servers[number].server.set_next_behaviours(&[]),
            Fault::Entry(number) => world.servers[number].register(&world.store, "ready"),
            Fault::Reload(_) | Fault::History | Fault::Configuration => {}
        }
    }
}

fn fail(link: &FaultProxy, fault: LinkFault) {
    link.add_fault(fault, FaultScope::All, |_| true);
}
