//! The start of a whole fleet at one moment, and the tree by which instances follow those that watch
//! the store.

mod mass_start_model;

use std::collections::{BTreeMap, BTreeSet};

use mass_start_model::{DATA_CENTRES, Fleet, Outcome, member};
use turmericrail_core::forward::{ExchangePace, MemberFilter, MemberList, Members, TransferBudget};
use turmericrail_core::units::{Bytes, Millis};

const END_MS: u64 = 60_000;
/// Within this time an instance serves after a start.
const MAX_CONFIGURED_MS: u64 = 2_000;
/// Time after which a member that nobody tells of is dropped.
const MEMBER_TTL_MS: u64 = 45_000;
/// Time allowed for "serving after all were killed".
const MAX_MEMBERS_MS: u64 = 15_000;
/// A twentieth of the slowest links, for the seeds in the second in which all call them.
const MAX_BUSIEST_BYTES_PER_S: u64 = 62_500;
/// A call and an answer in each interval between exchanges, and what they bring up.
const MAX_MESSAGES_PER_S: f64 = 4.0;
const MAX_CONTROL_BYTES_PER_S: u64 = 5_000;

fn play(count: usize, live_seeds: usize, seed: u64) -> Outcome {
    let outcome = Fleet::start(count, live_seeds, seed).play(END_MS);
    println!("instances={count} live_seeds={live_seeds} seed={seed} {outcome:?}");
    outcome
}

#[test]
fn whole_fleets() {
    // Guards against seeds that are kept busy by the calls of all, and whose answers come too late
    // for any of them.
    for seed in 1..=2 {
        for count in [30, 320] {
            let outcome = play(count, 3, seed);
            assert!(outcome.configured_ms <= MAX_CONFIGURED_MS);
            assert!(outcome.members_ms <= MAX_MEMBERS_MS);
            let seconds = outcome.members_ms.div_ceil(1_000);
            assert!(outcome.mean_bytes <= seconds * MAX_CONTROL_BYTES_PER_S);
            assert!(outcome.busiest_bytes <= 4 * outcome.median_bytes);
            assert!(outcome.busiest_second_bytes <= MAX_BUSIEST_BYTES_PER_S);
            assert!(outcome.mean_messages <= seconds as f64 * MAX_MESSAGES_PER_S);
        }
    }
}

#[test]
fn thousand_instances() {
    // Guards against a start whose cost for each instance grows faster than the fleet.
    let (large, small) = (play(1_000, 3, 1), play(320, 3, 1));
    let seconds = large.members_ms.div_ceil(1_000);
    assert!(large.members_ms < MEMBER_TTL_MS);
    assert!(large.mean_bytes <= seconds * MAX_CONTROL_BYTES_PER_S);
    assert!(large.busiest_bytes <= 4 * large.median_bytes);
    assert!(large.mean_bytes * 320 <= small.mean_bytes * 1_000);
}

#[test]
fn lost_seeds() {
    // Guards against a start that fails where one seed alone answers.
    let outcome = play(320, 1, 1);
    assert!(outcome.members_ms <= MAX_MEMBERS_MS);
}

fn members_of(own: usize, count: usize) -> Members {
    let mut members = Members::new(member(own).instance);
    (0..count).for_each(|number| members.merge(Millis(0), &member(number)));
    members
}

#[test]
fn follow_tree() {
    // Guards against watching instances that send each change to more followers in larger fleets,
    // and against instances that follow each other in a ring.
    for count in [30, 70, 320, 1_000] {
        let mut followers: BTreeMap<usize, usize> = BTreeMap::new();
        let mut levels = BTreeMap::new();
        let mut parents = BTreeMap::new();
        for number in 0..count {
            let plan = members_of(number, count).follow_plan(&member(number).data_centre);
            levels.insert(number, plan.level);
            assert_eq!(plan.level == 0, plan.parents.is_empty());
            if let Some(parent) = plan.parents.first() {
                parents.insert(number, usize::from(parent.port()));
                *followers.entry(usize::from(parent.port())).or_default() += 1;
            }
        }
        assert_eq!(levels.values().filter(|level| **level == 0).count(), 4 * DATA_CENTRES);
        assert!(followers.values().all(|count| *count <= 8), "{count}: {followers:?}");
        assert!(parents.iter().all(|(own, parent)| levels[parent] + 1 == levels[own]));
        assert!(levels.values().all(|level| *level <= 2), "few instances pass a change on");
    }
}

#[test]
fn unknown_members() {
    // Guards against members that are never told because a filter hides them, and against messages
    // that grow with the fleet.
    let list = |range: std::ops::Range<usize>| MemberList::new(range.map(member).collect());
    let (all, known) = (list(0..320), list(0..300));
    let mut told = BTreeSet::new();
    for salt in 0..40 {
        let filter = MemberFilter::new(&known, salt);
        let selected = all.select_unknown(Some(&filter), &member(0).data_centre, salt, 24);
        assert!(selected.len() <= 24);
        told.extend(selected.into_iter().map(|member| member.instance));
    }
    let expected: BTreeSet<_> = (300..320).map(|number| member(number).instance).collect();
    assert_eq!(told, expected);
    // An instance that knows none is told first who watches the store for it.
    let watchers = members_of(1, 320).watchers(&member(0).data_centre, false);
    let selected = all.select_unknown(None, &member(0).data_centre, 7, 24);
    assert_eq!(
        selected.iter().take(4).filter(|it| it.data_centre == member(0).data_centre).count(),
        watchers.len()
    );
    assert_eq!(MemberFilter::from_parts(1, Vec::new()), None);
    assert_eq!(MemberFilter::from_parts(1, vec![0; 4_096]), None);
}

#[test]
fn pace() {
    // Guards against calls that are repeated at the same rate while none is answered.
    let mut pace = ExchangePace::default();
    let first_ms = pace.wait_ms(false, 1.0);
    (0..20).for_each(|_| pace.record_failure());
    assert!(pace.wait_ms(false, 1.0).0 >= 4 * first_ms.0);
    assert!(pace.wait_ms(false, 1.0) <= Millis(3_200));
    pace.record_exchange(1, true);
    assert!(pace.has_exchanged() && pace.wait_ms(false, 0.5) == Millis(700));
    (0..4).for_each(|_| pace.record_exchange(0, false));
    assert_eq!(pace.wait_ms(false, 0.5), Millis(3_000));
    assert_eq!(pace.wait_ms(true, 0.5), Millis(400));
    // Each seed gets as many calls in a large fleet as in a small one.
    assert!(ExchangePace::seed_share(false, 3, 320) * 320.0 <= 6.0 + f64::EPSILON);
}

#[test]
fn whole_sets() {
    // Guards against seeds that send the configuration to all instances at once.
    let mut budget = TransferBudget::default();
    let megabyte = Bytes(1 << 20);
    let transfers = (0..8_000).filter(|now_ms| budget.try_take(Millis(*now_ms), megabyte)).count();
    assert_eq!(transfers, 2);
    assert!(budget.try_take(Millis(7_999), Bytes(2_000)), "small sets are free");
}
