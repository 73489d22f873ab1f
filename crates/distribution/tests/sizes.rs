//! The sizes of requests, responses and datagrams, and the memory that a source uses per follower, stay within bounds.

mod common;
use common::*;
use spanspur_membership::authentication::MAX_DATAGRAM;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};

struct CountingAllocator;
static ALLOCATED: AtomicI64 = AtomicI64::new(0);

// The system allocator, with a count of the allocated bytes.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as i64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// This is the only test in this file, because the count covers the whole process.
#[test]
fn requests_and_the_record_of_a_follower_are_small() {
    let mut sim = Simulation::new(71, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 1 << 50));
    let follower = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    assert!(sim.same_content(follower, 0));
    let sizes = |sim: &mut Simulation, duration: u64| {
        sim.capture = Some(Vec::new());
        sim.run(duration);
        let capture = sim.capture.take().expect("captured");
        let sizes_sent = |by_follower: bool| {
            let datagrams = capture
                .iter()
                .filter(|(_, from, ..)| (*from == follower_address(follower)) == by_follower);
            datagrams
                .map(|(.., bytes)| bytes.len())
                .collect::<Vec<usize>>()
        };
        (sizes_sent(true), sizes_sent(false))
    };
    let (requests, responses) = sizes(&mut sim, 10_000);
    let (request, response) = (requests.iter().max(), responses.iter().max());
    let bytes_per_second = (requests.iter().sum::<usize>() + responses.iter().sum::<usize>()) / 10;
    println!(
        "no changes: request {request:?} B, response {response:?} B, {bytes_per_second} B/s in both directions, two sources"
    );
    assert_eq!((requests.len(), responses.len()), (20, 20));
    assert!(request <= Some(&100) && response <= Some(&80) && bytes_per_second < 400);
    sim.publish_all(&[entry(1, (1 << 50) + 1)]);
    let (_, responses) = sizes(&mut sim, 1000);
    println!("one row of 90 bytes: responses {responses:?} B");
    sim.publish_all(&entries(0..100, (1 << 50) + 2));
    let (_, responses) = sizes(&mut sim, 1000);
    println!("100 rows of 90 bytes: responses {responses:?} B");
    assert!(responses.iter().all(|bytes| *bytes <= MAX_DATAGRAM));

    // The memory for each follower that is known to a source with few entries.
    let mut sim = Simulation::new(72, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..10, 10));
    for _ in 0..10 {
        sim.add_follower(LOCAL_ZONE);
    }
    sim.run(5000);
    let memory_per_follower = |sim: &mut Simulation, n: usize| {
        let before = ALLOCATED.load(Ordering::Relaxed);
        let source = &mut sim.sources[0];
        let mut registered = Vec::new();
        for i in 0..n {
            let name = format!("balancer-of-a-zone-{i}");
            let id = spanspur_membership::handshake::id_of(&name);
            let sessions = spanspur_membership::Sessions::new(id, 9, keys());
            let identity = identity(&name, follower_address(100 + i), 9);
            let body = postcard::to_stdvec(&identity).expect("encoded");
            let answer = sessions.seal_answer(100, &body).expect("fits");
            source.receive(sim.now, follower_address(100 + i), &answer);
            drop(source.take_outputs());
            registered.push(i);
        }
        drop(registered);
        (ALLOCATED.load(Ordering::Relaxed) - before) / n as i64
    };
    let each = memory_per_follower(&mut sim, 1000);
    println!("{each} B for each follower at a source, including its session");
    assert!(each < 1500, "{each}");
}
