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
    let mut net = Net::new(71, &[HERE, NEAR]);
    net.publish_all(&entries(0..5000, 1 << 50));
    let one = net.follow(HERE);
    net.run(8000);
    assert!(net.same(one, 0));
    let sizes = |net: &mut Net, span: u64| {
        net.tape = Some(Vec::new());
        net.run(span);
        let tape = net.tape.take().expect("kept");
        let of = |ours: bool| {
            let mine = tape
                .iter()
                .filter(|(_, from, ..)| (*from == follower_at(one)) == ours);
            mine.map(|(.., bytes)| bytes.len()).collect::<Vec<usize>>()
        };
        (of(true), of(false))
    };
    let (asks, answers) = sizes(&mut net, 10_000);
    let (ask, answer) = (asks.iter().max(), answers.iter().max());
    let second = (asks.iter().sum::<usize>() + answers.iter().sum::<usize>()) / 10;
    println!(
        "nothing new: ask {ask:?} B, answer {answer:?} B, {second} B/s both ways, two sources"
    );
    assert_eq!((asks.len(), answers.len()), (20, 20));
    assert!(ask <= Some(&100) && answer <= Some(&80) && second < 400);
    net.publish_all(&[entry(1, (1 << 50) + 1)]);
    let (_, answers) = sizes(&mut net, 1000);
    println!("one row of 90 bytes: answers {answers:?} B");
    net.publish_all(&entries(0..100, (1 << 50) + 2));
    let (_, answers) = sizes(&mut net, 1000);
    println!("100 rows of 90 bytes: answers {answers:?} B");
    assert!(answers.iter().all(|bytes| *bytes <= MAX_DATAGRAM));

    // A follower that is known and asks once a second, at a source that holds little.
    let mut net = Net::new(72, &[HERE]);
    net.publish_all(&entries(0..10, 10));
    for _ in 0..10 {
        net.follow(HERE);
    }
    net.run(5000);
    let tape = |net: &mut Net, n: usize| {
        let before = HELD.load(Ordering::Relaxed);
        let source = &mut net.sources[0];
        let mut made = Vec::new();
        for i in 0..n {
            let name = format!("balancer-of-a-zone-{i}");
            let id = spanspur_membership::handshake::id_of(&name);
            let sessions = spanspur_membership::Sessions::new(id, 9, keys());
            let me = identity(&name, follower_at(100 + i), 9);
            let body = postcard::to_stdvec(&me).expect("encoded");
            let hello = sessions.seal_answer(100, &body).expect("fits");
            source.receive(net.now, follower_at(100 + i), &hello);
            drop(source.take_outputs());
            made.push(i);
        }
        drop(made);
        (HELD.load(Ordering::Relaxed) - before) / n as i64
    };
    let each = tape(&mut net, 1000);
    println!("{each} B for each follower at a source, its session with it");
    assert!(each < 1500, "{each}");
}
