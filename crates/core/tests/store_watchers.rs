//! A fleet of hundreds of instances: a few in each data centre watch the platform, and the choice
//! holds when members come and go.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use turmericrail_core::forward::{Member, Members, Watcher};
use turmericrail_core::ids::DataCentreId;
use turmericrail_core::units::Millis;

const DATA_CENTRES: u16 = 5;
const FLEET: u16 = 295;
const NOW_MS: Millis = Millis(1_000);

fn data_centre(number: u16) -> DataCentreId {
    format!("dc-{}", number % DATA_CENTRES).parse().unwrap()
}

fn member(number: u16) -> Member {
    Member {
        instance: format!("front-{number}").parse().unwrap(),
        data_centre: data_centre(number),
        address: ([127, 0, 0, 1], number).into(),
        age_ms: Millis(0),
    }
}

/// The members as one of them knows them, except for the `gone` ones.
fn members_of(own: u16, gone: &BTreeSet<u16>) -> Members {
    let mut members = Members::new(format!("front-{own}").parse().unwrap());
    for number in (0..FLEET).filter(|number| !gone.contains(number)) {
        members.merge(NOW_MS, &member(number));
    }
    members
}

fn watching(fleet: impl Iterator<Item = u16>, gone: &BTreeSet<u16>) -> BTreeSet<u16> {
    let is_watching = |own: &u16| {
        let watchers = members_of(*own, gone).watchers(&data_centre(*own), true);
        watchers.contains(&Watcher::Own)
    };
    fleet.filter(is_watching).collect()
}

#[test]
fn few_watch() {
    let watching = watching(0..FLEET, &BTreeSet::new());
    assert_eq!(watching.len(), 4 * usize::from(DATA_CENTRES));
    // Another one names the same instances.
    let known: BTreeSet<u16> = (0..DATA_CENTRES)
        .flat_map(|number| members_of(293, &BTreeSet::new()).watchers(&data_centre(number), true))
        .map(|watcher| match watcher {
            Watcher::Own => 293,
            Watcher::Other(address) => SocketAddr::port(&address),
        })
        .collect();
    assert_eq!(known, watching);
}

#[test]
fn lost_watchers() {
    let before = watching(0..FLEET, &BTreeSet::new());
    let after = watching((0..FLEET).filter(|it| !before.contains(it)), &before);
    assert_eq!(after.len(), before.len(), "others take their places");
}

#[test]
fn small_fleet() {
    let mut members = Members::new("front-0".parse().unwrap());
    assert_eq!(members.watchers(&data_centre(0), true), [Watcher::Own]);
    members.merge(NOW_MS, &member(5));
    members.merge(NOW_MS, &member(1));
    assert_eq!(members.watchers(&data_centre(0), true).len(), 2);
    assert_eq!(members.watchers(&data_centre(1), false).len(), 1);
    assert_eq!(members.data_centres().len(), 2);
}
