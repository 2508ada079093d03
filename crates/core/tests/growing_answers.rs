//! Answers that grow by about as much as their prompts, placed by instances that know nothing of
//! each other's calls: few may be preempted because their engine ran out of memory.

use std::collections::BTreeMap;

use turmericrail_core::forward::{ModelCallSize, ReservationRound, ServerRun};
use turmericrail_core::units::{Tokens, WallMillis};

const ENGINES: usize = 29;
const CAPACITY: u64 = 61_000;
const PROMPT: u64 = 5_200;
/// Tokens of an answer that each engine makes in one step of time.
const STEP_TOKENS: u64 = 59;
const STEPS: u64 = 4_000;
/// Calls in a hundred steps; they use three quarters of the memory.
const CALLS_PER_HUNDRED_STEPS: u64 = 260;

/// Deterministic numbers that look random.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % below
    }
}

#[derive(Clone, Copy)]
struct Answer {
    used: u64,
    remaining: u64,
}

#[derive(Default)]
struct Outcome {
    placed: u64,
    turned_away: u64,
    preempted: u64,
}

fn run_of(number: usize) -> ServerRun {
    ServerRun { server: format!("d{number}").parse().unwrap(), started_ms: WallMillis(1) }
}

/// Makes every running answer longer; preempts the newest where memory ran out.
fn advance(engines: &mut [Vec<Answer>], outcome: &mut Outcome) {
    for answers in engines {
        for answer in answers.iter_mut() {
            answer.used += STEP_TOKENS.min(answer.remaining);
            answer.remaining = answer.remaining.saturating_sub(STEP_TOKENS);
        }
        answers.retain(|answer| answer.remaining > 0);
        while answers.iter().map(|answer| answer.used).sum::<u64>() > CAPACITY {
            answers.pop();
            outcome.preempted += 1;
        }
    }
}

/// Plays a day on which each call is placed by a `place` that returns the number of its engine.
fn play(
    mut place: impl FnMut(&[Vec<Answer>], ModelCallSize, &mut Numbers) -> Option<usize>,
) -> Outcome {
    let mut numbers = Numbers(7);
    let mut engines = vec![Vec::new(); ENGINES];
    let mut outcome = Outcome::default();
    for _ in 0..STEPS {
        advance(&mut engines, &mut outcome);
        let calls = CALLS_PER_HUNDRED_STEPS / 100
            + u64::from(numbers.next(100) < CALLS_PER_HUNDRED_STEPS % 100);
        for _ in 0..calls {
            let output = STEP_TOKENS * (30 + numbers.next(80));
            // The caller's estimate is right in the middle and often far off.
            let hint = output * (50 + numbers.next(120)) / 100;
            let size = ModelCallSize {
                prompt_tokens: Tokens(PROMPT),
                max_output_tokens: Tokens(STEP_TOKENS * 130),
                expected_output_tokens: Tokens(hint),
            };
            match place(&engines, size, &mut numbers) {
                Some(engine) => {
                    engines[engine].push(Answer { used: PROMPT, remaining: output });
                    outcome.placed += 1;
                }
                None => outcome.turned_away += 1,
            }
        }
    }
    outcome
}

fn free_tokens(answers: &[Answer]) -> u64 {
    CAPACITY - answers.iter().map(|answer| answer.used).sum::<u64>()
}

/// Asks engines in random order for just the memory of the call.
fn place_anywhere(
    engines: &[Vec<Answer>],
    size: ModelCallSize,
    numbers: &mut Numbers,
) -> Option<usize> {
    (0..4)
        .map(|_| numbers.next(ENGINES as u64) as usize)
        .find(|engine| free_tokens(&engines[*engine]) >= size.expected_kv_tokens().0)
}

fn place_by_round(
    engines: &[Vec<Answer>],
    size: ModelCallSize,
    numbers: &mut Numbers,
) -> Option<usize> {
    let runs: BTreeMap<ServerRun, usize> = (0..ENGINES).map(|it| (run_of(it), it)).collect();
    let mut round = ReservationRound::new(size, 4);
    while let Some(tokens) = round.free_tokens() {
        let excluded = round.excluded_engines();
        let asked: Vec<_> = runs.iter().filter(|(run, _)| !excluded.contains(run)).collect();
        let (run, engine) = asked[numbers.next(asked.len() as u64) as usize];
        if free_tokens(&engines[*engine]) >= tokens.0 {
            return Some(*engine);
        }
        round.record_refusal(run.clone());
    }
    None
}

#[test]
fn few_preempted() {
    let anywhere = play(place_anywhere);
    assert!(anywhere.preempted * 20 > anywhere.placed, "the load fills the engines");
    let outcome = play(place_by_round);
    assert!(outcome.preempted * 50 < outcome.placed, "{} of {}", outcome.preempted, outcome.placed);
    assert!(outcome.turned_away * 20 < outcome.placed, "{} wait", outcome.turned_away);
}

#[test]
fn steps_of_a_round() {
    let size = ModelCallSize {
        prompt_tokens: Tokens(1_000),
        max_output_tokens: Tokens(900),
        expected_output_tokens: Tokens(200),
    };
    let mut round = ReservationRound::new(size, 2);
    let mut asked = Vec::new();
    for number in 0.. {
        let Some(tokens) = round.free_tokens() else {
            break;
        };
        asked.push((tokens.0, round.excluded_engines().len(), round.is_last_step()));
        round.record_refusal(run_of(number));
    }
    let expected = [
        (3_600, 0, false),
        (3_600, 1, false),
        (2_400, 0, false),
        (2_400, 1, false),
        (1_400, 0, true),
        (1_400, 1, true),
    ];
    assert_eq!(asked, expected);
}

#[test]
fn failing_engines() {
    // An engine that doesn't answer is left out of the whole round.
    let size = ModelCallSize::default();
    let mut round = ReservationRound::new(size, 3);
    round.record_failure(run_of(1));
    round.end_step();
    assert_eq!(round.excluded_engines(), [run_of(1)]);
    round.record_failure(run_of(2));
    round.record_failure(run_of(3));
    assert_eq!(round.free_tokens(), None);
}
