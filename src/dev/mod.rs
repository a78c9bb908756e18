//! A whole cell in one process: one control replica, one entry host, stand-in workers and
//! minions, with their data in one folder.

mod cell;
mod demo;
mod live;
mod run;
mod shape;
mod summary;

pub use cell::{DevCell, Place};
pub use run::{DevOptions, run};
pub use shape::Shape;
pub use summary::{KindSummary, RequestSummary, Summary};
