use super::*;

/// Error answer of the operators' HTTP API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[serde(rename_all = "snake_case", tag = "error")]
#[snafu(visibility(pub))]
pub enum OperatorError {
    /// The VM did not run until just now, so the request may be older than its caller's patience.
    #[snafu(display(
        "this VM stood still, and the request may have waited meanwhile: send it again"
    ))]
    AfterStall,
    /// The body does not have the form that the path requires.
    #[snafu(display("bad body: {reason}"))]
    BadBody {
        /// Position and cause, as reported by the parser.
        reason: Box<str>,
    },
    /// The caller closed its connection before the VM read the request, which changes nothing.
    #[snafu(display("the caller has closed its connection"))]
    CallerLeft,
    /// The VM reached no leader of the configuration's log.
    #[snafu(display(
        "no leader of the configuration's log was reached; the change {}",
        if *may_have_been_applied {
            "may have been applied: send it again under the same request id"
        } else {
            "has not been applied"
        }
    ))]
    NoLeader {
        /// Whether the change was sent to a leader whose answer did not arrive.
        may_have_been_applied: bool,
    },
    /// The request carries no valid operators' credential.
    #[snafu(display("no valid operators' credential"))]
    Unauthorized,
    /// The configuration has no key with this name.
    #[snafu(display("no key `{key}`"))]
    UnknownKey {
        /// Name of the missing key.
        key: KeyId,
    },
    /// The VM knows no suspected or quarantined part of prompts with this identifier.
    #[snafu(display("no suspected or quarantined part `{part}`"))]
    UnknownPart {
        /// Identifier as it was given.
        part: Box<str>,
    },
    /// The VM knows no suspected or quarantined request with this fingerprint.
    #[snafu(display("no suspected or quarantined request `{fingerprint}`"))]
    UnknownSuspect {
        /// Fingerprint as it was given.
        fingerprint: Box<str>,
    },
    /// The API has no such path, or not with this method.
    #[snafu(display("no such path or method"))]
    UnknownPath,
}

impl OperatorError {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::BadBody { .. } => 400,
            Self::Unauthorized => 401,
            Self::UnknownKey { .. }
            | Self::UnknownPart { .. }
            | Self::UnknownPath
            | Self::UnknownSuspect { .. } => 404,
            Self::AfterStall | Self::CallerLeft | Self::NoLeader { .. } => 503,
        }
    }
}
