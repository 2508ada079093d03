//! What the tests of the command line share.

#![allow(dead_code, reason = "each test file uses its part")]

use std::path::{Path, PathBuf};
use std::process::Command;

/// What a run of the command printed, and its exit code.
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the command line under test.
pub fn turmericctl(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_turmericctl")).args(arguments).output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// An example file at the root of the repository.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// A folder of the test's own, removed at its end.
pub struct Folder(PathBuf);

impl Folder {
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

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
