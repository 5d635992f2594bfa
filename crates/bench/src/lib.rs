//! What the project's measuring programs share.

pub mod days;
