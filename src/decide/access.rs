//! Whether a request may be served, by its caller's key and by how current the configuration is.
//!
//! A key that was taken away must not be served for longer than the bound on revocation, and a key
//! that was just added must not be called unknown by an instance with an older configuration.

use super::freshness::SERVED_FRACTION;
use crate::common::*;
use crate::world::site::Site;
use crate::world::workspace::Workspace;

/// How current the configuration in force at this instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Currency {
    /// Time since the configuration was last proven to be the newest; `None` if it never was.
    pub age: Option<Duration>,
    /// Whether a peer has a newer configuration.
    pub is_behind: bool,
}

impl Currency {
    /// Whether the last proof is recent enough to serve keys under a bound on revocation.
    fn is_proven(self, bound: Option<Duration>) -> bool {
        let Some(bound) = bound else { return true };
        self.age
            .is_some_and(|age| age < bound.mul_f64(SERVED_FRACTION))
    }
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// Served without a key: there are no workspaces, or the route is public.
    Open,
    /// Served as a request of this workspace.
    Granted(Arc<Workspace>),
    /// The key belongs to no workspace, or there is none.
    Unknown,
    /// This instance can't decide now; the caller may try again.
    Undecided(Doubt),
}

/// Why a request can't be decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// It is not proven that the configuration is current, so any key may have been taken away, and
    /// any unknown key added.
    Unproven,
    /// A peer has a newer configuration, in which an unknown key may be known or the route public.
    Behind,
}

/// What a decision depends on, apart from the request.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The configuration in force.
    pub site: &'a Site,
    pub currency: Currency,
    /// Time after which a key that was taken away must not be served; `None` if there is no such
    /// bound.
    pub bound: Option<Duration>,
}

impl Context<'_> {
    /// Decides about a request with this SHA-256 of its key in hex.
    #[must_use]
    pub fn decide(&self, is_public: bool, key: Option<&str>) -> Access {
        let Some(workspaces) = self.site.workspaces.as_ref().filter(|_| !is_public) else {
            return Access::Open;
        };
        if !self.currency.is_proven(self.bound) {
            return Access::Undecided(Doubt::Unproven);
        }
        match key.and_then(|key| workspaces.of_key(key)) {
            Some(workspace) => Access::Granted(Arc::clone(workspace)),
            None if self.currency.is_behind => Access::Undecided(Doubt::Behind),
            None => Access::Unknown,
        }
    }
}
