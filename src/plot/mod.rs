//! Plots of reports: lines as SVG, in one HTML file. Lines differ by dashes and markers, so that they are told apart in print
//! and without colour.

mod lines;
mod page;

pub use lines::{LinePlot, Series};
pub use page::page;
