//! `free_address` never returns the same port twice, and stand-ins have no other ports. Two instances
//! of a test would otherwise try to listen on the same port, or an instance would call stand-ins of
//! another test.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use async_std::task;
use serde_json::json;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{FakeStore, RawAnswer, RawServer, RegisteredServer};
use turmericrail_fakes::{
    EngineSettings, FakeEngine, FakePlain, FakePlatform, FaultProxy, ServerLink,
};

const ADDRESS_COUNT: usize = 2_000;
const SPAWNING_THREADS: usize = 4;

#[test]
fn free_addresses_are_unique() {
    let addresses: BTreeSet<_> = (0..ADDRESS_COUNT).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), ADDRESS_COUNT);
}

#[test]
fn free_while_spawning() {
    // Guards against ports that a process started meanwhile still holds for a moment: an instance
    // could not listen there.
    let is_done = AtomicBool::new(false);
    let spawn = || {
        while !is_done.load(Ordering::Relaxed) {
            Command::new("true").status().unwrap();
        }
    };
    let taken_count = thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(spawn);
        }
        let is_taken = |_: &usize| TcpListener::bind(free_address().unwrap()).is_err();
        let taken_count = (0..ADDRESS_COUNT).filter(is_taken).count();
        is_done.store(true, Ordering::Relaxed);
        taken_count
    });
    assert_eq!(taken_count, 0);
}

/// Addresses of one stand-in of each kind, all of which are dropped.
async fn dropped_stand_ins() -> Vec<SocketAddr> {
    let store = FakeStore::start().unwrap();
    let raw_server = RawServer::start(|_, _| RawAnswer::NoAnswer).unwrap();
    let server = RegisteredServer::start(&store, "s1", None).unwrap();
    let link = ServerLink::start(raw_server.address).unwrap();
    let proxy = FaultProxy::start(raw_server.address).await.unwrap();
    let platform = FakePlatform::start(json!({})).await.unwrap();
    let plain = FakePlain::start().await.unwrap();
    let engine = FakeEngine::start(EngineSettings::default()).await.unwrap();
    vec![
        store.address(),
        raw_server.address,
        server.address(),
        link.address,
        proxy.address,
        platform.address,
        plain.address,
        engine.address,
    ]
}

#[test]
fn reserved_stand_ins() {
    // Guards against a port that passes from one stand-in to another while an instance still calls
    // the first one.
    for address in task::block_on(dropped_stand_ins()) {
        assert!(UdpSocket::bind(address).is_err(), "{address} isn't reserved");
    }
}
