//! Steps of an episode: what callers, faults and operators do. A failing episode is shrunk by
//! leaving steps out.

use super::random::Random;

/// One step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing happens but time.
    Wait,
    /// A caller asks an instance for an answer of so many tokens.
    Ask { instance: u64, tokens: u64 },
    /// A caller books under a ticket, which it asks an instance for.
    Book { instance: u64 },
    /// A caller reads stock at an instance.
    ReadStock { instance: u64 },
    /// A server of plain services dies and comes back.
    CrashPlain { server: u64, down_ms: u64 },
    /// A caller leaves.
    Leave { caller: u64 },
    /// An instance dies and starts anew with nothing kept.
    Crash { instance: u64, down_ms: u64 },
    /// An instance and the owners of all engines in its data centre die together.
    CrashDataCentre { instance: u64, down_ms: u64 },
    /// An instance pauses and wakes with old beliefs.
    Pause { instance: u64, pause_ms: u64 },
    /// The wall clock of an instance is set to another time.
    SetClock { instance: u64, wall_ms: u64 },
    /// Messages are lost, doubled and late.
    Disturb { loss_percent: u64, copy_percent: u64, delay_ms: u64, for_ms: u64 },
    /// The data centres lose each other.
    Part { for_ms: u64 },
    /// One instance hears no other instance.
    Isolate { instance: u64, for_ms: u64 },
    /// An engine dies and comes back empty.
    CrashEngine { engine: u64, down_ms: u64 },
    /// An engine's present readers hear nothing more.
    MuteReaders { engine: u64 },
    /// An engine stands still and then goes on with all that it holds.
    FreezeEngine { engine: u64, for_ms: u64 },
    /// An engine's transfers do not finish.
    Stall { engine: u64, for_ms: u64 },
    /// An engine's reports tell old news.
    StaleReports { engine: u64, for_ms: u64 },
    /// A backend server leaves and comes back.
    LeaveServer { engine: u64, for_ms: u64 },
    /// The next configuration version is accepted.
    Configure,
    /// The platform's service is down.
    ServiceDown { for_ms: u64 },
    /// The platform's service tells an old version and an old list.
    ServiceStale { for_ms: u64 },
}

/// Choices of a step, of which those from [`FIRST_FAULT`] on are faults.
const CHOICES: u64 = 400;
const FIRST_FAULT: u64 = 95;
/// Choices from here on are plain calls.
const FIRST_PLAIN: u64 = 300;

/// Steps drawn from a seed. Each episode has some kinds of faults only, often or seldom, so that
/// long quiet stretches after a fault are met as well as several faults at once.
pub fn random_steps(random: &mut Random, count: usize) -> Vec<Step> {
    let kinds: Vec<_> = (0..CHOICES).map(|_| random.chance_percent(50)).collect();
    let spacing = [1, 4, 16][random.below(3) as usize];
    let mut steps = Vec::new();
    for _ in 0..count {
        let choice = random.below(CHOICES);
        let step = random_step(random, choice);
        let is_met = !(FIRST_FAULT..FIRST_PLAIN).contains(&choice)
            || (kinds[choice as usize] && random.below(spacing) == 0);
        steps.push(if is_met { step } else { Step::Wait });
    }
    steps
}

fn random_step(random: &mut Random, choice: u64) -> Step {
    let instance = random.below(64);
    let engine = random.below(64);
    let for_ms = 200 + random.below(6_000);
    match choice {
        0..=69 => Step::Ask { instance, tokens: 1 + random.below(200) },
        70..=79 => Step::Ask { instance, tokens: 500 + random.below(700) },
        80..=94 => Step::Leave { caller: random.below(1_000) },
        95..=98 => Step::Crash { instance, down_ms: for_ms },
        99 => Step::CrashDataCentre { instance, down_ms: for_ms },
        100..=103 => Step::Pause { instance, pause_ms: 2 * for_ms },
        104..=105 => Step::SetClock { instance, wall_ms: random.below(900_000) * 100 },
        106..=109 => Step::Disturb {
            loss_percent: random.below(40),
            copy_percent: random.below(30),
            delay_ms: random.below(800),
            for_ms,
        },
        110..=111 => Step::Part { for_ms: 2 * for_ms },
        112..=113 => Step::Isolate { instance, for_ms },
        114..=116 => Step::CrashEngine { engine, down_ms: for_ms },
        117..=119 => Step::MuteReaders { engine },
        120..=121 => Step::Stall { engine, for_ms },
        122..=123 => Step::StaleReports { engine, for_ms },
        124..=125 => Step::LeaveServer { engine, for_ms: 3 * for_ms },
        126..=129 => Step::Configure,
        130..=131 => Step::ServiceDown { for_ms },
        132..=133 => Step::ServiceStale { for_ms },
        137..=138 => Step::CrashPlain { server: engine, down_ms: for_ms },
        FIRST_PLAIN..=379 => Step::Book { instance },
        380..=399 => Step::ReadStock { instance },
        134..=136 => Step::FreezeEngine { engine, for_ms },
        _ => Step::Wait,
    }
}
