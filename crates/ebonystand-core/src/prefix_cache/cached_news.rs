//! Compact encoding of cached prefixes in messages between VMs, for serde's `with`.
//!
//! Relays send each entry to a dozen VMs over links of 10 Mbit/s. Entries with the same homes are
//! grouped, and each then takes 13 bytes.

use {
    super::*,
    serde::{Deserializer, Serializer},
};

type Homes = Option<BTreeSet<RegionId>>;
/// Engine and prefix, the latter as fixed-size bytes: as a variable-length integer, a hash is no
/// shorter.
type CacheEntry = (UpstreamKey, [u8; 8]);

/// Serializes the prefixes in the compact encoding.
///
/// # Errors
/// Returns the errors of the serializer.
pub fn serialize<S: Serializer>(cached: &[CachedPrefix], serializer: S) -> Result<S::Ok, S::Error> {
    let mut groups = BTreeMap::<&Homes, Vec<CacheEntry>>::new();
    for CachedPrefix {
        homes,
        instance,
        prefix,
    } in cached
    {
        let entries = groups.entry(homes).or_default();
        entries.push((*instance, prefix.to_le_bytes()));
    }
    serializer.collect_seq(groups)
}

/// Deserializes prefixes from the compact encoding.
///
/// # Errors
/// Returns the errors of the deserializer, also for bytes that are not in this encoding.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<CachedPrefix>, D::Error> {
    let groups = Vec::<(Homes, Vec<CacheEntry>)>::deserialize(deserializer)?;
    let cached = groups.into_iter().flat_map(|(homes, entries)| {
        entries
            .into_iter()
            .map(move |(instance, prefix)| CachedPrefix {
                homes: homes.clone(),
                instance,
                prefix: PrefixId::from_le_bytes(prefix),
            })
    });
    Ok(cached.collect())
}
