//! Names that operators and callers choose.
//!
//! Every name is checked when it is made, so code that holds one need not
//! check it again: 1 to 96 bytes of ASCII letters, digits, `.`, `_`, `-` and
//! `/`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 96;

/// Why a text is not a name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The text is longer than the bound.
    #[error("a name has at most {MAX_NAME_BYTES} bytes, found {0}")]
    TooLong(usize),
    /// The text holds a character outside the allowed set.
    #[error("a name holds ASCII letters, digits, '.', '_', '-' and '/', found {0:?}")]
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
            /// Checks `text` and makes a name of it.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] that says which rule `text` breaks.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }

            /// The name as text.
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
    /// A customer.
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
    /// A kind of work, such as `blaze-report`.
    WorkName
}
name_type! {
    /// A model.
    ModelName
}
name_type! {
    /// One version of a model's weights.
    VersionName
}
name_type! {
    /// A target pool: runners, stores or plain-service instances of one kind.
    PoolName
}
name_type! {
    /// An instance, of ours or of a target pool.
    InstanceName
}
name_type! {
    /// A data centre.
    DataCentre
}
name_type! {
    /// A caller's idempotency key: `YYYYMMDD-` and a text of the caller's.
    OrderKey
}

impl InstanceName {
    /// This name, a dash and `suffix`, which has only allowed characters.
    pub(crate) fn with_suffix(&self, suffix: &'static str) -> Self {
        Self(format!("{}-{suffix}", self.0))
    }
}
