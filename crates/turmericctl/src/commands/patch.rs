//! `patch`: a dry run of a patch against a numbered version; handing it in is the platform's.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use turmericrail_core::config::error::decode_text;
use turmericrail_core::config::{ConfigError, KeyPath, PatchError, PatchFile, parse_document};
use turmericrail_core::ids::ConfigVersion;
use turmericrail_wire::client::Call;
use turmericrail_wire::platform::DocumentAnswer;

use super::diff::{Difference, differences};
use super::read_file;
use crate::error::ControlError;
use crate::options::{Base, Format};
use crate::output::to_json;

/// Longest wait for the platform's service.
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct PatchShown {
    ok: bool,
    base_version: ConfigVersion,
    next_version: ConfigVersion,
    changes: Vec<Difference>,
}

/// Tries a patch and shows the next version and what would change.
pub async fn patch(file: &Path, base: &Base, format: Format) -> Result<String, ControlError> {
    let text = read_file(file)?;
    let wrong = |problem| ControlError::Wrong { name: file.display().to_string(), problem };
    let patch = PatchFile::parse(&text).map_err(wrong)?;
    let document = read_base(base).await?;
    let patched = patch.apply_to(&document).map_err(|error| match error {
        PatchError::Invalid(problem) => wrong(in_patch(problem, &text)),
        error => ControlError::Patch(error),
    })?;
    let shown = PatchShown {
        ok: true,
        base_version: patch.base_version,
        next_version: ConfigVersion(patch.base_version.0 + 1),
        changes: differences(&document, &patched),
    };
    Ok(match format {
        Format::Json => to_json(&shown),
        Format::Text => to_text(&shown),
    })
}

fn to_text(shown: &PatchShown) -> String {
    let heading = format!(
        "patch of version {}: accepted, it would become version {}",
        shown.base_version, shown.next_version
    );
    let lines = shown.changes.iter().map(|change| format!("  {change}"));
    std::iter::once(heading).chain(lines).collect::<Vec<_>>().join("\n")
}

/// The error with the line that its path has in the patch file.
fn in_patch(error: ConfigError, text: &str) -> ConfigError {
    let keys = std::iter::once("patch".to_owned()).chain(error.path.0.clone());
    let line = ConfigError::at(KeyPath(keys.collect()), "").in_text(text).line;
    ConfigError { line, ..error }
}

async fn read_base(base: &Base) -> Result<Value, ControlError> {
    match base {
        Base::File(path) => {
            let text = read_file(path)?;
            let name = path.display().to_string();
            let checked = parse_document(&text).and_then(|_| decode_text(&text));
            checked.map_err(|problem| ControlError::Wrong { name, problem })
        }
        Base::Platform(address) => {
            let call = Call::get(*address, "/configuration", TIMEOUT);
            let answer: DocumentAnswer = call.send_json().await?;
            let mut document = answer.document;
            if let Some(fields) = document.as_object_mut() {
                fields.insert("version".to_owned(), Value::from(answer.version.0));
            }
            Ok(document)
        }
    }
}
