//! The table service with every kind of commit failure.

use poplarseam::world::table::{Commit, Failure, Txn};
use proptest::prelude::*;
use standins::table::Table;

/// Failure of one commit, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Refused without effect.
    Refused,
    /// No effect and no answer.
    LostBefore,
    /// Effect but no answer.
    LostAfter,
    /// No answer; takes effect later, after the caller stopped waiting for the answer.
    Late,
}

/// Generates a fault; `no_fault_weight` is the weight of no fault relative to each other kind.
pub fn fault(no_fault_weight: u32) -> impl Strategy<Value = Fault> + Clone {
    prop_oneof![
        no_fault_weight => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::LostAfter),
        1 => Just(Fault::Late),
    ]
}

/// A table and the delayed commits that have not reached it yet.
#[derive(Default)]
pub struct Store {
    pub table: Table,
    late: Vec<Txn>,
}

impl Store {
    pub fn commit(&mut self, txn: &Txn, fault: Fault) -> Result<Commit, Failure> {
        match fault {
            Fault::None => Ok(self.table.commit(txn)),
            Fault::Refused => Err(Failure::Refused),
            Fault::LostBefore => Err(Failure::Lost),
            Fault::LostAfter => {
                self.table.commit(txn);
                Err(Failure::Lost)
            }
            Fault::Late => {
                self.late.push(txn.clone());
                Err(Failure::Lost)
            }
        }
    }

    pub fn deliver_late(&mut self) {
        for txn in std::mem::take(&mut self.late) {
            self.table.commit(&txn);
        }
    }
}
