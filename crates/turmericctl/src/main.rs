//! Command line for operators: checks settings and configurations, tries patches, and shows the
//! status and decisions of instances.

mod cli;
mod commands;
mod error;
mod options;
mod output;
mod route_differences;
mod route_findings;

use std::process::ExitCode;

use crate::error::CommandError;
use crate::options::Options;

fn run(options: &Options) -> Result<String, CommandError> {
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
