//! How the cost of control grows: `cargo bench --bench slopes`.
//!
//! Parts are chosen by name: `framing`, `core`, `deaths`, `documents`, `processes`, `engines`,
//! `large`, `restarts`. Each prints rows of measured figures and, where it tells something, the exponent with which a figure grows
//! between the first and the last row. Nothing here is a test: no figure is asserted.

mod core_alone;
mod deaths;
mod documents;
#[path = "../../../core/tests/fleet/mod.rs"]
mod fleet;
mod framing;
mod large_documents;
mod process;
mod processes;
mod restarts;

fn main() {
    let wanted: Vec<_> = std::env::args().skip(1).filter(|text| !text.starts_with('-')).collect();
    let is_wanted = |part: &str| wanted.is_empty() || wanted.iter().any(|name| name == part);
    async_std::task::block_on(async {
        if is_wanted("framing") {
            framing::print();
        }
        if is_wanted("core") {
            core_alone::print();
        }
        if is_wanted("deaths") {
            deaths::print();
        }
        if is_wanted("documents") {
            documents::print();
        }
        if is_wanted("processes") {
            processes::print().await;
        }
        if is_wanted("engines") {
            processes::print_engines().await;
        }
        if is_wanted("large") {
            large_documents::print().await;
        }
        if is_wanted("restarts") {
            restarts::print().await;
        }
    });
}

/// Exponent of growth between two points.
fn exponent(from: (f64, f64), to: (f64, f64)) -> f64 {
    (to.1 / from.1).ln() / (to.0 / from.0).ln()
}
