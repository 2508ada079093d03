//! JSON output and printing of errors.

use serde::Serialize;

use crate::error::CommandError;
use crate::options::Format;

/// JSON form of an error.
#[derive(Serialize)]
struct ErrorOutput<'a> {
    ok: bool,
    exit_code: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    path: Option<String>,
    error: &'a str,
}

/// Serialises a value as JSON.
pub fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("what is printed has text keys")
}

/// Prints an error: JSON to standard output, text to standard error.
pub fn print_error(error: &CommandError, format: Format) {
    if let CommandError::Findings { output } = error {
        println!("{output}");
        return;
    }
    if format == Format::Text {
        eprintln!("turmericctl: {error}");
        return;
    }
    if let CommandError::Unreachable { output, .. } = error {
        println!("{output}");
        return;
    }
    let problem = match error {
        CommandError::Invalid { problem, .. } => Some(problem),
        _ => None,
    };
    let output = ErrorOutput {
        ok: false,
        exit_code: error.exit_code(),
        line: problem.and_then(|problem| problem.line),
        path: problem.map(|problem| problem.path.to_string()),
        error: &error.to_string(),
    };
    println!("{}", to_json(&output));
}
