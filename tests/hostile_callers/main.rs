//! Callers that respect no limits: bodies that stop just short of their end, tiny chunks, bodies far
//! above the limit, heads that never end and connections that send nothing. Processes of the system
//! must survive them within the memory and descriptors that their settings state, and still answer.
//!
//! Nothing here depends on the speed of the machine. The tests run one at a time.

mod crowd;
mod entry;
mod gateway;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Connections of a hostile crowd.
const CROWD: usize = 80;
/// Limit on bodies: the default of the gateway.
const MAX_BODY: usize = 4 << 20;
/// Memory of the machine in the settings of the processes. The bodies of a crowd are 335 MB.
const MEMORY_MB: u64 = 128;
/// Descriptors in the settings of the processes, where connections are not what is tested.
const MANY_FDS: u64 = 4_100;
/// Descriptors in the settings where connections are what is tested: without those for files, as many
/// as the crowd has connections.
const FEW_FDS: u64 = FILE_FDS + CROWD as u64;
/// Descriptors that are reserved for files.
const FILE_FDS: u64 = 200;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
