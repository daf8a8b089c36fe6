use ebonystand_core::ReportedSlots;

/// What the head of an upstream's answer says beside the answer itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerMarks {
    /// The server at the address is not the one that was asked for.
    pub is_stranger: bool,
    /// The upstream promises that the request has not run and never will.
    pub not_run: bool,
    /// Name of the request that it answers, if it says so.
    pub request: Option<Box<str>>,
    /// Its load, if it says so.
    pub slots: Option<ReportedSlots>,
}
