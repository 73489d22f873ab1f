//! The control socket: a Unix socket that only its owner may open. A line is asked, a line of JSON comes back.

use crate::driver::Handle;
use crate::node::Member;
use serde::{Deserialize, Serialize};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The longest question, and how long one may take.
const MAX_QUESTION: u64 = 1024;
const PATIENCE: Duration = Duration::from_secs(2);
/// Who asks at the same time; more wait.
const MAX_ASKING: usize = 8;

/// A duty as it stands, for people and programs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DutyRow {
    /// Its name.
    pub duty: String,
    /// Its period.
    pub every_ms: u64,
    /// Who has it, as far as the instance asked knows.
    pub holder: Option<String>,
    /// The last period known there.
    pub period: u64,
    /// How long ago that was.
    pub since_ms: Option<u64>,
    /// Done by the instance that was asked.
    pub done: u64,
    /// Periods that passed undone, as far as that instance found out.
    pub missed: u64,
    /// That instance should do it and finds no majority.
    pub minority: bool,
}

/// What `duties` answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DutiesAnswer {
    /// Every duty.
    pub duties: Vec<DutyRow>,
    /// How long this instance still abstains from votes on the slowest of them.
    pub abstains_ms: u64,
}

/// What `members` answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersAnswer {
    /// Everyone.
    pub members: Vec<Member>,
    /// What was dropped or refused, and what went over the socket.
    pub counters: std::collections::BTreeMap<String, u64>,
}

/// Answers a question with a line of JSON, see [`to_json`]; `None` where it is none.
pub type Answers = Rc<dyn Fn(&str) -> Option<String>>;

/// What an instance of a cluster answers.
pub fn answers(handle: Handle) -> Answers {
    Rc::new(move |question| match question {
        "duties" => Some(to_json(&duties(&handle))),
        "members" => Some(to_json(&members(&handle))),
        _ => None,
    })
}

/// Opens the socket and answers on the current `LocalSet`. A socket that a process before left is replaced.
pub fn serve(answers: Answers, path: &Path) -> io::Result<()> {
    match std::os::unix::net::UnixStream::connect(path) {
        Ok(_) => {
            return Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                "another process answers there",
            ));
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_ASKING));
    spawn_local(async move {
        loop {
            let Ok(place) = room.clone().acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((asking, _)) => {
                    let answers = answers.clone();
                    spawn_local(async move {
                        let _ = timeout(PATIENCE, answer(answers, asking)).await;
                        drop(place);
                    });
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    });
    Ok(())
}

async fn answer(answers: Answers, asking: UnixStream) -> io::Result<()> {
    let (read, mut write) = asking.into_split();
    let mut question = String::new();
    BufReader::new(read.take(MAX_QUESTION))
        .read_line(&mut question)
        .await?;
    let question = question.trim();
    let nothing =
        || to_json(&serde_json::json!({"error": format!("'{question}' is no question here")}));
    let answer = answers(question).unwrap_or_else(nothing);
    write.write_all(answer.as_bytes()).await
}

/// An answer as its line.
pub fn to_json(answer: &impl Serialize) -> String {
    serde_json::to_string(answer).unwrap_or_default() + "\n"
}

/// What is known of the duties.
pub fn duties(handle: &Handle) -> DutiesAnswer {
    handle.with(|node, now| {
        let status = node.status(now);
        let slowest = status.iter().map(|(_, s)| s.interval).max();
        let rows = status.into_iter().map(|(duty, s)| DutyRow {
            duty,
            every_ms: s.interval,
            holder: s.holder.map(|id| match node.instance_name(id) {
                Some(name) => name.to_owned(),
                None => format!("{:016x}", id.0),
            }),
            period: s.term,
            since_ms: s.term_age,
            done: s.completed,
            missed: s.missed,
            minority: s.is_quorum_lost,
        });
        DutiesAnswer {
            duties: rows.collect(),
            abstains_ms: slowest.map_or(0, |every| node.abstains(now, every)),
        }
    })
}

/// What is known of the members.
pub fn members(handle: &Handle) -> MembersAnswer {
    let (traffic, dropped) = (handle.traffic(), handle.news_dropped());
    handle.with(|node, _| {
        let mut counters: std::collections::BTreeMap<String, u64> = node
            .counters()
            .into_iter()
            .map(|(k, v)| (k.to_owned(), v))
            .collect();
        for (name, value) in traffic
            .named()
            .into_iter()
            .chain([("news-dropped", dropped)])
        {
            counters.insert(name.into(), value);
        }
        MembersAnswer {
            members: node.members(),
            counters,
        }
    })
}

/// Asks a running process.
pub fn ask(path: &Path, question: &str) -> io::Result<String> {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::os::unix::net::UnixStream::connect(path)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{question}\n").as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer)
}
