//! What is printed, for people or for programs.

use serde::Serialize;

use crate::error::ControlError;
use crate::options::Format;

/// An error for programs.
#[derive(Serialize)]
struct ErrorShown<'a> {
    ok: bool,
    exit_code: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    path: Option<String>,
    error: &'a str,
}

/// The JSON text of a value.
pub fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("what is printed has text keys")
}

/// Prints why a command failed: JSON on standard output, text on standard error.
pub fn print_error(error: &ControlError, format: Format) {
    if format == Format::Text {
        eprintln!("turmericctl: {error}");
        return;
    }
    if let ControlError::Unreachable { shown, .. } = error {
        println!("{shown}");
        return;
    }
    let problem = match error {
        ControlError::Wrong { problem, .. } => Some(problem),
        _ => None,
    };
    let shown = ErrorShown {
        ok: false,
        exit_code: error.exit_code(),
        line: problem.and_then(|problem| problem.line),
        path: problem.map(|problem| problem.path.to_string()),
        error: &error.to_string(),
    };
    println!("{}", to_json(&shown));
}
