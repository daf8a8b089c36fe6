/// Software versions that may get a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SoftwareRule<'a> {
    /// All versions.
    #[default]
    Any,
    /// Versions that all VMs know by now, for a stream that may be taken up again.
    Known,
    /// One version, for a stream that is taken up again.
    Only(&'a str),
}
