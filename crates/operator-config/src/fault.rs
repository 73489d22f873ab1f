//! Faults found in a file. `spanspur check` prints their texts, and a reload logs them.

use crate::validation::{
    MAX_NAME_BYTES, MAX_PROBE_LINE_BYTES, MAX_RATE, MAX_SOURCES, MAX_VOTERS, MIN_FOLLOWED_AGE_MS,
    MIN_KEY_BYTES, MIN_LIST_AGE_MS, MIN_SOURCES, MIN_VOTERS, TAKEOVER_MARGIN_MS,
};
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// All faults of a file, at least one; displayed on one line.
#[derive(Debug)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Returns `Ok(())` if `faults` is empty, and the faults as an error otherwise.
    pub(crate) fn into_result(faults: Vec<Fault>) -> Result<(), Self> {
        match faults.is_empty() {
            true => Ok(()),
            false => Err(Self(faults)),
        }
    }

    /// Returns a single fault without a location, which prevents further checks of the file.
    pub(crate) fn whole_file(problem: Problem) -> Self {
        Self(vec![Fault {
            location: String::new(),
            problem,
        }])
    }

    /// Iterates over the faults in the order in which they were found.
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

/// A problem and its location in the file.
#[derive(Debug)]
pub struct Fault {
    /// Location in the file, such as `cluster.keys[1]`; empty for the whole file.
    pub location: String,
    /// What is wrong at the location.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.location.is_empty() {
            true => write!(f, "{}", self.problem),
            false => write!(f, "{}: {}", self.location, self.problem),
        }
    }
}

impl std::error::Error for Fault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.problem)
    }
}

/// What is wrong at a location of the file.
#[derive(Debug, Error)]
pub enum Problem {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The schema generated from the types is not valid.
    #[error(transparent)]
    InvalidSchema(Box<jsonschema::ValidationError<'static>>),
    /// The value violates the schema. Only the text is kept, because the source error would contain secrets.
    #[error("{0}")]
    SchemaViolation(String),
    /// The schema allows a value that its type rejects, such as an invalid socket address.
    #[error(transparent)]
    Malformed(serde_json::Error),
    /// There are both a `follow` and a `cluster` section.
    #[error("excludes the section 'cluster': an instance of the cluster has its news already")]
    ExcludesCluster,
    /// A section other than `duties` requires a cluster.
    #[error("needs the section 'cluster'")]
    NeedsCluster,
    /// Duties are configured without a cluster.
    #[error("duties need the section 'cluster'")]
    DutiesNeedCluster,
    /// The endpoint list is to be distributed, but no duty maintains it.
    #[error("needs 'duties.list': there is nothing to distribute without it")]
    NeedsListDuty,
    /// A name is empty, too long or contains white space.
    #[error("'{name}' is no name: 1 to {MAX_NAME_BYTES} bytes without spaces")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A name occurs twice in a list.
    #[error("'{name}' is named twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// An address occurs twice in a list.
    #[error("{address} is named twice")]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A seed occurs twice.
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
    #[error("shorter than {MIN_KEY_BYTES} characters")]
    ShortKey,
    /// There are too few sources to follow, or too many.
    #[error("{count} sources: {MIN_SOURCES} to {MAX_SOURCES} are needed")]
    SourceCount {
        /// The number of sources.
        count: usize,
    },
    /// Two sections listen on the same address.
    #[error("is taken by 'cluster.listen'")]
    AddressInUse,
    /// A port that others must know is 0, which selects a free port.
    #[error("port 0 tells the {peers} nothing")]
    UnknownPort {
        /// Who has to know the port.
        peers: &'static str,
    },
    /// An address that others must reach is unspecified.
    #[error("the others are told this address: it must be one that they reach")]
    UnreachableAddress,
    /// A destination address has no host or no port.
    #[error("{address} is not a valid destination: a host and a port are needed")]
    InvalidDestination {
        /// The address.
        address: SocketAddr,
    },
    /// The probe interval of the cluster is too short for the answer timeout.
    #[error("must be more than twice answer_ms, which is more than 0")]
    ProbeIntervalTooShort,
    /// A time is 0.
    #[error("must be more than 0")]
    NotPositive,
    /// The period of a duty is shorter than a takeover.
    #[error(
        "{period_ms} ms is less than the {takeover_ms} ms that a take-over takes (3 probe_ms + suspicion_ms + \
         {TAKEOVER_MARGIN_MS}): with an instance that dies more than one period would be missed"
    )]
    PeriodTooShort {
        /// The period, in milliseconds.
        period_ms: u64,
        /// The duration of a takeover, in milliseconds.
        takeover_ms: u64,
    },
    /// A health check may take longer than half its period.
    #[error("connect_ms and answer_ms ({longest_ms} ms) have to fit into half of every_ms")]
    ProbeTooLong {
        /// Longest duration of a health check, in milliseconds.
        longest_ms: u64,
    },
    /// A text is too long or has a line break.
    #[error("must be one line of at most {MAX_PROBE_LINE_BYTES} bytes")]
    NotOneLine,
    /// An answer is expected, but no line is sent.
    #[error("nothing is answered where no line is sent")]
    ExpectWithoutLine,
    /// The endpoint list would exceed its age limit between two updates.
    #[error("news travels every few hundred milliseconds: {MIN_LIST_AGE_MS} or more")]
    ListAgeTooShort,
    /// The followed endpoint list would exceed its age limit between two polls.
    #[error("sources are asked once a second: {MIN_FOLLOWED_AGE_MS} or more")]
    FollowedAgeTooShort,
    /// The rate is 0 or too high.
    #[error("{rate} pieces a second: 1 to {MAX_RATE}")]
    RateOutOfRange {
        /// The rate, in datagrams per second.
        rate: u32,
    },
    /// A reload cannot apply the change.
    #[error("changes with a restart only")]
    RestartRequired,
}
