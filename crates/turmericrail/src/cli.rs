//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::StartError;
use crate::settings::Settings;

/// Routes requests to prefill and decode engines and to plain services.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file (YAML)
    #[argh(option)]
    settings: Option<PathBuf>,

    /// print the version
    #[argh(switch)]
    version: bool,
}

/// The checked command line.
pub struct Options {
    /// The settings.
    pub settings: Settings,
}

/// Parses and checks the command line; prints help or version and exits where asked to.
pub fn parse() -> Result<Options, StartError> {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("turmericrail {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    let path = arguments.settings.ok_or(StartError::NoSettings)?;
    let settings = Settings::read(&path)?;
    Ok(Options { settings })
}
