//! Measures how the cost of coordination grows with the size of a deployment: `cargo bench --bench
//! slopes`.
//!
//! Arguments select parts by name: `framing`, `core`, `deaths`, `documents`, `processes`,
//! `engines`, `large`, `restarts`. Each part prints a table; some also print the exponent with
//! which a figure grows from the first to the last row. No figure is asserted.

mod core_only;
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
    let selected: Vec<_> = std::env::args().skip(1).filter(|text| !text.starts_with('-')).collect();
    let is_selected = |part: &str| selected.is_empty() || selected.iter().any(|name| name == part);
    async_std::task::block_on(async {
        if is_selected("framing") {
            framing::print();
        }
        if is_selected("core") {
            core_only::print();
        }
        if is_selected("deaths") {
            deaths::print();
        }
        if is_selected("documents") {
            documents::print();
        }
        if is_selected("processes") {
            processes::print().await;
        }
        if is_selected("engines") {
            processes::print_engines().await;
        }
        if is_selected("large") {
            large_documents::print().await;
        }
        if is_selected("restarts") {
            restarts::print().await;
        }
    });
}

/// Returns the exponent of a power law through two points.
fn growth_exponent(from: (f64, f64), to: (f64, f64)) -> f64 {
    (to.1 / from.1).ln() / (to.0 / from.0).ln()
}
