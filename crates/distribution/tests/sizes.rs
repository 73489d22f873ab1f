//! The sizes of requests, responses and datagrams, and the memory of a follower at a source, within bounds.

mod common;
use common::*;
use spanspur_membership::authentication::MAX_DATAGRAM;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};

struct Counted;
static HELD: AtomicI64 = AtomicI64::new(0);

// The standard allocator, with a sum of what is held.
unsafe impl GlobalAlloc for Counted {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as i64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counted = Counted;

/// One test alone in this file: the sum is of the whole process.
#[test]
fn requests_and_the_record_of_a_follower_are_small() {
    let mut sim = Simulation::new(71, &[LOCAL_ZONE, OTHER_ZONE]);
    sim.publish_all(&entries(0..5000, 1 << 50));
    let one = sim.add_follower(LOCAL_ZONE);
    sim.run(8000);
    assert!(sim.same_content(one, 0));
    let sizes = |sim: &mut Simulation, span: u64| {
        sim.capture = Some(Vec::new());
        sim.run(span);
        let tape = sim.capture.take().expect("kept");
        let of = |ours: bool| {
            let mine = tape
                .iter()
                .filter(|(_, from, ..)| (*from == follower_address(one)) == ours);
            mine.map(|(.., bytes)| bytes.len()).collect::<Vec<usize>>()
        };
        (of(true), of(false))
    };
    let (asks, answers) = sizes(&mut sim, 10_000);
    let (ask, answer) = (asks.iter().max(), answers.iter().max());
    let second = (asks.iter().sum::<usize>() + answers.iter().sum::<usize>()) / 10;
    println!(
        "nothing new: ask {ask:?} B, answer {answer:?} B, {second} B/s both ways, two sources"
    );
    assert_eq!((asks.len(), answers.len()), (20, 20));
    assert!(ask <= Some(&100) && answer <= Some(&80) && second < 400);
    sim.publish_all(&[entry(1, (1 << 50) + 1)]);
    let (_, answers) = sizes(&mut sim, 1000);
    println!("one row of 90 bytes: answers {answers:?} B");
    sim.publish_all(&entries(0..100, (1 << 50) + 2));
    let (_, answers) = sizes(&mut sim, 1000);
    println!("100 rows of 90 bytes: answers {answers:?} B");
    assert!(answers.iter().all(|bytes| *bytes <= MAX_DATAGRAM));

    // A follower that is known and asks once a second, at a source that holds little.
    let mut sim = Simulation::new(72, &[LOCAL_ZONE]);
    sim.publish_all(&entries(0..10, 10));
    for _ in 0..10 {
        sim.add_follower(LOCAL_ZONE);
    }
    sim.run(5000);
    let tape = |sim: &mut Simulation, n: usize| {
        let before = HELD.load(Ordering::Relaxed);
        let source = &mut sim.sources[0];
        let mut made = Vec::new();
        for i in 0..n {
            let name = format!("balancer-of-a-zone-{i}");
            let id = spanspur_membership::handshake::id_of(&name);
            let sessions = spanspur_membership::Sessions::new(id, 9, keys());
            let me = identity(&name, follower_address(100 + i), 9);
            let body = postcard::to_stdvec(&me).expect("encoded");
            let hello = sessions.seal_answer(100, &body).expect("fits");
            source.receive(sim.now, follower_address(100 + i), &hello);
            drop(source.take_outputs());
            made.push(i);
        }
        drop(made);
        (HELD.load(Ordering::Relaxed) - before) / n as i64
    };
    let each = tape(&mut sim, 1000);
    println!("{each} B for each follower at a source, its session with it");
    assert!(each < 1500, "{each}");
}
