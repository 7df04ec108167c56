//! Increments derived from running totals that instances report, in any order and with gaps.

use crate::common::*;
use crate::world::id;
use crate::world::message::Target;
use crate::world::unit::Incarnation;

/// Source of a total: an instance that reports its own, or the instance that reports the sum of
/// its data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Source {
    pub instance: id::Instance,
    pub is_sum: bool,
}

/// Latest total of each source and target.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    last_totals: Map<(Source, Target), (Incarnation, u64)>,
}

impl Tally {
    /// Records a total and returns the increment over the last one.
    ///
    /// The first sum that an instance reports for its data centre counts as no increment, because
    /// the instance that reported for the data centre before has already reported most of it.
    pub fn on_total(
        &mut self,
        source: &Source,
        incarnation: Incarnation,
        target: &Target,
        total: u64,
    ) -> u64 {
        let key = (source.clone(), target.clone());
        let known = self.last_totals.get(&key).copied();
        let is_first = known.is_none() && source.is_sum;
        let (known, before) = known.unwrap_or_default();
        let before = if known == incarnation { before } else { 0 };
        if incarnation < known || total <= before {
            return 0;
        }
        self.last_totals.insert(key, (incarnation, total));
        if is_first { 0 } else { total - before }
    }
}
