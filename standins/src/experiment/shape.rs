//! The two sites of today, as far as the experiments need them.

use std::time::Duration;

/// Size and delays of a site.
#[derive(Debug, Clone)]
pub struct Shape {
    pub name: &'static str,
    pub entries: usize,
    pub workers: usize,
    pub models: usize,
    /// Copies of models that fit into one worker.
    pub copies_per_worker: u64,
    /// Requests in one batch.
    pub batch: u32,
    /// One way between data centres of a region.
    pub data_centre_delay: Duration,
    /// One way between regions.
    pub region_delay: Duration,
    pub loads_per_second: f64,
    pub load_slots: usize,
    /// Time of a load at full speed.
    pub load: Duration,
    /// Whether moves weigh more than attainment.
    pub weighs_moves: bool,
}

impl Shape {
    /// Ishikari: 12 workers, 20 models; weighs attainment.
    #[must_use]
    pub const fn ishikari() -> Self {
        Self {
            name: "ishikari",
            entries: 8,
            workers: 12,
            models: 20,
            copies_per_worker: 3,
            batch: 8,
            data_centre_delay: Duration::from_micros(500),
            region_delay: Duration::from_millis(12),
            loads_per_second: 1.6,
            load_slots: 2,
            load: Duration::from_millis(1250),
            weighs_moves: false,
        }
    }

    /// Tuulelend: 18 workers, 21 models; weighs moves.
    #[must_use]
    pub const fn tuulelend() -> Self {
        Self {
            name: "tuulelend",
            entries: 8,
            workers: 18,
            models: 21,
            copies_per_worker: 3,
            batch: 8,
            data_centre_delay: Duration::from_micros(1500),
            region_delay: Duration::from_millis(12),
            loads_per_second: 2.0,
            load_slots: 9,
            load: Duration::from_millis(4500),
            weighs_moves: true,
        }
    }

    /// Data centre of the instance or worker with this number; the third is in another region.
    #[must_use]
    pub const fn data_centre(at: usize) -> usize {
        at % 3
    }

    /// One way between two data centres.
    #[must_use]
    pub const fn delay(&self, a: usize, b: usize) -> Duration {
        if a == b {
            Duration::from_micros(100)
        } else if a == 2 || b == 2 {
            self.region_delay
        } else {
            self.data_centre_delay
        }
    }
}
