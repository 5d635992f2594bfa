//! Names chosen by operators and callers.
//!
//! A name has 1 to 96 bytes: ASCII letters, digits, `.`, `_`, `-` and `/`. The
//! constructors check this, so a value of a name type is always valid.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 96;

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The text is longer than the maximum.
    #[error("a name has at most {MAX_NAME_BYTES} bytes, found {0}")]
    TooLong(usize),
    /// The text contains a character that is not allowed.
    #[error("a name may contain only ASCII letters, digits, '.', '_', '-' and '/', found {0:?}")]
    Character(char),
}

/// Checks `text` against the rules for names.
fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

/// Defines a checked name type.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] when `text` is not a valid name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a customer.
    ///
    /// ```
    /// use berylmount_model::CustomerName;
    ///
    /// assert!(CustomerName::new("north-crew").is_ok());
    /// assert!(CustomerName::new("north crew").is_err());
    /// ```
    CustomerName
}
name_type! {
    /// Name of a kind of work, such as `blaze-report`.
    WorkName
}
name_type! {
    /// Name of a model.
    ModelName
}
name_type! {
    /// Name of a version of a model's weights.
    VersionName
}
name_type! {
    /// Name of a pool of targets of one kind: runners, stores or plain services.
    PoolName
}
name_type! {
    /// Name of an instance of this system or of a target pool.
    InstanceName
}
name_type! {
    /// Name of a data centre.
    DataCentre
}
name_type! {
    /// Idempotency key of a caller: `YYYYMMDD-` followed by any text.
    OrderKey
}

impl InstanceName {
    /// Appends a dash and `suffix`, which must contain only allowed characters.
    pub(crate) fn with_suffix(&self, suffix: &'static str) -> Self {
        Self(format!("{}-{suffix}", self.0))
    }
}
