//! The operators' command line: checks files, tries patches, shows status and decisions.

mod cli;
mod commands;
mod error;
mod options;
mod output;

use std::process::ExitCode;

use crate::error::ControlError;
use crate::options::Options;

fn run(options: &Options) -> Result<String, ControlError> {
    async_std::task::block_on(commands::run(&options.command, options.format))
}

fn main() -> ExitCode {
    let options = match cli::parse() {
        Ok(options) => options,
        Err(exit) => return exit,
    };
    match run(&options) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            output::print_error(&error, options.format);
            ExitCode::from(error.exit_code())
        }
    }
}
