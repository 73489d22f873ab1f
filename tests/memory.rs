//! Memory of the balancer: bytes for each established connection, and none for finished requests.

mod common;
use common::*;
use spanspur::api::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct Counting;

static LIVE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes to the system's allocator unchanged; only sizes are counted beside it.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

#[test]
fn memory_is_bounded_for_each_established_connection_and_freed_with_each_request() {
    let mut node = TestBalancer::new(config());
    let list: Vec<Endpoint> = (0..20).map(endpoint).collect();
    node.update_endpoints(0.0, UpdateKind::Full, &list);
    let before = LIVE.load(Ordering::Relaxed);
    let count = 10_000;
    let mut open = Vec::with_capacity(count);
    let own = LIVE.load(Ordering::Relaxed) - before;
    for _ in 0..count {
        let id = node.next_id();
        let to = node
            .request(1.0, Request::new(id, 0, 3.0))
            .expect("a server");
        node.handle(1.1, Event::Established { id, server: to });
        open.push((id, to));
    }
    let each = (LIVE.load(Ordering::Relaxed) - before - own) / count;
    assert!(each < 600, "{each} bytes for each established connection");
    // Half end by an outcome, half by their client; then a thousand that were never established, queued ones among them.
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
        node.handle(2.0, end);
    }
    drop(open);
    for i in 0..1000 {
        let now = 3.0 + f64::from(i) * 0.01;
        let id = node.next_id();
        let mut attempt = 0;
        let mut to = node.request(now, Request::new(id, 0, now + 2.0));
        while let Some(server) = to {
            to = attempted_server(&node.end_attempt(now, id, attempt, server, Outcome::Rejected));
            attempt += 1;
        }
        node.handle(now, Event::ClientDisconnected(id));
    }
    node.handle(20.0, Event::Timer(2));
    let left = LIVE.load(Ordering::Relaxed).saturating_sub(before);
    // The queue and the trees keep some spare capacity; nothing grows with the requests served.
    assert!(
        left < 20_000,
        "{left} bytes are left after {count} requests"
    );
}
