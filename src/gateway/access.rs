//! Access of requests by their callers' keys: on arrival, and again right before each send.

use super::body::Body;
use super::forward::{Exchange, Outcome};
use super::reply;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::access::{Access, Context, Currency, Doubt};
use crate::platform::request::{self, Identity};
use crate::world::site::{Route, Site};
use crate::world::workspace::Workspace;
use hyper::{Response, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum Retry-After of a request that can't be decided; up to as much again is added, depending on
/// the request's id. A newer configuration or proof arrives within about a second.
const RETRY_AFTER: Duration = Duration::from_millis(700);

const NO_KEY: &str = "no key";
const UNKNOWN_KEY: &str = "unknown key";
/// The key was known when the request arrived.
const REVOKED_KEY: &str = "key revoked";
const UNPROVEN: &str = "configuration not proven current";
const BEHIND: &str = "peers have a newer configuration";

/// Why a request that has run nowhere is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denial {
    /// It has no key of a workspace.
    Unauthorized(&'static str),
    /// This instance can't decide now.
    Undecided(Doubt),
}

impl Denial {
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Unauthorized(cause) => cause,
            Self::Undecided(Doubt::Unproven) => UNPROVEN,
            Self::Undecided(Doubt::Behind) => BEHIND,
        }
    }

    /// Builds the response. At a carrier, it says that another instance may serve the request, since
    /// instances may have different configurations.
    pub(super) fn response(self, id: &str) -> Response<Body> {
        let mut response = match self {
            Self::Unauthorized(cause) => {
                let mut response = reply::problem(id, StatusCode::UNAUTHORIZED, cause);
                request::set_challenge(response.headers_mut());
                response
            }
            Self::Undecided(_) => {
                let spread = u32::try_from(xxh3_64(id.as_bytes()) % 1_000).unwrap_or(0);
                let retry_after = RETRY_AFTER.mul_f64(1.0 + f64::from(spread) / 1e3);
                reply::refusal(id, self.cause(), retry_after)
            }
        };
        // Without a proof, the carrier serves no key.
        let is_for_key = self != Self::Undecided(Doubt::Unproven);
        response
            .extensions_mut()
            .insert(reply::Declined { is_for_key });
        response
    }
}

/// What a request may be sent with.
#[derive(Debug)]
pub(super) struct Clearance {
    /// Whether the key is kept from servers.
    is_checked: bool,
    workspace: Option<Arc<Workspace>>,
}

impl Clearance {
    pub(super) fn identity(&self) -> Identity<'_> {
        if self.is_checked {
            Identity::Checked(self.workspace.as_ref().map(|it| it.name.as_str()))
        } else {
            Identity::Unchecked
        }
    }

    /// Returns the priority of a request on this route.
    pub(super) fn priority(&self, route: &Route) -> u8 {
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(route.priority)
    }
}

impl Traffic {
    /// Returns how current the configuration in force is. Instances exchange no proofs yet, so it
    /// counts as proven at all times.
    pub(super) fn currency(&self, now: Duration) -> Currency {
        Currency {
            age: self.configuration_age(now),
            is_behind: self.peer_configuration_version.get() > self.configuration_version(),
        }
    }

    /// Decides about a request with this digest of its key.
    fn access(&self, site: &Site, is_public: bool, key: Option<&str>) -> Access {
        let context = Context {
            site,
            currency: self.currency(self.clock.now()),
            bound: self.deployment.bounds.revocation,
        };
        context.decide(is_public, key)
    }

    /// Finds the workspace of a request that has just arrived; none if its caller needs no key.
    pub(super) fn admit(
        &self,
        site: &Site,
        route: &Route,
        id: &str,
        key: Option<&str>,
    ) -> Result<Option<Arc<Workspace>>, Denial> {
        let denial = match self.access(site, route.is_public, key) {
            Access::Open => return Ok(None),
            Access::Granted(workspace) => return Ok(Some(workspace)),
            Access::Unknown if key.is_none() => Denial::Unauthorized(NO_KEY),
            Access::Unknown => Denial::Unauthorized(UNKNOWN_KEY),
            Access::Undecided(doubt) => Denial::Undecided(doubt),
        };
        let workspaces = site.workspaces.as_ref();
        let owner = workspaces.and_then(|workspaces| workspaces.of_key(key?));
        self.on_denial(denial, id, route, owner);
        Err(denial)
    }

    /// Counts and logs a request that is not served for its key.
    fn on_denial(&self, denial: Denial, id: &str, route: &Route, owner: Option<&Arc<Workspace>>) {
        let workspace = owner.map(|workspace| workspace.name.as_str());
        let cause = denial.cause();
        self.metrics.on_denial(cause, workspace.unwrap_or_default());
        let status = match denial {
            Denial::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Denial::Undecided(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let values = json!({"request": id, "status": status.as_u16(), "cause": cause,
            "route": route.name, "workspace": workspace, "version": self.configuration_version()});
        self.journal.note("denied", &values);
    }
}

impl Exchange {
    /// Decides by the newest configuration whether the request may be sent now, and with what.
    pub(super) fn clearance(&self) -> Result<Clearance, Denial> {
        let traffic = &self.traffic;
        let newest = traffic.site.borrow().clone();
        let site = newest.as_ref().unwrap_or(&self.site);
        let is_public = if Arc::ptr_eq(site, &self.site) {
            self.route.is_public
        } else {
            let route = site.route(&self.request.host, self.head.uri.path());
            route.unwrap_or(&self.route).is_public
        };
        let denial = match traffic.access(site, is_public, self.key.as_deref()) {
            Access::Open => return Ok(self.clear(None)),
            Access::Granted(workspace) => return Ok(self.clear(Some(workspace))),
            Access::Unknown if self.workspace.is_some() => Denial::Unauthorized(REVOKED_KEY),
            Access::Unknown if self.key.is_none() => Denial::Unauthorized(NO_KEY),
            Access::Unknown => Denial::Unauthorized(UNKNOWN_KEY),
            Access::Undecided(doubt) => Denial::Undecided(doubt),
        };
        let owner = self.workspace.as_ref();
        traffic.on_denial(denial, &self.request.id, &self.route, owner);
        Err(denial)
    }

    fn clear(&self, workspace: Option<Arc<Workspace>>) -> Clearance {
        Clearance {
            is_checked: self.has_workspaces(),
            workspace,
        }
    }

    /// Whether there are workspaces in the newest configuration or in the one in force when the
    /// request arrived, for which its caller may have sent a key.
    pub(super) fn has_workspaces(&self) -> bool {
        let newest = self.traffic.site.borrow();
        let newest = newest.as_ref().and_then(|site| site.workspaces.as_ref());
        newest.is_some() || self.site.workspaces.is_some()
    }

    /// Returns how the request ends with this outcome: with a denial or a refusal, which say that it has
    /// not run, only if it has run at no server. `failed` is a server's own response to it, if there
    /// was one.
    pub(super) fn end(&self, outcome: Outcome, failed: Option<Response<Body>>) -> Outcome {
        let cause = match &outcome {
            Outcome::Denied(denial) => denial.cause(),
            Outcome::Refused { cause, .. } | Outcome::OverQuota { cause, .. } => cause,
            Outcome::Stream(_)
            | Outcome::Complete(_)
            | Outcome::Unknown { .. }
            | Outcome::TimedOut => return outcome,
        };
        if !self.attempts.borrow().has_run() {
            return outcome;
        }
        failed.map_or(Outcome::Unknown { cause }, Outcome::Complete)
    }
}
