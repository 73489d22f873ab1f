//! Case: the instance that watches discovery for a cluster is cut off from discovery.

use crate::kit::*;
use std::path::Path;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;

const INSTANCES: usize = 3;
/// Seconds for which the holder does not reach discovery.
const CUT: f64 = 24.0;
/// Seconds from the cut to the drain.
const DRAIN_AFTER: f64 = 1.0;
/// `rules.askWithin` of the settings.
const ASK_WITHIN: f64 = 10.0;

pub fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::new();
    let servers: Vec<Arc<Server>> = (1..=4).map(|n| Server::start(&record, &format!("s-{n}"))).collect();
    let discovery = Discovery::new(&record, &servers);
    let names: Vec<String> = (1..=INSTANCES).map(|n| format!("n{n}")).collect();
    let views: Vec<Arc<View>> = names.iter().map(|name| discovery.view(name)).collect();
    let listens: Vec<_> = names.iter().map(|_| free_address()).collect();
    let cluster: Vec<_> = names.iter().map(|_| free_udp_address()).collect();
    let mut balancers = Vec::new();
    for (n, name) in names.iter().enumerate() {
        let tmpdir = temporary.0.join(name);
        std::fs::create_dir_all(&tmpdir).unwrap();
        let config = tmpdir.join("config.json");
        std::fs::write(&config, settings(INSTANCES, 192, &discovery.full_list())).unwrap();
        let operator = tmpdir.join("operator.json");
        let quoted = |texts: Vec<String>| texts.iter().map(|t| format!("\"{t}\"")).collect::<Vec<_>>().join(",");
        let seeds = quoted(cluster.iter().map(|a| a.to_string()).collect());
        let voters = quoted(names.clone());
        let text = format!(
            r#"{{"cluster":{{"name":"{name}","listen":"{}","seeds":[{seeds}],"voters":[{voters}],"keys":["a secret that all share"]}},
                "duties":{{"list":{{"every_ms":4000,"max_age_ms":3000}}}}}}"#,
            cluster[n]
        );
        std::fs::write(&operator, text).unwrap();
        let start = Start {
            name,
            config: &config,
            listen: listens[n],
            discovery: views[n].address,
            admin: None,
            operator_file: Some(&operator),
            socket: None,
            tmpdir: &tmpdir,
            log: tmpdir.join("log"),
        };
        balancers.push(start.start());
    }
    if !wait_for(10.0, || listens.iter().all(|address| answers_ping(*address))) {
        record.line("the balancers are not ready");
        return 2;
    }
    // The holder is the only one that still asks discovery, for longer than a period of the duty: the first holder may
    // hand the duty over to another instance.
    let (mut holder, mut candidate) = (None, None);
    for _ in 0..10 {
        let before: Vec<usize> = views.iter().map(|view| view.calls.load(SeqCst)).collect();
        pause(3.5);
        let asking: Vec<usize> = (0..INSTANCES).filter(|n| views[*n].calls.load(SeqCst) > before[*n]).collect();
        let only = match asking[..] {
            [one] => Some(one),
            _ => None,
        };
        if only.is_some() && only == candidate {
            holder = only;
            break;
        }
        candidate = only;
    }
    let Some(holder) = holder else {
        record.line("no single instance watches discovery");
        return 2;
    };
    record.line(&format!("{} watches discovery for all", names[holder]));
    let others: Vec<usize> = (0..INSTANCES).filter(|n| *n != holder).collect();

    if has_trouble() {
        record.line(&format!("trouble: {} does not reach discovery for {CUT} s", names[holder]));
        views[holder].set(Reach::Down);
    }
    let cut_at = record.now();
    pause(DRAIN_AFTER);
    let drained = servers[0].clone();
    let revision = discovery.list(&drained, "DRAINING", 0);
    let drained_at = record.now();
    drained.draining.store(true, SeqCst);
    let targets: Vec<_> = others.iter().map(|n| listens[*n]).collect();
    let traffic = Traffic::start(&record, 20.0, move |n| Call::to(targets[n % targets.len()]));
    pause(cut_at + CUT - record.now());
    traffic.stop();
    views[holder].set(Reach::Up);
    record.line("the cut is over");
    let outcomes = traffic.finish(6.0);
    let answered = outcomes.iter().filter(|outcome| outcome.answer.is_some()).count();
    record.line(&format!("{} requests through the other instances, {answered} answered", outcomes.len()));
    for n in &others {
        record.line(&format!("{}: discovery wrote revision {revision} at {:?}", names[*n], views[*n].told_at(revision)));
    }
    // An instance that has neither watched nor asked counts as told what was listed so long ago.
    let sent = drained.sent.lock().unwrap();
    let late = |after: f64| sent.iter().filter(|sent| sent.at > drained_at + after).count();
    record.line(&format!(
        "sent to the draining {}: {} in all, {} later than 6 s, {} later than {ASK_WITHIN} s after the drain, each with {DRAIN_GRACE} s of grace",
        drained.id,
        late(0.0),
        late(6.0 + DRAIN_GRACE),
        late(ASK_WITHIN + DRAIN_GRACE)
    ));
    if answered == 0 {
        return 2;
    }
    let broken = late(ASK_WITHIN + DRAIN_GRACE) > 0;
    record.line(if broken { "BROKEN: drain" } else { "held: drain" });
    i32::from(broken)
}
