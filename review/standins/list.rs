//! Case: three balancers share the watch of discovery (the duty `list`), and the one that holds it is cut off from
//! discovery, while the others could reach it.

use crate::client::{self, Opened};
use crate::discovery::Discovery;
use crate::platform::{self, Class};
use crate::proxy::Proxy;
use crate::record;
use crate::server::{Seen, StreamServer};
use crate::util;
use crate::Verdict;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CLASSES: [Class; 2] = [("opwek-live", 0.5, 2.0), ("saldo-live", 0.3, 1.8)];
const BALANCERS: usize = 3;
/// A change counts as told this long after it was made to a balancer that neither watches nor asks (`askWithin`).
const ASK_WITHIN: f64 = 10.0;
/// `drainGrace`, and the 50 ms by which each time limit is longer on sockets.
const GRACE: f64 = 0.3 + 0.05;
/// How long the holder is cut off. The list is out of reach for 5.8 to 25 s.
const CUT: f64 = 24.0;
/// How long after the cut a stream server begins to drain.
const DRAIN_AFTER: f64 = 0.5;

pub fn play(trouble: &str) -> Verdict {
    let trouble = trouble != "0";
    let seen = Arc::new(Mutex::new(Seen::default()));
    let servers: Vec<StreamServer> = (1..=4)
        .map(|n| StreamServer::start(&format!("s-{n}"), &seen))
        .collect();
    let listed: Vec<(String, SocketAddr)> =
        servers.iter().map(|s| (s.id.clone(), s.address)).collect();
    let discovery = Discovery::start(&listed);
    let proxies: Vec<Proxy> = (1..=BALANCERS)
        .map(|n| Proxy::start(&format!("n{n}"), discovery.address))
        .collect();
    let addresses: Vec<SocketAddr> = (0..BALANCERS).map(|_| util::free_address()).collect();
    let peers: Vec<SocketAddr> = (0..BALANCERS).map(|_| free_udp_address()).collect();
    for index in 0..BALANCERS {
        let name = format!("n{}", index + 1);
        let listen = addresses[index];
        let known = discovery.known();
        let config = platform::write_config(
            &name,
            listen,
            proxies[index].address,
            &known,
            &CLASSES,
            (index, BALANCERS),
        );
        let mut variables = platform::variables(&name, listen, proxies[index].address, &config);
        variables.push((
            "SPANSPUR_OPERATOR",
            write_operator_file(&name, index, &peers),
        ));
        platform::start(&name, &variables, None);
    }
    if !addresses
        .iter()
        .all(|address| platform::wait_for_pong(*address))
    {
        return Verdict::NotRun("a balancer was not ready within 30 s".into());
    }

    // Clients open a connection, stay a moment, and leave; each balancer gets about eight a second.
    let stop = Arc::new(AtomicBool::new(false));
    let sent_by: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let unanswered = Arc::new(Mutex::new(0));
    let mut threads = Vec::new();
    for (index, address) in addresses.iter().copied().enumerate() {
        for n in 0..8 {
            let (stop, sent_by, unanswered) = (stop.clone(), sent_by.clone(), unanswered.clone());
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = util::hex();
                    sent_by
                        .lock()
                        .expect("not poisoned")
                        .insert(id.clone(), index);
                    let name = format!("n{}/{n}", index + 1);
                    let group = format!("c:{}", util::hex());
                    let line =
                        client::first_line(&id, &util::hex(), &group, "opwek-live", 2000, false);
                    if let Opened::None(reason) = client::open(&name, address, &id, &line, 2000) {
                        record::line(format!("client {name}: {id} {reason}"));
                        *unanswered.lock().expect("not poisoned") += 1;
                    }
                    util::sleep(0.9 + (util::random() % 200) as f64 / 1000.0);
                }
            }));
        }
    }

    // The others have not asked for longer than `askWithin`, because the holder's word keeps them from it.
    let holder = |quiet: f64| {
        let last: Vec<f64> = proxies.iter().map(Proxy::last_call).collect();
        let asking: Vec<usize> = (0..BALANCERS)
            .filter(|n| record::now() - last[*n] < 3.0)
            .collect();
        let others_quiet =
            (0..BALANCERS).all(|n| asking.contains(&n) || record::now() - last[n] > quiet);
        (asking.len() == 1 && others_quiet).then(|| asking[0])
    };
    if !util::wait_until(50.0, || holder(ASK_WITHIN + 0.5).is_some()) {
        return Verdict::NotRun("no balancer watches discovery for all".into());
    }
    let Some(holder) = holder(ASK_WITHIN) else {
        return Verdict::NotRun("the holder changed".into());
    };
    record::line(format!("n{} watches discovery for all", holder + 1));

    if trouble {
        proxies[holder].set_cut(true);
    }
    util::sleep(DRAIN_AFTER);
    let changed_at = record::now();
    discovery.set_phase("s-1", "DRAINING");
    servers[0].drain();
    util::sleep(CUT - DRAIN_AFTER);
    let mended_at = record::now();
    if trouble {
        proxies[holder].set_cut(false);
    }
    util::sleep(2.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }

    let sent_by = sent_by.lock().expect("not poisoned");
    let told_at = changed_at + ASK_WITHIN;
    let mut late = 0;
    for arrival in &seen.lock().expect("not poisoned").arrivals {
        let Some(balancer) = sent_by.get(&arrival.id) else {
            continue;
        };
        let is_late = arrival.server == "s-1" && arrival.at > told_at + GRACE;
        // The holder itself could not reach discovery until the cut was mended.
        if is_late && *balancer != holder {
            late += 1;
            let after = arrival.at - changed_at;
            record::line(format!(
                "drain broken: n{} sent {} to s-1 {after:.3} s after the change, {:.3} s after it counts as told",
                balancer + 1,
                arrival.id,
                after - ASK_WITHIN
            ));
        }
    }
    for (index, proxy) in proxies.iter().enumerate() {
        record::line(format!(
            "n{}: last call to discovery at {:.3}",
            index + 1,
            proxy.last_call()
        ));
    }
    let unanswered = *unanswered.lock().expect("not poisoned");
    let text = format!(
        "change at {changed_at:.3}, cut until {mended_at:.3}: {late} requests sent to the draining server by the two other \
         balancers after the grace; {unanswered} requests without an answer"
    );
    record::line(&text);
    println!("{text}");
    match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("bound")
}

/// Writes the operator's file of a balancer, with the duties of the complete example (`deploy/operator.json`).
fn write_operator_file(name: &str, index: usize, peers: &[SocketAddr]) -> String {
    let seeds: Vec<String> = (0..peers.len())
        .filter(|n| *n != index)
        .map(|n| format!(r#""{}""#, peers[n]))
        .collect();
    let text = format!(
        r#"{{"cluster":{{"name":"{name}","listen":"{}","seeds":[{}],"voters":["n1","n2","n3"],"keys":["a secret that all three share"]}},
"duties":{{"list":{{"every_ms":4000,"max_age_ms":3000}}}}}}
"#,
        peers[index],
        seeds.join(",")
    );
    let path = platform::folder().join(format!("{name}-operator.json"));
    std::fs::write(&path, text).expect("an operator's file");
    path.display().to_string()
}
