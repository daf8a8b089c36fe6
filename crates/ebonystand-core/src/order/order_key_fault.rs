use super::*;

/// Why a text is no order key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OrderKeyFault {
    /// The key is minted too far ahead of the VM's clock.
    #[snafu(display("order key: minted in the future; its seconds must be the present time"))]
    Early,
    /// The key is not of its form.
    #[snafu(display(
        "order key: must be `[REGION/]SECONDS-NAME`, SECONDS being the time of the order's first \
         request in seconds since 1970 and NAME 1 to 128 letters, digits, `-`, `_`, `.` or `:`"
    ))]
    Form,
    /// The key names no region of the configuration.
    #[snafu(display("order key: no region `{region}`"))]
    Region {
        /// What it names.
        region: RegionId,
    },
    /// The key names a region outside the workspace's residency.
    #[snafu(display("order key: region `{region}` is outside the workspace's residency"))]
    Residency {
        /// What it names.
        region: RegionId,
    },
}

impl OrderKeyFault {
    /// Final answer to a request with such a key.
    ///
    /// A region may have been removed, or a residency narrowed, after the order ran, so these
    /// two do not claim that it has not.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        let message = self.to_string();
        match self {
            Self::Early | Self::Form => Refusal::not_run(RefusalCode::BadHeader, message),
            Self::Region { .. } => Refusal::possibly_run(RefusalCode::BadHeader, message),
            Self::Residency { .. } => Refusal::possibly_run(RefusalCode::Residency, message),
        }
    }
}
