//! Small helpers.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static STATE: AtomicU64 = AtomicU64::new(0);

/// A random number. Ids have to be new for every connection, so the sequence starts from the time.
pub fn random() -> u64 {
    let seed = || {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        unix.map_or(1, |unix| unix.as_nanos() as u64) | 1
    };
    let step = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mut x = step.wrapping_add(*SEED.get_or_init(seed));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

static SEED: std::sync::OnceLock<u64> = std::sync::OnceLock::new();

pub fn hex() -> String {
    format!("{:016x}", random())
}

/// An address on loopback whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Waits until the condition holds; `false` if it does not within this many seconds.
pub fn wait_until(seconds: f64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(0.01);
    }
    condition()
}
