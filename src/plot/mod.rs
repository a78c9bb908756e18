//! Line plots as SVG and the HTML page around them. Lines differ in colour and dash pattern, so
//! that they can be told apart in print and without colour.

mod lines;
mod page;

pub use lines::{LinePlot, Series};
pub use page::page;
