//! What connections to servers tell about the paths of this instance.

use super::traffic::Traffic;
use crate::common::*;
use crate::decide::reach::Change;
use crate::world::id;
use std::rc::Rc;

impl Traffic {
    /// Records that bytes from a server arrived.
    pub fn on_heard(&self, service: &id::Service, worker: &id::Worker) {
        let now = self.clock.now();
        self.balance.borrow_mut().on_heard(now, worker);
        self.reach.borrow_mut().on_heard(now, service);
        self.confirm_ends(now, service, worker);
    }

    /// Records that a server refused a connection: it has ended, unless the path to the whole service is in doubt.
    pub fn on_refused(&self, service: &id::Service, worker: &id::Worker) {
        let now = self.clock.now();
        let has_ended = self.reach.borrow_mut().on_refused(now, service, worker);
        if has_ended {
            self.on_ended(worker);
        }
    }

    fn confirm_ends(&self, now: Duration, service: &id::Service, heard: &id::Worker) {
        let ended = self.reach.borrow_mut().take_ended(now, service, heard);
        for worker in ended {
            self.on_ended(&worker);
        }
    }

    /// Records that a server accepted a connection and did not close it at once.
    pub fn on_connected(&self, service: &id::Service, worker: &id::Worker) {
        let now = self.clock.now();
        self.balance.borrow_mut().on_heard(now, worker);
        self.confirm_ends(now, service, worker);
        let server_count = self.servers(service).len();
        let lost_for = self.reach.borrow().lost_for(now, service);
        let change = self
            .reach
            .borrow_mut()
            .on_connected(service, worker, server_count);
        if change == Some(Change::Restored) {
            self.balance.borrow_mut().on_path_restored(service);
        }
        self.log_path(service, change, lost_for);
    }

    /// Has the path to the servers of a service checked, since a request waits there for an answer.
    pub(super) fn check_path(self: &Rc<Self>, service: &id::Service) {
        let (now, servers) = (self.clock.now(), self.servers(service));
        let checks = self
            .reach
            .borrow_mut()
            .checks_after_silence(now, service, &servers);
        for worker in checks {
            self.check_server(service, &worker);
        }
    }

    /// Checks the paths that are lost.
    pub(super) fn check_lost_paths(self: &Rc<Self>) {
        let now = self.clock.now();
        let lost: Vec<id::Service> = self.reach.borrow().lost_services().cloned().collect();
        for service in lost {
            let servers = self.servers(&service);
            let checks = self.reach.borrow_mut().checks(now, &service, &servers);
            for worker in checks {
                self.check_server(&service, &worker);
            }
        }
    }

    /// Records that a server could not be connected to.
    pub fn on_unreached(&self, service: &id::Service, worker: &id::Worker) {
        let now = self.clock.now();
        let server_count = self.servers(service).len();
        let change = self
            .reach
            .borrow_mut()
            .on_unreached(now, service, worker, server_count);
        self.log_path(service, change, None);
    }

    /// Returns the servers of a service that are not leaving.
    pub(super) fn servers(&self, service: &id::Service) -> Vec<id::Worker> {
        let balance = self.balance.borrow();
        let servers = balance.views().map(|view| &view.backend);
        let servers = servers.filter(|backend| backend.service == *service && !backend.leaving);
        servers.map(|backend| backend.id.clone()).collect()
    }

    fn log_path(&self, service: &id::Service, change: Option<Change>, lost_for: Option<Duration>) {
        let Some(change) = change else {
            return;
        };
        self.metrics.on_path(service, change);
        let values = json!({"service": service, "change": change,
            "lost_for_ms": lost_for.map(|lost_for| lost_for.as_millis()),
            "servers": self.servers(service).len()});
        self.journal.note("path", &values);
    }
}
