use super::*;

/// Region whose journal an order belongs to: the one that its key names, else `workspace`'s home.
///
/// Each VM must come to the same region, or two journals would each grant the order once. So a
/// region that the configuration does not have is refused: with the home in its stead, the key
/// would move when that region is added. For the same reason a workspace's home must not change
/// within [`OrderLimits::retention`] of its last order whose key names no region.
///
/// # Errors
///
/// [`OrderKeyError`] if the key is malformed, or its region is none of `regions` or outside the
/// workspace's residency.
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
