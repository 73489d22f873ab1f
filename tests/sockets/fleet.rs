//! Many processes at once, as on the platform: none talks to another, and what all of them do adds up.

use crate::peers::*;
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

#[test]
fn nine_in_ten_restarted_at_once_are_ready_in_time() {
    const PROCESSES: usize = 20;
    /// Discovery takes one call at a time, for so long.
    const CALL: Duration = Duration::from_millis(40);
    /// After all have started it stays down for so long.
    const DOWN: Duration = Duration::from_secs(2);
    let (backend, discovery) = (
        echo_backend("s-1"),
        TcpListener::bind("127.0.0.1:0").expect("a port"),
    );
    let (at, entry) = (
        discovery.local_addr().expect("bound"),
        backend.endpoint("SERVING"),
    );
    let began = Instant::now();
    // Nothing is known from before: each needs an answer of its own.
    let processes: Vec<Balancer> = (0..PROCESSES)
        .map(|_| Balancer::spawn_with_settings(at, &[], &[]))
        .collect();
    std::thread::spawn(move || {
        let whole = http_response(&endpoint_list(1, true, &[entry]));
        for stream in discovery.incoming().flatten() {
            if began.elapsed() < DOWN {
                continue;
            }
            std::thread::sleep(CALL);
            let mut peer = Peer::new(stream);
            while peer.read_line().trim() != "" {}
            let _ = peer.stream().write_all(whole.as_bytes());
        }
    });
    let ready = |process: &Balancer| {
        let mut front = process.connect();
        front.send("PING\r\n");
        front.read_line() == "PONG\r\n" && began.elapsed() < Duration::from_secs(10)
    };
    let ready = std::thread::scope(|scope| {
        let asked: Vec<_> = processes
            .iter()
            .map(|one| scope.spawn(move || ready(one)))
            .collect();
        asked
            .into_iter()
            .map(|one| one.join().expect("asked"))
            .filter(|ready| *ready)
            .count()
    });
    assert!(ready * 10 >= PROCESSES * 9, "{ready} of {PROCESSES}");
}

#[test]
fn twenty_processes_together_do_not_push_a_cold_server_over() {
    const PROCESSES: usize = 20;
    const WARM_UP: f64 = 8.0;
    const COLD_FROM: f64 = 0.2;
    /// Ten connections of the load that is held usual fill a unit of size.
    const FILL: f64 = 100.0;
    let warm: Vec<Backend> = ["s-1", "s-2", "s-3"]
        .into_iter()
        .map(echo_backend)
        .collect();
    let cold = Backend::new("s-cold");
    // Who comes to it, and when.
    let (came, counted) = (Arc::new(Mutex::new(Vec::new())), cold.clone_listener());
    let seen = came.clone();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for stream in counted.incoming().flatten() {
            seen.lock().expect("whole").push(Instant::now());
            let mut peer = Peer::new(stream);
            peer.read_line();
            peer.send("UP r1\r\n");
            held.push(peer);
        }
    });
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("after 1970");
    let (started, began) = (
        format!(r#""up_since_ms":{}"#, unix.as_millis()),
        Instant::now(),
    );
    let mut known: Vec<String> = warm.iter().map(|one| one.endpoint("SERVING")).collect();
    known.push(
        cold.endpoint("SERVING")
            .replace(r#""up_since_ms":0"#, &started),
    );
    let known: Vec<String> = known
        .iter()
        .map(|one| one.replace(r#""size":1.0"#, r#""size":10.0"#))
        .collect();
    let rules = format!(
        r#""askWithin":1.0,"coldFrom":{COLD_FROM},"warmUp":{WARM_UP},"fall":1.0,"fallMultiple":3.0"#
    );
    let processes: Vec<Balancer> = (0..PROCESSES)
        .map(|n| {
            let fleet = format!(r#""balancers":{PROCESSES},"myNumber":{n}"#);
            let other = [
                LENIENT_MESSAGE_AIM,
                (r#""balancers":1"#, &fleet[..]),
                (r#""askWithin":1.0"#, &rules[..]),
            ];
            Balancer::spawn_with_settings(unresponsive_discovery(), &known, &other)
        })
        .collect();
    // Clients of 500 groups come to all processes in turn; each stays where it is put.
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
    let came = came.lock().expect("whole").clone();
    assert!(
        came.len() >= 10,
        "{} came in {:?}",
        came.len(),
        began.elapsed()
    );
    for (i, at) in came.iter().enumerate() {
        let age = at.duration_since(began).as_secs_f64();
        let window = came[i..]
            .iter()
            .take_while(|t| t.duration_since(*at).as_secs_f64() < 1.0)
            .count();
        // What the settings allow at the end of the window, and what the operators put down to chance.
        let warmth = COLD_FROM + (1.0 - COLD_FROM) * ((age + 1.0) / WARM_UP).min(1.0);
        let n = 3.0 * warmth * FILL / WARM_UP;
        let most = n + 2.0 * n.sqrt() + 2.0;
        assert!(window as f64 <= most, "{window} from {age}, {most} allowed");
    }
}
