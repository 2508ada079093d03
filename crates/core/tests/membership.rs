//! Membership, leaving servers and paused instances in seeded simulations of several instances.

mod fleet;

use fleet::{Faults, Fleet};
use turmericrail_core::action::Action;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{ConfigVersion, DataCentreId, Incarnation, ServerId};
use turmericrail_core::membership::{MemberDigest, Members, Summary};
use turmericrail_core::message::{Envelope, PeerMessage};

/// Time within which every instance must know the live members and the leaving servers.
const KNOWN_WITHIN_MS: u64 = 5_000;
/// Time in which a fleet becomes ready after its start.
const SETTLE_MS: u64 = 6_000;

fn settled_fleet(seed: u64, sizes: &[usize], engines: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, sizes, engines);
    fleet.start_all();
    fleet.run_for(SETTLE_MS);
    fleet
}

fn lossy_network(max_delay_ms: u64) -> Faults {
    Faults { loss_percent: 5, duplicate_percent: 5, max_delay_ms, ..Faults::default() }
}

#[test]
fn members_discovered() {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(seed, &[3, 3, 3], 4);
        fleet.start_all();
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn instance_lost() {
    for seed in 1..=20 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        fleet.faults = lossy_network(100);
        fleet.run_for(2_000);
        fleet.kill(seed as usize % 9);
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn large_fleet_loss() {
    let mut fleet = settled_fleet(7, &[24; 4], 0);
    assert!(fleet.all_agree_on_members());
    for index in [5, 50] {
        fleet.kill(index);
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(took_ms.is_some(), "death of {index}");
    }
}

#[test]
fn rack_lost() {
    let mut fleet = settled_fleet(8, &[12; 3], 0);
    (12..18).for_each(|index| fleet.kill(index));
    assert!(fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members).is_some());
}

#[test]
fn data_centre_lost() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        (3..6).for_each(|index| fleet.kill(index));
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(took_ms.is_some(), "seed {seed}");
        fleet.run_for(30_000);
        (3..6).for_each(|index| fleet.start(index));
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(
            took_ms.is_some(),
            "a restarted data centre replaces its earlier records, seed {seed}"
        );
    }
}

#[test]
fn restarts_under_loss() {
    for seed in 1..=10 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        fleet.faults = lossy_network(200);
        for round in 0..5 {
            let index = (seed as usize * 5 + round * 2) % 9;
            fleet.kill(index);
            fleet.run_for(700);
            fleet.start(index);
            fleet.run_for(900);
        }
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn healed_partition() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        fleet.faults.cut_off_data_centres.insert("dc1".to_owned());
        fleet.service.is_down = true;
        fleet.run_for(120_000);
        assert_eq!(
            fleet.live_members(4).len(),
            3,
            "a separated data centre knows only its own members"
        );
        fleet.faults.cut_off_data_centres.clear();
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, Fleet::all_agree_on_members);
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn clock_stepped_back() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed, &[3, 3], 4);
        fleet.kill(1);
        fleet.run_for(300);
        fleet.start_with_incarnation(1, 5);
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, |fleet| {
            fleet.all_agree_on_members()
                && fleet.status(1).is_some_and(|status| status.own.incarnation.0 > 5)
        });
        assert!(took_ms.is_some(), "seed {seed}");
        fleet.run_for(10_000);
        assert!(fleet.all_agree_on_members(), "seed {seed}");
    }
}

#[test]
fn replaced_incarnation_leaves() {
    let mut fleet = settled_fleet(3, &[3, 3], 4);
    fleet.run_for(10_000);
    let peer = fleet.status(0).unwrap().own;
    let own = fleet.status(1).unwrap().members.swap_remove(0).digest;
    let newer = MemberDigest { incarnation: Incarnation(own.incarnation.0 + 1), ..own };
    let members = Members { records: vec![newer], summaries: Vec::new() };
    let message = PeerMessage::Members(members);
    let envelope = Envelope { from: peer, config_version: ConfigVersion(1), message };
    fleet.handle_event(1, Event::Peer(envelope));
    assert!(
        fleet.status(1).unwrap().is_leaving,
        "the older incarnation leaves when it learns of a newer one"
    );
}

#[test]
fn summaries_same_clock() {
    let mut fleet = settled_fleet(3, &[3, 3], 0);
    let from = fleet.status(1).unwrap().own;
    fleet.faults.loss_percent = 100;
    fleet.run_for(3_000);
    let lost = fleet.members[5].id.clone();
    let key = |index| fleet.status(index).unwrap().members[0].digest.key();
    let data_centre: DataCentreId = "dc1".parse().unwrap();
    let summary = |members| Summary { data_centre: data_centre.clone(), clock: 1_000, members };
    let (with_lost, without_lost) =
        (summary(vec![key(3), key(4), key(5)]), summary(vec![key(3), key(4)]));
    for (summary, is_live) in [(with_lost.clone(), true), (without_lost, false), (with_lost, false)]
    {
        let members = Members { records: Vec::new(), summaries: vec![summary] };
        let message = PeerMessage::Members(members);
        let envelope = Envelope { from: from.clone(), config_version: ConfigVersion(1), message };
        fleet.handle_event(0, Event::Peer(envelope));
        assert_eq!(
            fleet.live_members(0).contains(&lost),
            is_live,
            "of summaries with one clock, the one with fewer members wins"
        );
    }
}

#[test]
fn leaving_instance() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        fleet.service.is_down = true;
        fleet.handle_event(2, Event::Shutdown);
        let id = fleet.members[2].id.clone();
        let took_ms = fleet.run_until(KNOWN_WITHIN_MS, |fleet| {
            let owners = (0..9).flat_map(|index| fleet.status(index).unwrap().servers);
            owners.into_iter().all(|(_, server)| server.owner.as_ref() != Some(&id))
        });
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn leaving_server() {
    let server: ServerId = "dc0-e1".parse().unwrap();
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        fleet.service.cut_off_data_centres.insert("dc1".to_owned());
        fleet.service.leaving_servers.push(server.clone());
        let is_known = |fleet: &Fleet| {
            (0..9).all(|index| fleet.status(index).unwrap().servers[&server].is_leaving)
        };
        assert!(fleet.run_until(KNOWN_WITHIN_MS, is_known).is_some(), "seed {seed}");
        fleet.service.is_down = true;
        fleet.service.leaving_servers.clear();
        fleet.run_for(60_000);
        assert!(
            is_known(&fleet),
            "without an instance list the server is still leaving, seed {seed}"
        );
        fleet.service.is_down = false;
        fleet.run_for(25_000);
        let is_back = |index| !fleet.status(index).unwrap().servers[&server].is_leaving;
        assert!((0..9).all(is_back), "seed {seed}");
    }
}

#[test]
fn load_reports_known() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed, &[3, 3, 3], 4);
        let mut missing = 0;
        for _ in 0..50 {
            fleet.run_for(200);
            let servers = (0..9).flat_map(|index| fleet.status(index).unwrap().servers);
            missing += servers.filter(|(_, server)| server.load.is_none()).count();
        }
        assert_eq!(missing, 0, "seed {seed}");
    }
}

#[test]
fn paused_instance() {
    let mut fleet = settled_fleet(4, &[3, 3], 6);
    fleet.members[0].is_paused = true;
    fleet.run_for(20_000);
    assert!((1..6).all(|index| fleet.live_members(index).len() == 5));
    fleet.faults.loss_percent = 100;
    fleet.members[0].is_paused = false;
    let actions = fleet.handle_event(0, Event::Tick);
    let status = fleet.status(0).unwrap();
    assert!(!status.is_ready, "the instance starts no work on outdated state");
    assert!(
        status.members.iter().all(|member| member.is_live),
        "members stay live after the instance's own pause"
    );
    assert!(status.servers.values().all(|server| server.load.is_none()));
    assert!(!actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    fleet.faults.loss_percent = 0;
    let took_ms = fleet.run_until(KNOWN_WITHIN_MS, |fleet| {
        fleet.all_agree_on_members() && fleet.status(0).unwrap().is_ready
    });
    assert!(took_ms.is_some());
}

#[test]
fn bounded_message_rate() {
    let rate = |sizes: &[usize]| {
        let mut fleet = settled_fleet(2, sizes, 0);
        let count = std::rc::Rc::new(std::cell::Cell::new(0u64));
        let counter = std::rc::Rc::clone(&count);
        fleet.on_send = Box::new(move |_, _| counter.set(counter.get() + 1));
        fleet.run_for(5_000);
        count.get() as f64 / sizes.iter().sum::<usize>() as f64 / 5.0
    };
    let (small, large) = (rate(&[6, 6]), rate(&[24, 24]));
    assert!(large < small * 1.5, "{small} messages per second and instance grew to {large}");
}
