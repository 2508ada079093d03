//! Entry point of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    match turmericrail::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("turmericrail: {error}");
            ExitCode::FAILURE
        }
    }
}
