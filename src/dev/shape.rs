//! The sizes of the examples' cells, which a document does not state.

use crate::document::Document;
use crate::ids::ZoneName;
use crate::resources::Resources;
use crate::workload::WorkerSpec;

/// Hosts of a development cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Workers.
    pub workers: u32,
    /// Cores of a worker.
    pub cores: u32,
    /// Memory of a worker in megabytes.
    pub memory_mb: u32,
    /// Workers in a rack.
    pub per_rack: u32,
    /// Minions.
    pub minions: u32,
}

/// Massfenster's cell.
const MASSFENSTER: Shape = Shape {
    workers: 50,
    cores: 32,
    memory_mb: 64_000,
    per_rack: 6,
    minions: 50,
};

/// Torres's cell.
const TORRES: Shape = Shape {
    workers: 50,
    cores: 32,
    memory_mb: 128_000,
    per_rack: 8,
    minions: 50,
};

impl Shape {
    /// The sizes that go with a document: those of the example of that name, else the smaller.
    pub fn of(document: &Document) -> Self {
        match document.cell.as_str() {
            "torres" => TORRES,
            _ => MASSFENSTER,
        }
    }

    /// The workers, spread over the document's availability zones rack by rack.
    pub fn worker_specs(&self, document: &Document) -> Vec<WorkerSpec> {
        let numbers = 0..self.workers;
        numbers
            .map(|number| {
                let rack = number / self.per_rack;
                WorkerSpec {
                    id: format!("worker-{number:03}").into(),
                    zone: zone(document, rack),
                    rack: format!("rack-{rack:02}").into(),
                    capacity: Resources::new(self.cores, self.memory_mb, 0),
                    accelerator: None,
                }
            })
            .collect()
    }
}

/// The availability zone of the host or rack with this number.
pub fn zone(document: &Document, number: u32) -> ZoneName {
    let zones = &document.zones;
    match zones.is_empty() {
        true => ZoneName::default(),
        false => zones[number as usize % zones.len()].name.clone(),
    }
}
