//! Helpers shared by the tests of the command line.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Output and exit code of a run of the command.
pub struct RunOutput {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs `turmericctl` with the given arguments.
pub fn turmericctl(arguments: &[&str]) -> RunOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_turmericctl")).args(arguments).output().unwrap();
    RunOutput {
        exit_code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Path of a file in the repository's `examples` folder.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// Temporary folder of a test, removed when it is dropped.
pub struct TempFolder(PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("turmericctl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
