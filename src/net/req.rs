//! A req: a client's connection from its first line to its one final answer.

use super::check;
use super::fetch::{Backend, Kind, fetch};
use super::host::{Host, Order};
use super::line::{Lines, Opening};
use super::relay::{relay, say_last};
use spanspur::api::{Ended, Event, Outcome, ServerId, Time};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// A client that says nothing is let go after this.
const FIRST_LINE: Duration = Duration::from_secs(10);
/// The client's wait runs from its sending: the line's way here and the answer's way back come off.
const MARGIN: Time = 0.02;
/// How often a start that is not complete is looked at again.
const NOT_READY: Duration = Duration::from_millis(20);
/// Pause before an open connection is asked for again at its own backend.
const AGAIN: Duration = Duration::from_millis(100);

/// Serves one connection of a client, to its end.
pub async fn serve(host: Rc<Host>, client: TcpStream) {
    let mut lines = Lines::default();
    // Lines are short and waited for: none is held back for more to come.
    let _ = client.set_nodelay(true);
    loop {
        let line = match timeout(FIRST_LINE, lines.next(&client)).await {
            Ok(Ok(Some(line))) => line,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::Other => {
                return refuse_line(&client, &e.to_string()).await;
            }
            _ => return,
        };
        if line == "PING" {
            // The front sends clients from the answer on, so it has to wait until a server is known.
            while !host.ready() {
                sleep(NOT_READY).await;
            }
            if client.try_write(b"PONG\r\n").is_err() {
                return;
            }
            continue;
        }
        let node = host.node();
        return match Opening::parse(&line, &node.classes, node.groups) {
            Ok(opening) => open(host, client, lines, opening).await,
            Err(what) => refuse_line(&client, what).await,
        };
    }
}

/// A first line that cannot be read costs this connection and nothing else.
async fn refuse_line(client: &TcpStream, what: &str) {
    check::count("a client's first line cannot be read");
    log::debug!("first line: {what}");
    say_last(client, b"ERR\r\n").await;
}

/// A synthetic answer: come again, in so many milliseconds if there are any.
pub async fn refuse(client: &TcpStream, ms: u64) {
    let line = if ms > 0 {
        format!("BUSY {ms}\r\n")
    } else {
        "BUSY\r\n".to_owned()
    };
    say_last(client, line.as_bytes()).await;
}

async fn open(host: Rc<Host>, client: TcpStream, mut lines: Lines, mut opening: Opening) {
    let request = &mut opening.request;
    request.due = host.now() + opening.wait - MARGIN;
    let (id, due) = (request.id, request.due);
    let Some((_ticket, mut orders)) = host.enter(id) else {
        return refuse_line(&client, "the id is in use").await;
    };
    if let Some(server) = opening.at {
        let backend = tokio::select! {
            backend = reopen(&host, &opening, server) => backend,
            () = client_ends(&mut lines, &client) => return,
        };
        let Some(backend) = backend else {
            return say_last(&client, b"ERR\r\n").await;
        };
        host.event(Event::Open(opening.request, server));
        host.stands(id);
        return relay(host, (id, server, 0), client, lines.rest(), backend, orders).await;
    }
    host.event(Event::Request(opening.request));
    let mut attempt = 0;
    // Nothing here waits past the deadline; if something does, the client is still owed its answer.
    let mut overdue = pin!(sleep_until(host.instant(due + MARGIN)));
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            () = client_ends(&mut lines, &client) => return host.event(Event::Gone(id)),
            () = &mut overdue => {
                check::holds(false, "the module answers before the deadline");
                host.event(Event::Gone(id));
                Some(Order::Fail)
            }
        };
        let (server, until) = match order {
            Some(Order::Send(server, until)) => (server, until),
            Some(Order::Refuse(ms)) => return refuse(&client, ms).await,
            Some(Order::Fail) => return say_last(&client, b"ERR\r\n").await,
            // What has been called off or moved is over already.
            Some(Order::Cancel(_) | Order::Move) => continue,
            None => return,
        };
        // Leaving this select closes the attempt's connection, whatever it was doing.
        let ended = tokio::select! {
            ended = fetch(&host, server, Kind::New, until.min(due), |ms| opening.for_backend(ms)) => ended,
            () = client_ends(&mut lines, &client) => return host.event(Event::Gone(id)),
            order = called_off(&mut orders, attempt) => match order {
                Some(Order::Refuse(ms)) => {
                    host.event(Event::Gone(id));
                    return refuse(&client, ms).await;
                }
                _ => Err(Outcome::Cancelled),
            },
        };
        match ended {
            Ok(backend) => {
                log::debug!("{id:?} stands at {server:?}");
                host.event(Event::Standing(id, server));
                host.stands(id);
                return relay(
                    host,
                    (id, server, attempt),
                    client,
                    lines.rest(),
                    backend,
                    orders,
                )
                .await;
            }
            Err(outcome) => {
                log::debug!("{id:?} attempt {attempt} at {server:?}: {outcome:?}");
                host.event(Event::Ended(Ended {
                    id,
                    attempt,
                    server,
                    outcome,
                    settled: false,
                }));
                attempt += 1;
            }
        }
    }
}

/// Waits for an order that ends the attempt that is out: it is called off, or the process leaves.
async fn called_off(
    orders: &mut tokio::sync::mpsc::UnboundedReceiver<Order>,
    attempt: u32,
) -> Option<Order> {
    loop {
        match orders.recv().await {
            Some(Order::Cancel(n)) if n != attempt => {}
            Some(Order::Send(..)) => {
                // Two attempts of one request are never out at once.
                check::holds(false, "an attempt is sent while one is out");
            }
            Some(Order::Move) => {}
            order => return order,
        }
    }
}

/// Waits until the client ends or breaks its side, or sends more than it may before its turn.
async fn client_ends(lines: &mut Lines, client: &TcpStream) {
    while let Ok(true) = lines.fill(client).await {}
}

/// Opens a connection again at the backend that it is open at: no decision, so no outcome for the module.
async fn reopen(host: &Host, opening: &Opening, server: ServerId) -> Option<Backend> {
    let due = opening.request.due;
    loop {
        match fetch(host, server, Kind::Again, due, |ms| opening.for_backend(ms)).await {
            Ok(backend) => return Some(backend),
            Err(outcome) => log::warn!(
                "{:?} is not open at {server:?}: {outcome:?}",
                opening.request.id
            ),
        }
        if host.now() >= due {
            return None;
        }
        sleep(AGAIN).await;
    }
}
