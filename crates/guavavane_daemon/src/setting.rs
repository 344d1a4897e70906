//! Checks of single settings.

use std::str::FromStr;

use thiserror::Error;

/// A setting that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("--{flag}: {value:?} is refused; allowed: {allowed}")]
pub struct SettingError {
    /// The flag, without dashes.
    pub flag: &'static str,
    /// The value that was given.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl SettingError {
    /// A refusal of `value` for `flag`.
    pub fn new(flag: &'static str, value: impl ToString, allowed: impl ToString) -> Self {
        Self {
            flag,
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

/// Parses the text of a setting.
///
/// # Errors
///
/// Fails with the flag, the text and what is allowed.
pub fn parse_setting<T: FromStr>(
    flag: &'static str,
    text: &str,
    allowed: &str,
) -> Result<T, SettingError> {
    text.parse()
        .map_err(|_| SettingError::new(flag, text, allowed))
}

/// Parses the text of a setting and checks the value.
///
/// # Errors
///
/// Fails with the flag, the text and what is allowed.
pub fn check_setting<T: FromStr>(
    flag: &'static str,
    text: &str,
    allowed: &str,
    check: impl FnOnce(&T) -> bool,
) -> Result<T, SettingError> {
    let value = parse_setting(flag, text, allowed)?;
    if check(&value) {
        Ok(value)
    } else {
        Err(SettingError::new(flag, text, allowed))
    }
}
