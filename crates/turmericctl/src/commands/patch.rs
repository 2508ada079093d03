//! `patch`: dry run of a patch against a configuration. Patches are submitted to the platform, not
//! by this command.

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
use crate::error::CommandError;
use crate::options::{Format, PatchBase};
use crate::output::to_json;

/// Timeout of the call to the platform's configuration service.
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct PatchOutput {
    ok: bool,
    base_version: ConfigVersion,
    next_version: ConfigVersion,
    changes: Vec<Difference>,
}

/// Applies a patch to the configuration in memory and returns the next version and the changes.
pub async fn patch(file: &Path, base: &PatchBase, format: Format) -> Result<String, CommandError> {
    let text = read_file(file)?;
    let invalid = |problem| CommandError::Invalid { name: file.display().to_string(), problem };
    let patch = PatchFile::parse(&text).map_err(invalid)?;
    let document = read_base(base).await?;
    let patched = patch.apply_to(&document).map_err(|error| match error {
        PatchError::Invalid(problem) => invalid(at_patch_line(problem, &text)),
        error => CommandError::Patch(error),
    })?;
    let output = PatchOutput {
        ok: true,
        base_version: patch.base_version,
        next_version: ConfigVersion(patch.base_version.0 + 1),
        changes: differences(&document, &patched),
    };
    Ok(match format {
        Format::Json => to_json(&output),
        Format::Text => to_text(&output),
    })
}

fn to_text(output: &PatchOutput) -> String {
    let heading = format!(
        "patch of version {}: accepted, it would become version {}",
        output.base_version, output.next_version
    );
    let lines = output.changes.iter().map(|change| format!("  {change}"));
    std::iter::once(heading).chain(lines).collect::<Vec<_>>().join("\n")
}

/// Sets the line of the error to that of its path in the patch file.
fn at_patch_line(error: ConfigError, text: &str) -> ConfigError {
    let keys = std::iter::once("patch".to_owned()).chain(error.path.0.clone());
    let line = ConfigError::at(KeyPath(keys.collect()), "").in_text(text).line;
    ConfigError { line, ..error }
}

async fn read_base(base: &PatchBase) -> Result<Value, CommandError> {
    match base {
        PatchBase::File(path) => {
            let text = read_file(path)?;
            let name = path.display().to_string();
            let checked = parse_document(&text).and_then(|_| decode_text(&text));
            checked.map_err(|problem| CommandError::Invalid { name, problem })
        }
        PatchBase::Platform(address) => {
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
