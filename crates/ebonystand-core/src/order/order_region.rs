use super::*;

/// Returns the region whose journal holds an order: the region that the key names, or else the home
/// of `workspace`.
///
/// Every VM must find the same region, otherwise two journals could each grant the order once. A
/// region that the configuration lacks is therefore rejected: with the home as a fallback, the key
/// would move once that region was added. For the same reason a workspace's home must not change
/// within [`OrderLimits::retention`] of its last order whose key names no region.
///
/// # Errors
///
/// Returns an [`OrderKeyError`] if the key is malformed, or if its region isn't in `regions` or is
/// outside the workspace's residency.
pub fn order_region(
    key: &str,
    workspace: &Workspace,
    regions: &BTreeMap<RegionId, Region>,
) -> Result<RegionId, OrderKeyError> {
    let parts = OrderKeyParts::parse(key)?;
    let region = parts.region.unwrap_or(&workspace.home);
    if !regions.contains_key(region) {
        return Err(OrderKeyError::Region {
            region: region.into(),
        });
    }
    if !workspace.residency.contains(region) {
        return Err(OrderKeyError::Residency {
            region: region.into(),
        });
    }
    Ok(region.into())
}
