use std::{env, ops::Range};

/// Number in an environment variable.
pub(crate) fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// Seeds in `EBONYSTAND_SOAK_SEEDS`, such as `100..150`.
pub(crate) fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = env::var("EBONYSTAND_SOAK_SEEDS") else {
        return default;
    };
    let (first, end) = text.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}
