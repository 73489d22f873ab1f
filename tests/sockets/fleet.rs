//! Combined behaviour of many balancer processes that do not communicate with each other.

use crate::peers::*;
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

#[test]
fn nine_in_ten_processes_started_at_once_are_ready_in_time() {
    const PROCESSES: usize = 20;
    /// Time per request of discovery, which handles one request at a time.
    const REQUEST_TIME: Duration = Duration::from_millis(40);
    /// Time after the start for which discovery is down.
    const DOWNTIME: Duration = Duration::from_secs(2);
    let (backend, discovery) = (
        echo_backend("s-1"),
        TcpListener::bind("127.0.0.1:0").expect("a port"),
    );
    let (address, endpoint) = (
        discovery.local_addr().expect("bound"),
        backend.endpoint("SERVING"),
    );
    let began = Instant::now();
    // Without cached endpoints, each process needs a response from discovery.
    let processes: Vec<Balancer> = (0..PROCESSES)
        .map(|_| Balancer::spawn_with_settings(address, &[], &[]))
        .collect();
    std::thread::spawn(move || {
        let response = http_response(&endpoint_list(1, true, &[endpoint]));
        for stream in discovery.incoming().flatten() {
            if began.elapsed() < DOWNTIME {
                continue;
            }
            std::thread::sleep(REQUEST_TIME);
            let mut peer = Peer::new(stream);
            while peer.read_line().trim() != "" {}
            let _ = peer.stream().write_all(response.as_bytes());
        }
    });
    let is_ready = |process: &Balancer| {
        let mut front = process.connect();
        front.send("PING\r\n");
        front.read_line() == "PONG\r\n" && began.elapsed() < Duration::from_secs(10)
    };
    let ready = std::thread::scope(|scope| {
        let threads: Vec<_> = processes
            .iter()
            .map(|process| scope.spawn(move || is_ready(process)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .filter(|ready| *ready)
            .count()
    });
    assert!(ready * 10 >= PROCESSES * 9, "{ready} of {PROCESSES}");
}

#[test]
fn twenty_processes_together_do_not_overload_a_cold_server() {
    const PROCESSES: usize = 20;
    /// Slow start window, in seconds.
    const SLOW_START_WINDOW: f64 = 8.0;
    /// Fraction of its capacity that a server has at its start.
    const COLD_CAPACITY_SHARE: f64 = 0.2;
    /// Capacity of a server of size 10, in connections of the default load: ten per unit of size.
    const CAPACITY: f64 = 100.0;
    let warm: Vec<Backend> = ["s-1", "s-2", "s-3"]
        .into_iter()
        .map(echo_backend)
        .collect();
    let cold = Backend::new("s-cold");
    // Times at which connections arrive at the cold server.
    let (arrivals, listener) = (Arc::new(Mutex::new(Vec::new())), cold.clone_listener());
    let recorded = arrivals.clone();
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        for stream in listener.incoming().flatten() {
            recorded.lock().expect("not poisoned").push(Instant::now());
            let mut peer = Peer::new(stream);
            peer.read_line();
            peer.send("UP r1\r\n");
            connections.push(peer);
        }
    });
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("after 1970");
    let (started, began) = (
        format!(r#""up_since_ms":{}"#, unix.as_millis()),
        Instant::now(),
    );
    let mut endpoints: Vec<String> = warm.iter().map(|one| one.endpoint("SERVING")).collect();
    endpoints.push(
        cold.endpoint("SERVING")
            .replace(r#""up_since_ms":0"#, &started),
    );
    let endpoints: Vec<String> = endpoints
        .iter()
        .map(|one| one.replace(r#""size":1.0"#, r#""size":10.0"#))
        .collect();
    let rules = format!(
        r#""askWithin":1.0,"coldFrom":{COLD_CAPACITY_SHARE},"warmUp":{SLOW_START_WINDOW},"fall":1.0,"fallMultiple":3.0"#
    );
    let processes: Vec<Balancer> = (0..PROCESSES)
        .map(|n| {
            let fleet = format!(r#""balancers":{PROCESSES},"myNumber":{n}"#);
            let other = [
                LENIENT_MESSAGE_AIM,
                (r#""balancers":1"#, &fleet[..]),
                (r#""askWithin":1.0"#, &rules[..]),
            ];
            Balancer::spawn_with_settings(unresponsive_discovery(), &endpoints, &other)
        })
        .collect();
    // Clients of 500 groups connect to the processes in turn and stay connected.
    let mut clients = Vec::new();
    for n in 0..1200_u64 {
        let mut client = processes[n as usize % PROCESSES].connect();
        client.send(&format!(
            "OPEN {n:016x} 7f3a c=live,d=1000,g={}\r\n",
            n % 500
        ));
        assert_eq!(client.read_line(), "UP r1\r\n");
        clients.push(client);
        std::thread::sleep(Duration::from_millis(3));
    }
    let arrivals = arrivals.lock().expect("not poisoned").clone();
    assert!(
        arrivals.len() >= 10,
        "{} arrivals in {:?}",
        arrivals.len(),
        began.elapsed()
    );
    for (i, arrival) in arrivals.iter().enumerate() {
        let age = arrival.duration_since(began).as_secs_f64();
        let window = arrivals[i..]
            .iter()
            .take_while(|t| t.duration_since(*arrival).as_secs_f64() < 1.0)
            .count();
        // The arrivals that the settings allow at the end of the one-second window, plus a tolerance for randomness.
        let share = COLD_CAPACITY_SHARE
            + (1.0 - COLD_CAPACITY_SHARE) * ((age + 1.0) / SLOW_START_WINDOW).min(1.0);
        let n = 3.0 * share * CAPACITY / SLOW_START_WINDOW;
        let limit = n + 2.0 * n.sqrt() + 2.0;
        assert!(
            window as f64 <= limit,
            "{window} from {age}, {limit} allowed"
        );
    }
}
