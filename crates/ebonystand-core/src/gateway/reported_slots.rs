/// Load that an upstream tells with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedSlots {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests that wait in it.
    pub waiting: u32,
}
