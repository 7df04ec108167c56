//! Counts of the cells of a test matrix. A cell is one combination of events and faults.

/// Number of cells run and of violations of the tested invariant in them. A naive baseline (`twin`
/// in the printed line) runs in the same cells, to show that they can violate the invariant.
#[derive(Debug, Default)]
pub struct Tally {
    pub cells: u64,
    pub not_run: u64,
    pub baseline_violations: u64,
    pub violations: u64,
}

impl Tally {
    /// Counts one cell.
    pub fn add(&mut self, baseline_breaks: bool, implementation_breaks: bool) {
        self.cells += 1;
        self.baseline_violations += u64::from(baseline_breaks);
        self.violations += u64::from(implementation_breaks);
    }

    /// Prints the counts; fails if the implementation violated the invariant in any cell, or the
    /// baseline in none.
    pub fn check(&self, matrix: &str) {
        println!(
            "{matrix}: {} cells, {} not run, breaches by the twin {}, by ours {}",
            self.cells, self.not_run, self.baseline_violations, self.violations
        );
        assert_eq!(self.violations, 0, "{matrix}");
        assert!(
            self.baseline_violations > 0,
            "{matrix} proves nothing: the naive baseline violated the invariant in no cell"
        );
    }
}
