//! Parses and validates single settings.

use std::str::FromStr;

use thiserror::Error;

/// Error of an invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("--{flag}: {value:?} is invalid; allowed: {allowed}")]
pub struct SettingError {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Value as given.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl SettingError {
    /// Creates the error that `value` is invalid for `flag`.
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
/// Fails if `text` is not a `T`; the error describes the allowed values with `allowed`.
pub fn parse_setting<T: FromStr>(
    flag: &'static str,
    text: &str,
    allowed: &str,
) -> Result<T, SettingError> {
    text.parse()
        .map_err(|_| SettingError::new(flag, text, allowed))
}

/// Parses the text of a setting and validates the value with `check`.
///
/// # Errors
///
/// Fails if `text` is not a `T` or `check` returns false; the error describes the allowed values
/// with `allowed`.
pub fn parse_checked_setting<T: FromStr>(
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
