use super::*;

/// Stable code of a refusal, as sent to callers.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The workspace has used up its allowance.
    #[display("allowance_exhausted")]
    AllowanceExhausted,
    /// The request's body is not valid for its path.
    #[display("bad_body")]
    BadBody,
    /// A header is missing or malformed.
    #[display("bad_header")]
    BadHeader,
    /// The request's body exceeds the size limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The deadline has passed or cannot be met.
    #[display("deadline")]
    Deadline,
    /// The VM is leaving.
    #[display("draining")]
    Draining,
    /// The request came back to the gateway from one of its upstreams.
    #[display("loop_detected")]
    LoopDetected,
    /// The VM cannot serve requests yet, or has lost the connections that it needs to serve them.
    #[display("not_ready")]
    NotReady,
    /// The order ran, but its answer is no longer stored.
    #[display("order_answer_dropped")]
    OrderAnswerDropped,
    /// The order key was used before with another body.
    #[display("order_conflict")]
    OrderConflict,
    /// The order key is so old that its order is forgotten. The order may have run.
    #[display("order_expired")]
    OrderExpired,
    /// The request needs an order key.
    #[display("order_key_missing")]
    OrderKeyMissing,
    /// The order's first attempt may have run. It is never run again.
    #[display("order_unknown")]
    OrderUnknown,
    /// All upstreams that may serve the request are too busy.
    #[display("overloaded")]
    Overloaded,
    /// The request has crashed upstreams.
    #[display("quarantined")]
    Quarantined,
    /// The workspace may not be served in this VM's region.
    #[display("residency")]
    Residency,
    /// The request has no key or an invalid one.
    #[display("unauthorized")]
    Unauthorized,
    /// The model does not exist, or the workspace may not use it.
    #[display("unknown_model")]
    UnknownModel,
    /// The path, service or call does not exist.
    #[display("unknown_path")]
    UnknownPath,
    /// The upstream failed.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// No upstream may serve the request now.
    #[display("no_upstream")]
    NoUpstream,
}

impl RefusalCode {
    /// HTTP status that is sent with the code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadBody | Self::BadHeader | Self::OrderKeyMissing => 400,
            Self::Unauthorized => 401,
            Self::UnknownModel | Self::UnknownPath => 404,
            Self::OrderConflict | Self::OrderUnknown => 409,
            Self::OrderAnswerDropped | Self::OrderExpired => 410,
            Self::BodyTooLarge => 413,
            Self::Residency => 421,
            Self::Quarantined => 422,
            Self::AllowanceExhausted => 429,
            Self::UpstreamFailed => 502,
            Self::Draining | Self::NoUpstream | Self::NotReady | Self::Overloaded => 503,
            Self::Deadline => 504,
            Self::LoopDetected => 508,
        }
    }
}
