//! An engine's memory, and every time that it was overcommitted.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Finished orders that a report names.
const REMEMBERED_ORDERS: usize = 64;

/// An order to load or unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub order: String,
    pub fence: u64,
    pub load: bool,
    pub artifact: String,
    pub size: u64,
}

/// What the engine holds.
#[derive(Debug, Clone)]
pub struct Memory {
    size: u64,
    checks_fences: bool,
    highest_fence: u64,
    loading: BTreeMap<String, u64>,
    resident: BTreeMap<String, u64>,
    unloading: BTreeMap<String, u64>,
    done: VecDeque<String>,
    incarnation: u64,
    /// Times at which more was held than there is.
    pub breaches: u64,
    /// Loads begun.
    pub loads: u64,
    /// Unloads begun.
    pub unloads: u64,
}

impl Memory {
    /// Empty memory of `size` bytes.
    #[must_use]
    pub fn new(size: u64, checks_fences: bool) -> Self {
        Self {
            size,
            checks_fences,
            highest_fence: 0,
            loading: BTreeMap::new(),
            resident: BTreeMap::new(),
            unloading: BTreeMap::new(),
            done: VecDeque::new(),
            incarnation: 1,
            breaches: 0,
            loads: 0,
            unloads: 0,
        }
    }

    /// Forgets everything but the counts.
    pub fn restart(&mut self) {
        let empty = Self::new(self.size, self.checks_fences);
        *self = Self {
            incarnation: self.incarnation + 1,
            breaches: self.breaches,
            loads: self.loads,
            unloads: self.unloads,
            ..empty
        };
    }

    /// Bytes held.
    #[must_use]
    pub fn used(&self) -> u64 {
        let parts = [&self.loading, &self.resident, &self.unloading];
        parts.iter().flat_map(|part| part.values()).sum()
    }

    /// Whether requests for an artifact can run.
    #[must_use]
    pub fn is_resident(&self, artifact: &str) -> bool {
        self.resident.contains_key(artifact)
    }

    /// Takes an order: none when refused, false when there is nothing to do.
    pub fn begin(&mut self, order: &Order) -> Option<bool> {
        if self.checks_fences && order.fence < self.highest_fence {
            return None;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let artifact = order.artifact.clone();
        let idle = if order.load {
            self.resident.contains_key(&artifact) || self.loading.contains_key(&artifact)
        } else {
            !self.resident.contains_key(&artifact)
        };
        if idle {
            self.remember(order);
            return Some(false);
        }
        if order.load {
            self.loads += 1;
            self.loading.insert(artifact, order.size);
        } else {
            self.unloads += 1;
            let size = self.resident.remove(&artifact).unwrap_or(0);
            self.unloading.insert(artifact, size);
        }
        if self.used() > self.size {
            self.breaches += 1;
        }
        Some(true)
    }

    /// Ends an order that was begun.
    pub fn finish(&mut self, order: &Order) {
        if order.load {
            if let Some(size) = self.loading.remove(&order.artifact) {
                self.resident.insert(order.artifact.clone(), size);
            }
        } else {
            self.unloading.remove(&order.artifact);
        }
        self.remember(order);
    }

    fn remember(&mut self, order: &Order) {
        self.done.push_back(order.order.clone());
        if self.done.len() > REMEMBERED_ORDERS {
            self.done.pop_front();
        }
    }

    /// What the engine publishes about its memory.
    #[must_use]
    pub fn report(&self) -> Value {
        json!({
            "incarnation": self.incarnation,
            "memory": self.size,
            "used": self.used(),
            "resident": self.resident,
            "loading": self.loading,
            "unloading": self.unloading,
            "done": self.done,
        })
    }
}
