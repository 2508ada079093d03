//! `explain --logs` and `summary` with the log files of two instances.

mod common;

use common::{TempFolder, turmericctl};

const FIRST_LOG: &str = "\
time=2026-12-03T21:04:38.100 level=info event=started instance=front-1 data_centre=dc-a
time=2026-12-03T21:04:38.580 level=info event=server_call request=r1 server=s1 outcome=lost elapsed_ms=12
time=2026-12-03T21:04:38.581 level=info event=answer request=r1 outcome=server_lost status=502
";
const SECOND_LOG: &str = "\
time=2026-12-03T21:04:38.000 level=info event=started instance=front-2 data_centre=dc-b
time=2026-12-03T21:04:38.500 level=warn event=store_lost prefix=servers/ error=\"no answer (lost)\"
time=2026-12-03T21:04:38.590 level=info event=answer request=r2 outcome=completed status=200
time=2026-12-03T21:04:39.000 level=info event=answer request=r1 outcome=completed status=200
";

fn write_log_files(name: &str) -> (TempFolder, [String; 2]) {
    let folder = TempFolder::new(name);
    let paths = [folder.write("one.log", FIRST_LOG), folder.write("two.log", SECOND_LOG)];
    (folder, paths)
}

#[test]
fn log_lines_of_a_request() {
    let (_folder, [one, two]) = write_log_files("traced");
    let run = turmericctl(&["explain", "--logs", &two, "--logs", &one, "r1"]);
    assert_eq!(run.exit_code, 0, "{}", run.stderr);
    let lines: Vec<_> = run.stdout.lines().collect();
    assert_eq!(lines[0], "request r1");
    assert!(lines[1].contains("front-1") && lines[1].contains("server_call"), "{}", run.stdout);
    assert!(lines[1].contains("server=s1 outcome=lost elapsed_ms=12"), "{}", run.stdout);
    assert!(lines[2].contains("outcome=server_lost status=502"), "{}", run.stdout);
    assert!(lines[3].contains("front-2") && lines[3].contains("completed"), "{}", run.stdout);
}

#[test]
fn unknown_request() {
    let (_folder, [one, _]) = write_log_files("unknown");
    let run = turmericctl(&["explain", "--logs", &one, "r9"]);
    assert_eq!(run.exit_code, 4);
    assert!(run.stderr.contains("no line of these logs names request r9"), "{}", run.stderr);
    assert_eq!(turmericctl(&["explain", "r9"]).exit_code, 2);
}

#[test]
fn summary_counts_answers() {
    let (_folder, [one, two]) = write_log_files("summed");
    let run = turmericctl(&["summary", "--logs", &one, "--logs", &two]);
    assert_eq!(run.exit_code, 0, "{}", run.stderr);
    let words = |row: &str| row.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    let rows: Vec<_> = run.stdout.lines().map(words).collect();
    assert_eq!(rows[0], ["second", "completed", "server_lost"]);
    assert_eq!(rows[1], ["2026-12-03T21:04:38", "1", "1"]);
    assert_eq!(rows[2], ["2026-12-03T21:04:39", "1", "0"]);
    assert_eq!(rows[3], ["all", "2", "1"]);
    assert_eq!(turmericctl(&["summary"]).exit_code, 2);
}

#[test]
fn several_files_after_one_option() {
    let (_folder, [one, two]) = write_log_files("several");
    let run = turmericctl(&["explain", "--logs", &one, &two, "r1"]);
    assert!(run.stdout.contains("front-1") && run.stdout.contains("front-2"), "{}", run.stdout);
    let run = turmericctl(&["summary", "--logs", &one, &two]);
    assert!(run.stdout.contains("completed"), "{}", run.stdout);
}

#[test]
fn summary_writes_plot() {
    let (folder, [one, two]) = write_log_files("drawn");
    let plot = folder.write("answers.svg", "");
    let run = turmericctl(&["summary", "--logs", &one, "--logs", &two, "--plot", &plot]);
    assert_eq!(run.exit_code, 0, "{}", run.stderr);
    let svg = std::fs::read_to_string(&plot).unwrap();
    for text in ["<svg", "Answers a second from 2026-12-03T21:04:38", "completed", "server_lost"] {
        assert!(svg.contains(text), "{text}");
    }
    let empty = folder.write("empty.log", "");
    let run = turmericctl(&["summary", "--logs", &empty, "--plot", &plot]);
    assert_eq!(run.exit_code, 0, "{}", run.stderr);
    let missing_folder = format!("{plot}/none/a.svg");
    let run = turmericctl(&["summary", "--logs", &one, "--plot", &missing_folder]);
    assert!(
        run.exit_code == 3 && run.stderr.contains("can't draw"),
        "{} {}",
        run.exit_code,
        run.stderr
    );
}
