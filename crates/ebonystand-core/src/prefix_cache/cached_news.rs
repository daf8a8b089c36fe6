//! Compact form of what VMs tell one another that engines keep, for serde's `with`.
//!
//! Relays send each word to a dozen VMs over links of 10 Mbit/s. Words with the same homes are gathered, and
//! each then takes 13 bytes.

use {
    super::*,
    serde::{Deserializer, Serializer},
};

type Homes = Option<BTreeSet<RegionId>>;
/// Hashes are no shorter as variable-length integers.
type Word = (UpstreamKey, [u8; 8]);

/// Writes the compact form.
///
/// # Errors
/// Those of the serializer.
pub fn serialize<S: Serializer>(cached: &[CachedPrefix], serializer: S) -> Result<S::Ok, S::Error> {
    let mut gathered = BTreeMap::<&Homes, Vec<Word>>::new();
    for CachedPrefix {
        homes,
        instance,
        prefix,
    } in cached
    {
        let words = gathered.entry(homes).or_default();
        words.push((*instance, prefix.to_le_bytes()));
    }
    serializer.collect_seq(gathered)
}

/// Reads the compact form.
///
/// # Errors
/// Those of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<CachedPrefix>, D::Error> {
    let gathered = Vec::<(Homes, Vec<Word>)>::deserialize(deserializer)?;
    let cached = gathered.into_iter().flat_map(|(homes, words)| {
        words
            .into_iter()
            .map(move |(instance, prefix)| CachedPrefix {
                homes: homes.clone(),
                instance,
                prefix: PrefixId::from_le_bytes(prefix),
            })
    });
    Ok(cached.collect())
}
