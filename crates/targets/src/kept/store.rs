//! The client of one kept-cache store.

use crate::{
    fault::TargetFault,
    http::{HttpCaller, TargetTimeouts},
    kept::{PieceSeal, SealedPiece, StoreConfirmation, StoredName},
};
use berylmount_model::PieceKey;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use ureq::http::Method;

/// Asks for keys.
#[derive(Serialize)]
struct KeysBody<'a> {
    keys: &'a [PieceKey],
}

/// Lists names.
#[derive(Serialize)]
struct NamesBody<'a> {
    pieces: &'a [StoredName],
}

/// Asks for a place.
#[derive(Serialize)]
struct ReserveBody {
    key: PieceKey,
    nonce: u64,
}

/// The place's generation.
#[derive(Deserialize)]
struct ReservedBody {
    generation: u64,
}

/// Asks to seal a piece.
#[derive(Serialize)]
struct SealBody<'a> {
    piece: &'a StoredName,
    seal: &'a PieceSeal,
}

/// The names that were done.
#[derive(Deserialize)]
struct DoneBody {
    pieces: Vec<StoredName>,
}

/// A client of one store. Every call ends within its `limit`.
#[derive(Clone, Debug)]
pub struct StoreClient {
    caller: HttpCaller,
}

impl StoreClient {
    /// A client of the store at `address`.
    ///
    /// ```
    /// use berylmount_targets::{kept::StoreClient, TargetTimeouts};
    ///
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// let client = StoreClient::new(address, TargetTimeouts::default());
    /// assert_eq!(client.address(), address);
    /// ```
    pub fn new(address: SocketAddr, timeouts: TargetTimeouts) -> Self {
        Self {
            caller: HttpCaller::new(address, timeouts),
        }
    }

    /// The store's address.
    pub fn address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Sends one command.
    fn post<Q: Serialize, A: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
        limit: Duration,
    ) -> Result<A, TargetFault> {
        self.caller
            .call(Method::POST, path, Some(body), Some(limit))
    }

    /// Asks which of `keys` are sealed there.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the store does not answer, or answers
    /// with pieces that were not asked for.
    pub fn find(
        &self,
        keys: &[PieceKey],
        limit: Duration,
    ) -> Result<StoreConfirmation, TargetFault> {
        let found: StoreConfirmation = self.post("/v1/find", &KeysBody { keys }, limit)?;
        let asked = |piece: &SealedPiece| keys.contains(&piece.name.key);
        if found.pieces.len() > keys.len() || !found.pieces.iter().all(asked) {
            return Err(TargetFault::bad_answer(
                "a store named pieces not asked for",
            ));
        }
        Ok(found)
    }

    /// Reserves a name for a piece that is to be written.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`]; `Rejected(Full)` when there is no room and
    /// `Rejected(Exists)` when the piece is sealed there already.
    pub fn reserve(
        &self,
        key: PieceKey,
        nonce: u64,
        limit: Duration,
    ) -> Result<StoredName, TargetFault> {
        let body = ReserveBody { key, nonce };
        let reserved: ReservedBody = self.post("/v1/reserve", &body, limit)?;
        Ok(StoredName {
            key,
            nonce,
            generation: reserved.generation,
        })
    }

    /// Seals a written piece and returns the store's own seal.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the store has other bytes than `seal`
    /// says, or has lost the name.
    pub fn seal(
        &self,
        piece: &StoredName,
        seal: &PieceSeal,
        limit: Duration,
    ) -> Result<PieceSeal, TargetFault> {
        self.post("/v1/seal", &SealBody { piece, seal }, limit)
    }

    /// Asks whether `names` are still there, retired or not.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the store does not answer.
    pub fn confirm(
        &self,
        names: &[StoredName],
        limit: Duration,
    ) -> Result<StoreConfirmation, TargetFault> {
        self.post("/v1/confirm", &NamesBody { pieces: names }, limit)
    }

    /// Hides `names` from look-ups and returns those that were hidden.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the store does not answer.
    pub fn retire(
        &self,
        names: &[StoredName],
        limit: Duration,
    ) -> Result<Vec<StoredName>, TargetFault> {
        let done: DoneBody = self.post("/v1/retire", &NamesBody { pieces: names }, limit)?;
        Ok(done.pieces)
    }

    /// Frees `names` and returns those that were there.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the store does not answer.
    pub fn free(
        &self,
        names: &[StoredName],
        limit: Duration,
    ) -> Result<Vec<StoredName>, TargetFault> {
        let done: DoneBody = self.post("/v1/free", &NamesBody { pieces: names }, limit)?;
        Ok(done.pieces)
    }
}
