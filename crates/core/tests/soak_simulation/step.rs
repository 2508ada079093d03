//! Steps of an episode: requests of callers, faults and changes by operators.

use super::random::Random;

/// One step of an episode; a failed episode is shrunk by replacing steps with `Wait`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Only time passes.
    Wait,
    /// A caller sends a model request whose answer has so many tokens.
    Ask { instance: u64, tokens: u64 },
    /// A caller begins a booking by requesting a ticket.
    Book { instance: u64 },
    /// A caller sends an idempotent read.
    ReadStock { instance: u64 },
    /// A server of plain services crashes and restarts.
    CrashPlain { server: u64, down_ms: u64 },
    /// A caller closes its connection.
    Leave { caller: u64 },
    /// An instance crashes and restarts without its state.
    Crash { instance: u64, down_ms: u64 },
    /// All instances of one data centre crash together, and with them the owners of its engines; an even
    /// `instance` selects the first data centre.
    CrashDataCentre { instance: u64, down_ms: u64 },
    /// An instance is suspended and continues with its old state.
    Pause { instance: u64, pause_ms: u64 },
    /// The wall clock of an instance is set ahead by `wall_ms`.
    SetClock { instance: u64, wall_ms: u64 },
    /// Messages are lost, duplicated and delayed.
    Disturb { loss_percent: u64, copy_percent: u64, delay_ms: u64, for_ms: u64 },
    /// The data centres cannot reach each other.
    Part { for_ms: u64 },
    /// One instance is cut off from all other instances.
    Isolate { instance: u64, for_ms: u64 },
    /// An engine crashes and restarts empty.
    CrashEngine { engine: u64, down_ms: u64 },
    /// The present readers of an engine receive nothing more.
    MuteReaders { engine: u64 },
    /// An engine generates nothing for a time and then continues with all its streams.
    FreezeEngine { engine: u64, for_ms: u64 },
    /// Transfers to an engine that start during this time do not finish.
    Stall { engine: u64, for_ms: u64 },
    /// An engine returns the same old load report.
    StaleReports { engine: u64, for_ms: u64 },
    /// A backend server is listed as leaving for a time.
    LeaveServer { engine: u64, for_ms: u64 },
    /// The platform accepts another configuration version.
    Configure,
    /// The platform sends nothing.
    ServiceDown { for_ms: u64 },
    /// The platform sends an old configuration version and an old instance list.
    ServiceStale { for_ms: u64 },
}

/// Number of choices for a step. Those from [`FIRST_FAULT_CHOICE`] to below [`FIRST_PLAIN_CHOICE`]
/// are faults and configuration changes.
const STEP_CHOICE_COUNT: u64 = 400;
const FIRST_FAULT_CHOICE: u64 = 95;
/// Choices from here on are plain calls.
const FIRST_PLAIN_CHOICE: u64 = 300;

/// Random steps. Each episode has only some of the kinds of faults, at one of three frequencies, so
/// that both long times without a fault and several faults at once occur.
pub fn random_steps(random: &mut Random, count: usize) -> Vec<Step> {
    let kinds: Vec<_> = (0..STEP_CHOICE_COUNT).map(|_| random.chance_percent(50)).collect();
    let spacing = [1, 4, 16][random.below(3) as usize];
    let mut steps = Vec::new();
    for _ in 0..count {
        let choice = random.below(STEP_CHOICE_COUNT);
        let step = random_step(random, choice);
        let is_met = !(FIRST_FAULT_CHOICE..FIRST_PLAIN_CHOICE).contains(&choice)
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
        FIRST_PLAIN_CHOICE..=379 => Step::Book { instance },
        380..=399 => Step::ReadStock { instance },
        134..=136 => Step::FreezeEngine { engine, for_ms },
        _ => Step::Wait,
    }
}
