//! The operators' command line.

fn main() {
    println!("turmericctl {}", env!("CARGO_PKG_VERSION"));
}
