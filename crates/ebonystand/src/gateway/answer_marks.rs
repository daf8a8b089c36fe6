use ebonystand_core::{AnswerLimit, ReportedSlots};

/// Metadata that the headers and status of an upstream's answer carry about the request and the
/// server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMarks {
    /// Whether the upstream says that it leaves and takes no new requests.
    pub is_leaving: bool,
    /// Whether the server at the address is another instance than the one the request was sent to.
    pub is_stranger: bool,
    /// Rate at which the upstream takes requests from all VMs together, if the answer names one.
    pub limit: AnswerLimit,
    /// Whether the upstream guarantees that the request has not run and never will.
    pub not_run: bool,
    /// Identifier of the request that the upstream answers, if the answer states one.
    pub request: Option<Box<str>>,
    /// Requests that the upstream may turn away in a second, over all VMs, before it goes down, if the
    /// answer states it.
    pub shed_tolerance: Option<u32>,
    /// Slots that the upstream reports as its load, if the answer states them.
    pub slots: Option<ReportedSlots>,
}
