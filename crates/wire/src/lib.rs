//! Protocol between berylmount processes: h2 streams with bincode.
