//! The operators' table: shards, edits, watches and read-back.
