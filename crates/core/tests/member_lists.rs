//! Lists of members of which only the ages are told where both instances know the same members.

use turmericrail_core::forward::{Member, MemberList, Members};
use turmericrail_core::units::Millis;

const FLEET: u16 = 320;
const NOW_MS: Millis = Millis(100_000);

fn member(number: u16, age_ms: u64) -> Member {
    Member {
        instance: format!("front-{number}").parse().unwrap(),
        data_centre: format!("dc-{}", number % 5).parse().unwrap(),
        address: ([127, 0, 0, 1], number).into(),
        age_ms: Millis(age_ms),
    }
}

/// A fleet with an age for each member, drawn by a seed.
fn list(seed: u64) -> MemberList {
    let mut random = fastrand::Rng::with_seed(seed);
    MemberList::new((0..FLEET).map(|number| member(number, random.u64(..40_000))).collect())
}

fn members_of(list: &MemberList) -> Members {
    let mut members = Members::new("front-0".parse().unwrap());
    list.members().iter().for_each(|member| members.merge(NOW_MS, member));
    members
}

#[test]
fn ages_alone() {
    // Merging the ages of another list gives the same as merging the whole of it.
    let (own, other) = (list(1), list(2));
    assert_eq!(own.identity_hash(), other.identity_hash());
    let mut by_list = members_of(&own);
    other.members().iter().for_each(|member| by_list.merge(NOW_MS, member));
    let ages_ms: Vec<_> = other.ages_ms().collect();
    let mut by_ages = members_of(&own);
    own.with_ages(&ages_ms).unwrap().iter().for_each(|member| by_ages.merge(NOW_MS, member));
    assert_eq!(by_ages.list(NOW_MS), by_list.list(NOW_MS));
    assert_eq!(own.with_ages(&ages_ms[1..]), None);
}

#[test]
fn differing_members() {
    let own = list(1);
    let change = |change: fn(&mut Member)| {
        let mut members = own.members().to_vec();
        change(&mut members[7]);
        MemberList::new(members).identity_hash()
    };
    let hash = own.identity_hash();
    assert_eq!(change(|member| member.age_ms = Millis(1)), hash);
    assert_ne!(change(|member| member.instance = "front-x".parse().unwrap()), hash);
    assert_ne!(change(|member| member.data_centre = "dc-x".parse().unwrap()), hash);
    assert_ne!(change(|member| member.address.set_port(9)), hash);
    assert_ne!(MemberList::new(own.members()[1..].to_vec()).identity_hash(), hash);
}
