//! Case: a balancer that follows control instances and has a control socket is replaced by a new process.

use crate::kit::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

const CONTROL_INSTANCES: usize = 3;
/// Seconds within which the new process has to say yes.
const YES_WITHIN: f64 = 6.0;

pub fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::new();
    let servers: Vec<Arc<Server>> = (1..=4).map(|n| Server::start(&record, &format!("s-{n}"))).collect();
    let discovery = Discovery::new(&record, &servers);
    let quoted = |texts: Vec<String>| texts.iter().map(|t| format!("\"{t}\"")).collect::<Vec<_>>().join(",");
    let names: Vec<String> = (1..=CONTROL_INSTANCES).map(|n| format!("c{n}")).collect();
    let cluster: Vec<SocketAddr> = names.iter().map(|_| free_udp_address()).collect();
    let sources: Vec<SocketAddr> = names.iter().map(|_| free_udp_address()).collect();
    let seeds = quoted(cluster.iter().map(|address| address.to_string()).collect());
    let voters = quoted(names.clone());
    let mut control_instances = Vec::new();
    for (n, name) in names.iter().enumerate() {
        let operator = format!(
            r#"{{"cluster":{{"name":"{name}","listen":"{}","seeds":[{seeds}],"voters":[{voters}],"keys":["a secret that all share"]}},
            "duties":{{"list":{{"every_ms":4000,"max_age_ms":3000}}}},
            "distribute":{{"listen":"{}","zone":"deventer","region":"nl","keys":["a secret of the followers"]}}}}"#,
            cluster[n], sources[n]
        );
        let view = discovery.view(name);
        let files = Files::write(&temporary, name, &settings(CONTROL_INSTANCES + 1, 192, &discovery.full_list()), &operator);
        control_instances.push(files.start(name, free_address(), view.address, None, None, ""));
    }
    let listed: Vec<String> = names
        .iter()
        .zip(&sources)
        .map(|(name, address)| format!(r#"{{"name":"{name}","address":"{address}","zone":"deventer","region":"nl"}}"#))
        .collect();
    let operator = format!(
        r#"{{"control":{{"socket":"{}"}},
        "follow":{{"name":"n1","listen":"127.0.0.1:0","zone":"deventer","region":"nl","max_age_ms":5000,
        "keys":["a secret of the followers"],"sources":[{}]}}}}"#,
        temporary.0.join("control").display(),
        listed.join(",")
    );
    let files = Files::write(&temporary, "n1", &settings(CONTROL_INSTANCES + 1, 192, &discovery.full_list()), &operator);
    let (listener, socket) = platform_socket();
    let listen = listener.local_addr().unwrap();
    let view = discovery.view("n1");
    let admin = [free_address(), free_address()];
    let mut old = files.start("n1", listen, view.address, Some(admin[0]), Some(socket), "");
    let ready = |address: SocketAddr| admin_call(address, "GET", "/_ready", "") == Some(200);
    if !wait_for(10.0, || ready(admin[0])) {
        record.line("the balancer is not ready");
        return 2;
    }
    let traffic = Traffic::start(&record, 10.0, move |_| Call::to(listen));
    let follows = wait_for(30.0, || old.logged("discovery polling suspended"));
    record.line(&format!("the balancer follows the control instances: {follows}"));
    let mut new = None;
    let mut broken = false;
    if has_trouble() {
        record.line("trouble: a new process is started beside the old one");
        let mut started = files.start("n1", listen, view.address, Some(admin[1]), Some(socket), "-new");
        let started_at = record.now();
        let mut yes = false;
        while record.now() < started_at + YES_WITHIN && !yes && !broken {
            pause(0.05);
            yes = ready(admin[1]);
            broken = started.has_exited();
        }
        record.line(&format!("{:.2} s later the new process says yes: {yes}, has exited: {broken}", record.now() - started_at));
        if broken {
            let status = started.child.wait().map(|status| status.to_string());
            record.line(&format!("the new process ended with {status:?}; its last log line: {}", started.last_line()));
        }
        if yes {
            old.signal("TERM");
        }
        new = Some(started);
        pause(5.0);
        broken |= new.as_mut().is_some_and(Balancer::has_exited) || !yes;
    }
    let outcomes = traffic.finish(5.0);
    let served = outcomes.iter().filter(|outcome| outcome.end == "client").count();
    record.line(&format!("usual clients: {} came, {served} served to their end; the old process has exited: {}", outcomes.len(), old.has_exited()));
    drop((new, control_instances));
    record.line(if broken { "BROKEN: crash (the new process does not serve)" } else { "held: no crash" });
    i32::from(broken)
}
