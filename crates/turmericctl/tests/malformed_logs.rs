//! Malformed logs, configurations and settings files that operators pass to the command.

mod common;

use common::{TempFolder, turmericctl};
use turmericrail_fakes::InputMutator;

const LOG: &str = "\
time=2026-12-03T21:04:38.100 level=info event=started instance=front-1 data_centre=dc-a
time=2026-12-03T21:04:38.500 level=warn event=store_lost prefix=servers/ error=\"no answer (lost)\"
time=2026-12-03T21:04:38.580 level=info event=server_call request=r1 server=s1 outcome=lost elapsed_ms=12
time=2026-12-03T21:04:38.581 level=info event=answer request=r1 outcome=server_lost status=502
";
/// Exit codes of the command; a panic has another.
const EXIT_CODES: std::ops::RangeInclusive<i32> = 0..=4;
const INPUT_COUNT: usize = 120;

fn assert_exit(arguments: &[&str], input: &[u8]) {
    let run = turmericctl(arguments);
    let text = String::from_utf8_lossy(input);
    assert!(EXIT_CODES.contains(&run.exit_code), "{arguments:?} {}: {text:?}", run.stderr);
    assert!(!run.stderr.contains("panicked"), "{arguments:?} {}: {text:?}", run.stderr);
}

#[test]
fn mutated_logs() {
    // Guards against a log with cut, repeated or foreign bytes that ends the command with a panic:
    // 120 inputs to each of three commands.
    let folder = TempFolder::new("malformed-logs");
    let plot = folder.write("plot.svg", "");
    let mut mutator = InputMutator::new(71);
    for number in 0..INPUT_COUNT {
        let bytes = match number % 4 {
            0 => mutator.random_bytes(600),
            _ => mutator.mutated(LOG.as_bytes()),
        };
        let path = folder.write("mutated.log", "");
        std::fs::write(&path, &bytes).unwrap();
        assert_exit(&["explain", "--logs", &path, "r1"], &bytes);
        assert_exit(&["summary", "--logs", &path], &bytes);
        assert_exit(&["summary", "--logs", &path, "--plot", &plot], &bytes);
    }
}

#[test]
fn mutated_files() {
    // Guards against a configuration or settings file that ends the command with a panic: 120 inputs
    // made from each of the examples.
    let folder = TempFolder::new("malformed-files");
    let mut mutator = InputMutator::new(72);
    for name in ["configuration.yaml", "settings.yaml"] {
        let valid = std::fs::read(common::example(name)).unwrap();
        for _ in 0..INPUT_COUNT {
            let bytes = mutator.mutated(&valid);
            let path = folder.write(name, "");
            std::fs::write(&path, &bytes).unwrap();
            assert_exit(&["check", &path], &bytes);
        }
    }
}
