//! The daemon of each entry instance.

use std::process::ExitCode;

use turmericrail::{cli, daemon, error::StartError};

fn run() -> Result<(), StartError> {
    let options = cli::parse()?;
    daemon::start(options.settings)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("turmericrail: {error}");
            ExitCode::FAILURE
        }
    }
}
