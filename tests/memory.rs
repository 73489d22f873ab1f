//! Memory of the balancer: limited per established connection, and released when requests end.

mod common;
use common::*;
use spanspur::api::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct CountingAllocator;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator; only the sizes are counted in addition.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn memory_is_bounded_per_established_connection_and_released_when_requests_end() {
    let mut balancer = TestBalancer::new(config());
    let list: Vec<Endpoint> = (0..20).map(endpoint).collect();
    balancer.update_endpoints(0.0, UpdateKind::Full, &list);
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let count = 10_000;
    let mut open = Vec::with_capacity(count);
    let test_bytes = LIVE_BYTES.load(Ordering::Relaxed) - before;
    for _ in 0..count {
        let id = balancer.next_id();
        let to = balancer
            .request(1.0, Request::new(id, 0, 3.0))
            .expect("a server");
        balancer.handle(1.1, Event::Established { id, server: to });
        open.push((id, to));
    }
    let per_connection = (LIVE_BYTES.load(Ordering::Relaxed) - before - test_bytes) / count;
    assert!(
        per_connection < 600,
        "{per_connection} bytes per established connection"
    );
    // Half of the connections end with an outcome, half by a disconnect of the client. A thousand requests follow that
    // are never established, some of them queued.
    for (i, (id, server)) in open.iter().copied().enumerate() {
        let ended = AttemptEnded {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            is_final: true,
        };
        let end = if i % 2 == 0 {
            Event::AttemptEnded(ended)
        } else {
            Event::ClientDisconnected(id)
        };
        balancer.handle(2.0, end);
    }
    drop(open);
    for i in 0..1000 {
        let now = 3.0 + f64::from(i) * 0.01;
        let id = balancer.next_id();
        let mut attempt = 0;
        let mut to = balancer.request(now, Request::new(id, 0, now + 2.0));
        while let Some(server) = to {
            to = attempted_server(&balancer.end_attempt(
                now,
                id,
                attempt,
                server,
                Outcome::Rejected,
            ));
            attempt += 1;
        }
        balancer.handle(now, Event::ClientDisconnected(id));
    }
    // The timer of the queue fires.
    balancer.handle(20.0, Event::Timer(2));
    let left = LIVE_BYTES.load(Ordering::Relaxed).saturating_sub(before);
    // The queue and the trees keep some spare capacity, but nothing grows with the number of requests served.
    assert!(
        left < 20_000,
        "{left} bytes are left allocated after {count} requests"
    );
}
