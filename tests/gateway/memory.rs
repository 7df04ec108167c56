//! Memory of the requests and answers that an instance holds.

use poplarseam::decide::memory::{MAX_ANSWER_BYTES, Memory, SMALL_REQUEST_BYTES, Share};
use poplarseam::world::unit::Bytes;

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

/// Guards against bodies of requests that leave no room for their answers, or for other requests that are
/// small.
#[test]
fn large_requests_leave_room_for_answers_and_for_small_requests() {
    let mut memory = Memory::new(Some(Bytes(400 << 20)));
    let half = 50 << 20;
    assert_eq!(memory.take_request(half), Some(Share::Requests));
    assert_eq!(memory.take_request(SMALL_REQUEST_BYTES + 1), None);
    assert_eq!(
        memory.take_request(SMALL_REQUEST_BYTES),
        Some(Share::Reserve)
    );
    assert!(memory.admits());
    assert!(memory.take(half));
    assert!(!memory.take(1));
    assert_eq!(memory.used_by_requests(), half + SMALL_REQUEST_BYTES);
    memory.give_back_to(Share::Requests, half);
    memory.give_back_to(Share::Reserve, SMALL_REQUEST_BYTES);
    assert_eq!(memory.used_by_requests(), 0);
    assert_eq!(memory.used(), half);
}

/// Guards against small requests that together exceed the budget.
#[test]
fn the_reserve_for_small_requests_is_bounded() {
    let mut memory = Memory::default();
    let taken = std::iter::from_fn(|| memory.take_request(SMALL_REQUEST_BYTES));
    let count = taken.take(10_000).count();
    assert_eq!(
        count * SMALL_REQUEST_BYTES,
        MAX_ANSWER_BYTES / 2 + MAX_ANSWER_BYTES / 8
    );
}
