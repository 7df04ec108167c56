//! The switch by which a test makes a stand-in fail.

use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Duration;

/// Faults in force; the default is none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools)]
pub struct Fault {
    /// Only calls whose path or body holds this text meet the faults; none for all calls.
    pub only: Option<String>,
    /// Wait before each call takes effect.
    pub delay_ms: u64,
    /// Calls whose connection closes before they take effect.
    pub drop_before: u32,
    /// Calls that take effect and whose answer is lost.
    pub drop_after: u32,
    /// Every call is answered with 503.
    pub outage: bool,
    /// Every call hangs until this is cleared.
    pub freeze: bool,
    /// Answers streamed by an engine end after this many tokens.
    pub cut_stream_after: Option<u64>,
    /// An engine answers with tokens of another request.
    pub cross_answers: bool,
    /// An engine sends every token twice.
    pub double_tokens: bool,
    /// An engine answers with text that is no JSON.
    pub nonsense: bool,
    /// An engine crashes on a prompt that holds this text.
    pub crash_on: Option<String>,
    /// Further copies of each order arrive after this delay.
    pub repeat_orders_after_ms: Option<u64>,
    /// The backend server says that it leaves.
    pub leaving: bool,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Normal,
    DropBefore,
    DropAfter,
    Unavailable,
}

/// How often a frozen call looks whether it may go on.
const FREEZE_POLL: Duration = Duration::from_millis(10);

/// Holds the faults in force.
#[derive(Debug, Default)]
pub struct Switch(Mutex<Fault>);

impl Switch {
    /// Replaces the faults in force.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap() = fault;
    }

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> Fault {
        self.0.lock().unwrap().clone()
    }

    /// Waits as the faults demand and says what happens to the call.
    #[must_use]
    pub fn meet(&self, path: &str, body: &str) -> Fate {
        let only = self.get().only;
        if only.is_some_and(|only| !path.contains(&only) && !body.contains(&only)) {
            return Fate::Normal;
        }
        while self.get().freeze {
            std::thread::sleep(FREEZE_POLL);
        }
        let mut fault = self.0.lock().unwrap();
        let delay = Duration::from_millis(fault.delay_ms);
        let fate = if fault.outage {
            Fate::Unavailable
        } else if fault.drop_before > 0 {
            fault.drop_before -= 1;
            Fate::DropBefore
        } else if fault.drop_after > 0 {
            fault.drop_after -= 1;
            Fate::DropAfter
        } else {
            Fate::Normal
        };
        drop(fault);
        std::thread::sleep(delay);
        fate
    }
}
