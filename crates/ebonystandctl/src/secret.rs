use super::*;

/// Returns `N` random bytes of the operating system in hexadecimal.
pub(crate) fn random_hex<const N: usize>() -> Result<String> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).context(error::RandomSnafu)?;
    Ok(hex::encode(bytes))
}
