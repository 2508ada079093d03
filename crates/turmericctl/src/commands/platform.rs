//! `check --platform` and `diff`: findings of and differences between configurations as the
//! platform's store holds them.

use std::path::Path;

use serde::Serialize;
use turmericrail_core::forward::RouteTable;
use turmericrail_platform::{DecodeError, configuration};

use super::diff::Difference;
use crate::error::CommandError;
use crate::options::Format;
use crate::output::to_json;
use crate::route_differences::route_differences;
use crate::route_findings::{Finding, findings};

#[derive(Serialize)]
struct CheckOutput {
    ok: bool,
    findings: Vec<Finding>,
}

#[derive(Serialize)]
struct DiffOutput {
    ok: bool,
    differences: Vec<Difference>,
}

/// Checks a configuration. One that is JSON but which instances would reject is a finding too.
pub fn check(path: &Path, format: Format) -> Result<String, CommandError> {
    let findings = match read(path)? {
        Ok(table) => findings(&table),
        Err(error) => vec![Finding { entry: None, problem: error.to_string() }],
    };
    let ok = findings.is_empty();
    let text = match format {
        Format::Json => to_json(&CheckOutput { ok, findings }),
        Format::Text if ok => format!("{}: no findings", path.display()),
        Format::Text => lines(findings),
    };
    if ok { Ok(text) } else { Err(CommandError::Findings { output: text }) }
}

/// Shows what differs between two configurations.
pub fn diff(old: &Path, new: &Path, format: Format) -> Result<String, CommandError> {
    let decode = |path: &Path| read(path)?.map_err(|error| unreadable(path, error.to_string()));
    let differences = route_differences(&decode(old)?, &decode(new)?);
    let ok = differences.is_empty();
    let text = match format {
        Format::Json => to_json(&DiffOutput { ok, differences }),
        Format::Text if ok => "no differences".to_owned(),
        Format::Text => lines(differences),
    };
    if ok { Ok(text) } else { Err(CommandError::Findings { output: text }) }
}

fn lines(items: Vec<impl ToString>) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads and decodes a file; the outer error means that it can't be read or isn't JSON.
fn read(path: &Path) -> Result<Result<RouteTable, DecodeError>, CommandError> {
    let bytes = std::fs::read(path).map_err(|error| unreadable(path, error.to_string()))?;
    match configuration::decode(&bytes) {
        Err(DecodeError::Json(error)) if !error.is_data() => {
            Err(unreadable(path, format!("not JSON: {error}")))
        }
        decoded => Ok(decoded),
    }
}

fn unreadable(path: &Path, problem: String) -> CommandError {
    CommandError::Unreadable { path: path.to_owned(), problem }
}
