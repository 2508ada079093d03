//! Generates the Rust code of the `.proto` files into a folder: `cargo run -p turmericrail-wire
//! --example generate -- <folder>`. The code is committed, so the build itself does not run this.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args().nth(1).ok_or("usage: generate <folder>")?;
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["peer.proto", "relay.proto"], [manifest.join("proto")])?;
    tonic_prost_build::configure().out_dir(folder).compile_fds(files)?;
    Ok(())
}
