//! Counts of a matrix.

/// Cells run and promises broken in them.
#[derive(Debug, Default)]
pub struct Tally {
    pub cells: u64,
    pub not_run: u64,
    pub baseline_violations: u64,
    pub violations: u64,
}

impl Tally {
    /// Adds a cell.
    pub fn add(&mut self, baseline_breaks: bool, implementation_breaks: bool) {
        self.cells += 1;
        self.baseline_violations += u64::from(baseline_breaks);
        self.violations += u64::from(implementation_breaks);
    }

    /// Prints the counts, and fails unless ours held everywhere and the twin did not.
    pub fn check(&self, matrix: &str) {
        println!(
            "{matrix}: {} cells, {} not run, breaches by the twin {}, by ours {}",
            self.cells, self.not_run, self.baseline_violations, self.violations
        );
        assert_eq!(self.violations, 0, "{matrix}");
        assert!(
            self.baseline_violations > 0,
            "{matrix} proves nothing: the twin holds too"
        );
    }
}
