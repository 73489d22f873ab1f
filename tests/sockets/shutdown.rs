//! Graceful shutdown: what every client gets before the process exits.

use crate::peers::*;
use std::time::{Duration, Instant};

/// Number of connections established before the shutdown.
const CONNECTIONS: u64 = 60;

/// Guards against a planned restart that exits before it has migrated all connections, because the longest client wait,
/// and with it the time until SIGKILL, is short.
#[test]
fn with_short_waits_every_connection_is_migrated_before_the_exit() {
    for longest_wait in [0.9, 0.3] {
        let backend = echo_backend("s-1");
        let hard_limit = format!(r#""hardLimit":{longest_wait:?}"#);
        let balancer = Balancer::start_with_settings(
            unresponsive_discovery(),
            &[backend.endpoint("SERVING")],
            &[
                (r#""hardLimit":2.0"#, &hard_limit),
                (r#""onTime":0.5"#, r#""onTime":0.2"#),
            ],
        );
        let open = |id| {
            let mut client = balancer.open(id, 300);
            assert_eq!(client.read_line(), "UP r1\r\n");
            client
        };
        let clients: Vec<Peer> = (0..CONNECTIONS).map(open).collect();
        let terminated = Instant::now();
        balancer.signal("-TERM");
        let last_lines = clients.into_iter().map(|mut client| client.read_line());
        let migrated = last_lines.filter(|line| line == "MOVE\r\n").count();
        assert_eq!(
            migrated as u64, CONNECTIONS,
            "longest wait {longest_wait} s"
        );
        assert_eq!(balancer.wait_for_exit(), Some(0));
        let kill = Duration::from_secs_f64(longest_wait + 0.7);
        let exited_after = terminated.elapsed();
        assert!(
            exited_after < kill,
            "longest wait {longest_wait} s: {exited_after:?}"
        );
    }
}
