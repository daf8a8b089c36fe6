//! Paths of the operators' HTTP API. Each request carries the operators' credential as a bearer
//! token.

/// Path to `POST` a [`ChangeRequest`](crate::ChangeRequest); answers with a
/// [`ChangeOutcome`](crate::ChangeOutcome).
pub const OPERATOR_CHANGES: &str = "/v1/operator/changes";
/// Path to `GET` the [`Document`](crate::Document) in force on the VM.
pub const OPERATOR_DOCUMENT: &str = "/v1/operator/document";
/// Path to `POST` to drain the VM; answers with a [`DrainStatus`](crate::DrainStatus).
pub const OPERATOR_DRAIN: &str = "/v1/operator/drain";
/// Prefix of the path to `POST`, followed by a request's fingerprint, to clear a request that is
/// quarantined or suspected; answers with a [`QuarantineClearStatus`](crate::QuarantineClearStatus).
pub const OPERATOR_QUARANTINE_CLEAR: &str = "/v1/operator/quarantine/clear/";
/// Prefix of the path to `POST`, followed by the identifier of a part of prompts in hexadecimal, to clear a part that is
/// quarantined or suspected; answers with a [`PartClearStatus`](crate::PartClearStatus).
pub const OPERATOR_QUARANTINE_CLEAR_PART: &str = "/v1/operator/quarantine/clear-part/";
/// Path to `GET` the VM's [`OperatorStatus`](crate::OperatorStatus).
pub const OPERATOR_STATUS: &str = "/v1/operator/status";
/// Prefix of the path to `POST`, followed by a key's name, to withdraw the key; answers with a
/// [`WithdrawalStatus`](crate::WithdrawalStatus).
pub const OPERATOR_WITHDRAW: &str = "/v1/operator/withdraw/";
