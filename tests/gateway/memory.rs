//! Memory of the answers that an instance holds.

use poplarseam::decide::memory::{MAX_ANSWER_BYTES, Memory};

#[test]
fn memory_is_never_exceeded_and_given_back() {
    let mut memory = Memory::default();
    assert!(memory.admits());
    assert!(memory.take(MAX_ANSWER_BYTES - 1));
    assert!(!memory.take(2));
    assert!(memory.take(1));
    memory.give_back(MAX_ANSWER_BYTES);
    assert_eq!(memory.used(), 0);
}

/// Guards against requests whose answers could not be read for lack of memory, although they ran.
#[test]
fn no_request_is_sent_while_little_memory_is_left() {
    let mut memory = Memory::default();
    assert!(memory.take(MAX_ANSWER_BYTES / 4 * 3));
    assert!(!memory.admits());
    assert!(memory.take(MAX_ANSWER_BYTES / 4));
}
