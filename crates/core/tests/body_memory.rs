//! Guards against a gateway that is ended for the memory that callers' bodies take, and against
//! callers with small requests that are refused for the bodies of others.

use hooktrestle_core::direct::body_memory::BodyMemory;
use hooktrestle_core::direct::body_memory::Reservation;

const MB: usize = 1 << 20;

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut memory = BodyMemory::new(16 * MB);
    for _ in 0..3 {
        assert_eq!(memory.reserve(0, 4 * MB), Reservation::Reserved);
    }
    assert_eq!(memory.reserve(0, 4 * MB), Reservation::NoRoom);
    assert_eq!(memory.reserved_bytes(), 12 * MB, "a refused body reserves nothing");
    for _ in 0..400 {
        assert_eq!(memory.reserve(0, 10_000), Reservation::Reserved);
    }
    memory.release(4 * MB);
    assert_eq!(memory.reserve(0, 4 * MB), Reservation::NoRoom, "small bodies count, too");
    memory.release(400 * 10_000);
    assert_eq!(memory.reserve(0, 4 * MB), Reservation::Reserved);
}

#[test]
fn a_body_that_is_alone_is_read_whatever_its_size() {
    let mut memory = BodyMemory::new(MB);
    assert_eq!(memory.reserve(0, 2 * MB), Reservation::Reserved);
    assert_eq!(memory.reserve(2 * MB, MB), Reservation::Reserved, "the same body grows");
    assert_eq!(memory.reserve(0, 1), Reservation::NoRoom);
    memory.release(3 * MB);
    assert_eq!(memory.reserved_bytes(), 0);
}

#[test]
fn a_body_of_unknown_size_stops_growing_at_the_budget() {
    let mut memory = BodyMemory::new(16 * MB);
    assert_eq!(memory.reserve(0, 100), Reservation::Reserved);
    let mut held = 0;
    while memory.reserve(held, 16_384) == Reservation::Reserved {
        held += 16_384;
    }
    assert!((12 * MB - 16_384 - 100..=12 * MB).contains(&held), "{held}");
}
