//! Retry budgets of this instance, one for each service.

use super::traffic::Traffic;
use crate::common::*;
use crate::decide::retry::Budget;
use crate::world::id;

impl Traffic {
    /// Records that this instance has never run before.
    pub(super) fn on_first_start(&self) {
        self.is_first_start.set(true);
        let mut budgets = self.budgets.borrow_mut();
        budgets.values_mut().for_each(Budget::on_first_start);
    }

    /// Takes one retry from this instance's share of the budget; returns whether there was one.
    pub fn try_take_retry(&self, request: &str, service: &id::Service, cause: &str) -> bool {
        let (now, sharers) = (self.clock.now(), self.sharers());
        let (granted, left) =
            self.with_budget(service, |budget| (budget.take(now, sharers), budget.left()));
        self.metrics.on_repeat(service, granted);
        let values = json!({"request": request, "service": service, "cause": cause,
            "granted": granted, "left": left, "sharers": sharers, "instances": self.instances()});
        self.journal.note("repeat", &values);
        granted
    }

    /// Records the first attempt of a request, which earns retries.
    pub fn on_first_send(&self, service: &id::Service) {
        self.metrics.on_first_send(service);
        let (now, sharers) = (self.clock.now(), self.sharers());
        self.with_budget(service, |budget| budget.on_first_attempt(now, sharers));
    }

    fn with_budget<T>(&self, service: &id::Service, f: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let allowance = self.deployment.bounds.retries;
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let mut budget = Budget::new(allowance, Duration::ZERO);
            if self.is_first_start.get() {
                budget.on_first_start();
            }
            budget
        });
        f(budget)
    }
}
