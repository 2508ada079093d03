//! Usage of one tenant at its coordinator and at the instances that ask it.

use turmericrail_core::forward::{
    CoordinatorOrder, Member, UsageBucket, UsageCaps, UsageDecision, UsageReply, UsageRequest,
    UsageStep, UsageTerms, UsageView,
};
use turmericrail_core::ids::{ConfigVersion, TenantId};
use turmericrail_core::units::Millis;

const START_MS: Millis = Millis(100_000);
const TERMS: UsageTerms =
    UsageTerms { rate_per_s: 1_000.0, burst: 1_000.0, version: ConfigVersion(1) };

fn tenant() -> TenantId {
    "shops".parse().unwrap()
}

fn member(number: u16) -> Member {
    Member {
        instance: format!("i{number}").parse().unwrap(),
        data_centre: format!("dc-{}", number % 3).parse().unwrap(),
        address: ([127, 0, 0, 1], number).into(),
        age_ms: Millis::ZERO,
    }
}

fn order(count: u16) -> CoordinatorOrder {
    CoordinatorOrder::new(&tenant(), &(0..count).map(member).collect::<Vec<_>>())
}

fn caps(member: &Member) -> UsageCaps {
    let mut caps = UsageCaps::new(START_MS, member.clone(), 1);
    caps.record_exchange();
    caps
}

/// A coordinator with a full bucket, an instance that asks it, and the members.
fn pair() -> (UsageCaps, UsageCaps, CoordinatorOrder, Millis) {
    let order = order(6);
    let [first, other] = [&order.candidates()[0], &order.candidates()[3]];
    let (mut coordinator, mut asker) = (caps(first), caps(other));
    let now_ms = START_MS + Millis(10_000);
    let question = asker.question(now_ms, &tenant(), TERMS, &first.instance, 0.0);
    let no_levels = vec![Default::default()];
    coordinator.start(now_ms, &order, &question, no_levels);
    (coordinator, asker, order, now_ms)
}

fn reply(
    caps: &mut UsageCaps,
    now_ms: Millis,
    order: &CoordinatorOrder,
    it: &UsageRequest,
) -> UsageReply {
    match caps.reserve(now_ms, order, it) {
        UsageStep::Reply(reply) => reply,
        other => panic!("{other:?}"),
    }
}

/// Guards against a bucket that fills beyond its depth in a pause, and against a lowered burst that
/// takes effect late.
#[test]
fn bounded_levels() {
    let mut bucket = UsageBucket::new(START_MS, 250.0);
    let later_ms = START_MS + Millis(60_000);
    assert!(bucket.refill(later_ms, 1_000.0, 1_000.0) > 0.0);
    assert_eq!(bucket.level(), 1_000.0);
    bucket.refill(later_ms, 1_000.0, 300.0);
    assert_eq!(bucket.level(), 300.0);
    bucket.take(500.0);
    assert_eq!(bucket.rises_in_ms(0.0, 1_000.0), Millis(201));
}

/// Guards against a changed cap that isn't applied, or that an outdated instance takes back.
#[test]
fn changed_cap() {
    let (mut coordinator, mut asker, order, now_ms) = pair();
    let first = order.candidates()[0].instance.clone();
    let lower = UsageTerms { burst: 200.0, version: ConfigVersion(2), ..TERMS };
    for terms in [lower, TERMS] {
        let question = asker.question(now_ms, &tenant(), terms, &first, 0.0);
        assert_eq!(reply(&mut coordinator, now_ms, &order, &question).level, 200.0);
    }
}

/// Guards against messages that count twice when they are repeated, or when they had no reply and
/// their units were counted elsewhere.
#[test]
fn repeated_messages() {
    let (mut coordinator, mut asker, order, now_ms) = pair();
    let first = order.candidates()[0].clone();
    let question = asker.question(now_ms, &tenant(), TERMS, &first.instance, 400.0);
    for _ in 0..2 {
        assert_eq!(reply(&mut coordinator, now_ms, &order, &question).level, 600.0);
    }
    asker.record_failure(now_ms, &first, &question, true);
    let next = asker.question(now_ms, &tenant(), TERMS, &first.instance, 100.0);
    assert_eq!(reply(&mut coordinator, now_ms, &order, &next).level, 900.0);
    assert_eq!(reply(&mut coordinator, now_ms, &order, &question).level, 900.0);
}

/// Guards against usage that is kept although the request was never sent to a server.
#[test]
fn returned_usage() {
    let (mut coordinator, mut asker, order, now_ms) = pair();
    let first = order.candidates()[0].instance.clone();
    let question = asker.question(now_ms, &tenant(), TERMS, &first, 400.0);
    assert_eq!(reply(&mut coordinator, now_ms, &order, &question).level, 600.0);
    asker.view(now_ms, &tenant()).reports().add(now_ms, -400.0);
    let report = asker.report(now_ms, &tenant(), TERMS, &first);
    assert_eq!(reply(&mut coordinator, now_ms, &order, &report).level, 1_000.0);
}

/// Guards against requests of a tenant far below its cap that wait, and against ones that are
/// admitted unseen once it isn't.
#[test]
fn known_levels() {
    let mut view = UsageView::new(START_MS);
    assert_eq!(view.decide(START_MS, &TERMS, 100.0), UsageDecision::AskFirst);
    let mut replied = |level: f64| {
        let is_granted = level > 0.0;
        let answer = UsageReply { is_granted, wait_ms: Millis(70), level };
        view.record_reply(START_MS, &member(1).instance, &answer);
        view.reports().take(START_MS);
        view.reports().confirm(START_MS);
        let decide =
            |view: &mut UsageView, after_ms| view.decide(START_MS + after_ms, &TERMS, 100.0);
        [decide(&mut view, Millis(1)), decide(&mut view, Millis(2_000))]
    };
    assert_eq!(replied(900.0), [UsageDecision::Admitted, UsageDecision::AskMeanwhile]);
    assert_eq!(replied(400.0), [UsageDecision::AskFirst, UsageDecision::AskFirst]);
    assert_eq!(replied(-70.0), [UsageDecision::Refused(Millis(49)), UsageDecision::AskFirst]);
}

/// Guards against refusals of a tenant far below its cap while no coordinator is reached, and
/// against unlimited use meanwhile.
#[test]
fn own_share() {
    let mut unknown = UsageView::new(START_MS);
    assert_eq!(unknown.decide_alone(START_MS, &TERMS, 100.0, 71), Ok(()));
    assert!(unknown.decide_alone(START_MS, &TERMS, 100.0, 71).is_err());
    let mut ample = UsageView::new(START_MS);
    let answer = UsageReply { is_granted: true, wait_ms: Millis(1), level: 900.0 };
    ample.record_reply(START_MS, &member(1).instance, &answer);
    let admitted = (0..50).filter(|_| ample.decide_alone(START_MS, &TERMS, 100.0, 71).is_ok());
    assert_eq!(admitted.count(), 5);
}

/// Guards against a coordinator that goes on beside the one that took its role over.
#[test]
fn handed_over() {
    let (mut coordinator, mut asker, order, now_ms) = pair();
    let best = (6..100).map(member).find(|it| {
        let members: Vec<_> = (0..6).map(member).chain([it.clone()]).collect();
        CoordinatorOrder::new(&tenant(), &members).is_first(&it.instance)
    });
    let best = best.unwrap();
    let members: Vec<_> = (0..6).map(member).chain([best.clone()]).collect();
    let order_after = CoordinatorOrder::new(&tenant(), &members);
    let levels = coordinator.levels_for(now_ms, &order_after, &tenant(), &best.instance);
    assert_eq!(levels.own, Some(1_000.0));
    let first = &order.candidates()[0].instance;
    let question = asker.question(now_ms, &tenant(), TERMS, first, 100.0);
    let step = coordinator.reserve(now_ms, &order_after, &question);
    assert_eq!(step, UsageStep::Redirect(best));
}
