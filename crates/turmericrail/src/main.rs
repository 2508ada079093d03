//! The daemon of each entry instance.

use std::process::ExitCode;

use turmericrail::cli::{self, Options};
use turmericrail::error::StartError;
use turmericrail::{daemon, forward};

fn run() -> Result<(), StartError> {
    match cli::parse()? {
        Options::Route(settings) => daemon::start(*settings),
        Options::Forward(path, settings) => forward::start(path, *settings),
    }
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
