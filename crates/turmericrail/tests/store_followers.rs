//! Instances that follow others instead of watching the store: changes reach all of them in time,
//! the calls to the store stay few, and the loss of those that watch is borne.

mod forward_support;

use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, configuration, wait_for, wait_within};
use turmericrail_fakes::registered::FakeStore;
use turmericrail_fakes::{Fault, FaultProxy, FaultScope};
use turmericrail_wire::relay::FollowRequest;
use turmericrail_wire::relay::relay_client::RelayClient;

const FLEET: u8 = 8;
/// Instances of one data centre, some of which follow followers.
const LARGE_FLEET: u8 = 44;
/// Instances of a data centre that watch the store.
const WATCHERS: usize = 4;
/// Time for the instances to learn of each other, several exchanges of 3 s.
const MEMBERS_LIMIT: Duration = Duration::from_secs(30);
/// Time within which every instance must know a change.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);
/// Time within which an instance whose own watch is dead must know a change.
const DEAD_WATCH_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a configuration must be in force at every instance, whatever fails.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);
/// Time between the watches of the first watching instance where nothing changes, as with the
/// servers here.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_400);
/// Time within which a watch starts after the store has been read.
const WATCH_START_TIME: Duration = Duration::from_millis(600);
/// Wait that a call asks for, much longer than an immediate reply takes.
const FOLLOW_WAIT_MS: u64 = 4_000;

/// Starts instances that share the first one's store, and waits until each knows all and the
/// others follow the watching ones.
fn start_fleet(name: &str) -> Vec<ForwardInstance> {
    let mut fleet = vec![ForwardInstance::start(&format!("{name}-1"))];
    for number in 2..=FLEET {
        let store = FakeStore::start().unwrap();
        let address = fleet[0].store.address();
        let peer =
            fleet[0].start_numbered_peer(&format!("{name}-{number}"), number, store, address);
        fleet.push(peer);
    }
    wait_within(MEMBERS_LIMIT, "followers", || {
        following(&fleet).len() == usize::from(FLEET) - WATCHERS
    });
    fleet
}

/// Positions of the instances that follow another one.
fn following(fleet: &[ForwardInstance]) -> Vec<usize> {
    let follows = |instance: &ForwardInstance| {
        let log = instance.read_log();
        let last = log.lines().rfind(|line| line.contains("event=store_follow "));
        last.is_some_and(|line| line.contains("is_following=true"))
    };
    (0..fleet.len()).filter(|number| follows(&fleet[*number])).collect()
}

fn assert_all_know(fleet: &[&ForwardInstance], version: u64) {
    let published_at = Instant::now();
    let line = format!("event=config version={version} ");
    for instance in fleet {
        wait_for(&line, || instance.read_log().contains(&line));
    }
    assert!(published_at.elapsed() < CHANGE_LIMIT, "{:?}", published_at.elapsed());
}

#[test]
fn few_calls() {
    let fleet = start_fleet("few-calls");
    let (calls_before, begin) = (fleet[0].store.calls(), Instant::now());
    for version in 2..=6 {
        fleet[0].store.publish(&configuration(version));
        assert_all_know(&fleet.iter().collect::<Vec<_>>(), version);
        std::thread::sleep(Duration::from_millis(600));
    }
    let calls = fleet[0].store.calls() - calls_before;
    let renewals = begin.elapsed().as_millis().div_ceil(RENEWAL_INTERVAL.as_millis()) as u64;
    let allowed = 5 * (WATCHERS as u64 + 1) + renewals;
    assert!(calls <= allowed, "{calls} calls for five changes, {allowed} allowed");
}

#[test]
fn deep_tree() {
    // Guards against a change that stays with the followers of the watching instances, or comes late
    // through them: in a large data centre the others follow these.
    let mut fleet = vec![ForwardInstance::start("deep-tree-1")];
    for number in 2..=LARGE_FLEET {
        let store = FakeStore::start().unwrap();
        let (address, name) = (fleet[0].store.address(), format!("deep-tree-{number}"));
        fleet.push(fleet[0].start_numbered_peer(&name, number, store, address));
    }
    let all_known = format!("event=members_changed count={LARGE_FLEET} ");
    wait_within(MEMBERS_LIMIT, "members", || {
        fleet.iter().all(|instance| instance.read_log().contains(&all_known))
    });
    let followers = usize::from(LARGE_FLEET) - WATCHERS;
    wait_within(MEMBERS_LIMIT, "followers", || following(&fleet).len() == followers);
    fleet[0].store.publish(&configuration(2));
    assert_all_know(&fleet.iter().collect::<Vec<_>>(), 2);
    // Nobody gave up following and asked the store instead.
    assert_eq!(following(&fleet).len(), followers);
}

#[test]
fn lost_watchers() {
    // All watching instances are frozen: those that followed them watch the store themselves.
    let fleet = start_fleet("lost-watchers");
    let following = following(&fleet);
    for number in (0..fleet.len()).filter(|number| !following.contains(number)) {
        fleet[number].signal("STOP");
    }
    fleet[0].store.publish(&configuration(2));
    let remaining: Vec<_> = following.iter().map(|number| &fleet[*number]).collect();
    assert_all_know(&remaining, 2);
    for instance in &fleet {
        instance.signal("CONT");
    }
}

#[async_std::test]
async fn asked_follower() {
    // Guards against delays that add up where an instance follows one that follows another.
    let fleet = start_fleet("asked-follower");
    let follower = &fleet[following(&fleet)[0]];
    let address = format!("http://{}", follower.peer_address);
    let mut client = RelayClient::connect(address).await.unwrap();
    let request = FollowRequest { wait_ms: FOLLOW_WAIT_MS, ..FollowRequest::default() };
    let asked_at = Instant::now();
    let reply = client.follow(request).await.unwrap().into_inner();
    assert!(asked_at.elapsed() < Duration::from_millis(FOLLOW_WAIT_MS / 2));
    assert!(reply.is_following);
}

#[test]
fn dead_watches() {
    // Guards against changes that are learned late because the own watch gets neither them nor an
    // error.
    let first = ForwardInstance::start("dead-watches-1");
    let proxy = async_std::task::block_on(FaultProxy::start(first.store.address())).unwrap();
    let start_peer = |number: u8| {
        let name = format!("dead-watches-{number}");
        first.start_numbered_peer(&name, number, FakeStore::start().unwrap(), proxy.address)
    };
    let others: Vec<_> = (2..=WATCHERS as u8).map(start_peer).collect();
    for instance in others.iter().chain([&first]) {
        instance.wait_for_log(&format!("event=members_changed count={WATCHERS} "));
    }
    proxy.add_fault(Fault::DropAll, FaultScope::All, |_| true);
    let published_at = Instant::now();
    first.store.publish(&configuration(2));
    for instance in &others {
        instance.wait_for_log("event=config version=2 ");
    }
    assert!(published_at.elapsed() < DEAD_WATCH_LIMIT, "{:?}", published_at.elapsed());
}

#[test]
fn all_watches_dead() {
    // Guards against changes that no instance learns of, since the watches of all get neither them
    // nor an error.
    let store = FakeStore::start().unwrap();
    store.publish(&configuration(1));
    let proxy = async_std::task::block_on(FaultProxy::start(store.address())).unwrap();
    let first = ForwardInstance::start_with_store_address("all-dead-1", store, proxy.address);
    let start_peer = |number: u8| {
        let name = format!("all-dead-{number}");
        first.start_numbered_peer(&name, number, FakeStore::start().unwrap(), proxy.address)
    };
    let mut fleet: Vec<_> = (2..=WATCHERS as u8).map(start_peer).collect();
    for instance in fleet.iter().chain([&first]) {
        instance.wait_for_log(&format!("event=members_changed count={WATCHERS} "));
    }
    std::thread::sleep(WATCH_START_TIME);
    proxy.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    let published_at = Instant::now();
    first.store.publish(&configuration(2));
    fleet.push(first);
    for instance in &fleet {
        let line = "event=config version=2 ";
        wait_within(IN_FORCE_LIMIT, line, || instance.read_log().contains(line));
    }
    assert!(published_at.elapsed() < IN_FORCE_LIMIT, "{:?}", published_at.elapsed());
}
