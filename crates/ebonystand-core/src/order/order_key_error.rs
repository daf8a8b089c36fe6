use {super::*, derive_more::Debug};

/// Reason why an order key is rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OrderKeyError {
    /// The key was minted too far ahead of the VM's clock.
    #[snafu(display("order key: minted in the future; its seconds must be the present time"))]
    #[debug("Early")]
    #[serde(rename = "Early")]
    InFuture,
    /// The key doesn't have the form `[REGION/]SECONDS-NAME`.
    #[snafu(display(
        "order key: must be `[REGION/]SECONDS-NAME`, SECONDS being the time of the order's first \
         request in seconds since 1970 and NAME 1 to 128 letters, digits, `-`, `_`, `.` or `:`"
    ))]
    #[debug("Form")]
    #[serde(rename = "Form")]
    Malformed,
    /// The key names a region that the configuration lacks.
    #[snafu(display("order key: no region `{region}`"))]
    Region {
        /// Region in the key.
        region: RegionId,
    },
    /// The key names a region outside the workspace's residency.
    #[snafu(display("order key: region `{region}` is outside the workspace's residency"))]
    Residency {
        /// Region in the key.
        region: RegionId,
    },
}

impl OrderKeyError {
    /// Returns the refusal to send to the caller.
    ///
    /// A region may have been removed, or a residency narrowed, after the order ran. The refusals
    /// of `Region` and `Residency` therefore don't claim that the order has not run.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        let message = self.to_string();
        match self {
            Self::InFuture | Self::Malformed => Refusal::not_run(RefusalCode::BadHeader, message),
            Self::Region { .. } => Refusal::possibly_run(RefusalCode::BadHeader, message),
            Self::Residency { .. } => Refusal::possibly_run(RefusalCode::Residency, message),
        }
    }
}
