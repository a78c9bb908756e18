//! Line plots as SVG. Lines differ by dashes and markers, so that they are told apart in print
//! and without colour.

mod lines;

pub use lines::{LinePlot, Series};
