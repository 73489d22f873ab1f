//! The faults of a file. `spanspur check` prints their texts, and a reload logs them.

use crate::validation::{
    MAX_NAME_BYTES, MAX_PROBE_LINE_BYTES, MAX_RATE, MAX_SOURCES, MAX_VOTERS, MIN_FOLLOWED_AGE_MS,
    MIN_KEY_CHARACTERS, MIN_LIST_AGE_MS, MIN_SOURCES, MIN_VOTERS, TAKEOVER_MARGIN_MS,
};
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// All faults of a file, one or more; displayed in one line.
#[derive(Debug)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// `Ok` where there are none.
    pub(crate) fn none_or(faults: Vec<Fault>) -> Result<(), Self> {
        match faults.is_empty() {
            true => Ok(()),
            false => Err(Self(faults)),
        }
    }

    /// The fault of the file as a whole, which cannot be read far enough to find others.
    pub(crate) fn whole_file(problem: Problem) -> Self {
        Self(vec![Fault {
            place: String::new(),
            problem,
        }])
    }

    /// Each fault, in the order of the file's sections.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A fault of the file.
#[derive(Debug)]
pub struct Fault {
    /// Where it is, as `cluster.keys[1]`; empty for the whole file.
    pub place: String,
    /// What is wrong there.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place.is_empty() {
            true => write!(f, "{}", self.problem),
            false => write!(f, "{}: {}", self.place, self.problem),
        }
    }
}

impl std::error::Error for Fault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.problem)
    }
}

/// What is wrong at a place of the file.
#[derive(Debug, Error)]
pub enum Problem {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The schema that is made from the types is not valid.
    #[error(transparent)]
    InvalidSchema(Box<jsonschema::ValidationError<'static>>),
    /// The schema does not allow the value. The text is kept in place of its source, which would hold secrets.
    #[error("{0}")]
    SchemaViolation(String),
    /// A value is allowed by the schema and is none of its type, as a socket address.
    #[error(transparent)]
    Malformed(serde_json::Error),
    /// A follower is in a cluster.
    #[error("excludes the section 'cluster': an instance of the cluster has its news already")]
    ExcludesCluster,
    /// A section needs a cluster.
    #[error("needs the section 'cluster'")]
    NeedsCluster,
    /// There are duties without a cluster.
    #[error("duties need the section 'cluster'")]
    DutiesNeedCluster,
    /// The endpoint list is distributed and nobody keeps it.
    #[error("needs 'duties.list': there is nothing to distribute without it")]
    NeedsListDuty,
    /// A name is empty, too long or has white space.
    #[error("'{name}' is no name: 1 to {MAX_NAME_BYTES} bytes without spaces")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A name stands twice in a list.
    #[error("'{name}' is named twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// An address stands twice in a list.
    #[error("{address} is named twice")]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A seed stands twice.
    #[error("an address is named twice")]
    DuplicateSeed,
    /// The number of voters is even, too small or too large.
    #[error("{count} voters: an odd number from {MIN_VOTERS} to {max} is needed", max = MAX_VOTERS - 1)]
    VoterCount {
        /// The number of voters.
        count: usize,
    },
    /// There are no keys, or too many.
    #[error("{count} keys: one, or two while one is replaced")]
    KeyCount {
        /// The number of keys.
        count: usize,
    },
    /// A key is too short to be a secret.
    #[error("shorter than {MIN_KEY_CHARACTERS} characters")]
    ShortKey,
    /// There are too few sources to follow, or too many.
    #[error("{count} sources: {MIN_SOURCES} to {MAX_SOURCES} are needed")]
    SourceCount {
        /// The number of sources.
        count: usize,
    },
    /// Two sections listen at one address.
    #[error("is taken by 'cluster.listen'")]
    AddressInUse,
    /// A port that others must know is left to the system.
    #[error("port 0 tells the {peers} nothing")]
    UnknownPort {
        /// Who has to know it.
        peers: &'static str,
    },
    /// An address that others must reach is unspecified.
    #[error("the others are told this address: it must be one that they reach")]
    UnreachableAddress,
    /// An address has no host or no port.
    #[error("{address} is no place to send to")]
    InvalidDestination {
        /// The address.
        address: SocketAddr,
    },
    /// The probe interval of the cluster is too short for its answers.
    #[error("must be more than twice answer_ms, which is more than 0")]
    ProbeIntervalTooShort,
    /// A time is 0.
    #[error("must be more than 0")]
    NotPositive,
    /// The period of a duty is shorter than a take-over.
    #[error(
        "{period_ms} ms is less than the {takeover_ms} ms that a take-over takes (3 probe_ms + suspicion_ms + \
         {TAKEOVER_MARGIN_MS}): with an instance that dies more than one period would be missed"
    )]
    PeriodTooShort {
        /// The period.
        period_ms: u64,
        /// How long a take-over takes.
        takeover_ms: u64,
    },
    /// A health check may take longer than half its period.
    #[error("connect_ms and answer_ms ({longest_ms} ms) have to fit into half of every_ms")]
    ProbeTooLong {
        /// How long it may take.
        longest_ms: u64,
    },
    /// A text is too long or has a line break.
    #[error("must be one line of at most {MAX_PROBE_LINE_BYTES} bytes")]
    NotOneLine,
    /// An answer is expected and no line is sent.
    #[error("nothing is answered where no line is sent")]
    ExpectWithoutLine,
    /// The endpoint list would count as too old between two updates.
    #[error("news travels every few hundred milliseconds: {MIN_LIST_AGE_MS} or more")]
    ListAgeTooShort,
    /// Followed knowledge would count as too old between two polls.
    #[error("sources are asked once a second: {MIN_FOLLOWED_AGE_MS} or more")]
    FollowedAgeTooShort,
    /// The rate is 0 or too high.
    #[error("{rate} pieces a second: 1 to {MAX_RATE}")]
    RateOutOfRange {
        /// The rate, in pieces a second.
        rate: u32,
    },
    /// A running process cannot take the change over.
    #[error("changes with a restart only")]
    RestartRequired,
}
