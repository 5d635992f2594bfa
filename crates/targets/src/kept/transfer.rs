//! The orders to an engine that move kept cache.

use crate::{
    engine::EngineClient,
    fault::TargetFault,
    kept::{PieceSeal, StoredName},
};
use berylmount_model::PieceKey;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use ureq::http::Method;

/// An order to write pieces to a store or read them from it.
#[derive(Serialize)]
struct TransferBody<'a> {
    import: &'a str,
    store: SocketAddr,
    pieces: &'a [StoredName],
}

/// An order to make pieces usable.
#[derive(Serialize)]
struct CommitBody<'a> {
    import: &'a str,
    pieces: &'a [PieceKey],
}

/// One piece that an engine wrote or read.
#[derive(Deserialize)]
struct MovedPiece {
    key: PieceKey,
    #[serde(flatten)]
    seal: PieceSeal,
}

/// The pieces that an engine wrote or read.
#[derive(Deserialize)]
struct MovedBody {
    pieces: Vec<MovedPiece>,
}

/// The pieces that runs may use now.
#[derive(Deserialize)]
struct CommittedBody {
    pieces: Vec<PieceKey>,
}

impl EngineClient {
    /// Sends a transfer order and returns what the engine had in hand.
    fn transfer(
        &self,
        path: &str,
        body: &TransferBody<'_>,
        limit: Duration,
    ) -> Result<Vec<(PieceKey, PieceSeal)>, TargetFault> {
        let moved: MovedBody = self
            .caller
            .call(Method::POST, path, Some(body), Some(limit))?;
        let pieces = moved.pieces.into_iter();
        Ok(pieces.map(|piece| (piece.key, piece.seal)).collect())
    }

    /// Orders cached pieces to be written to `store` under `names`.
    pub(crate) fn export(
        &self,
        store: SocketAddr,
        names: &[StoredName],
        limit: Duration,
    ) -> Result<Vec<(PieceKey, PieceSeal)>, TargetFault> {
        let body = TransferBody {
            import: "",
            store,
            pieces: names,
        };
        self.transfer("/v1/kv/export", &body, limit)
    }

    /// Orders pieces to be read from `store` and staged under `import`.
    pub(crate) fn import(
        &self,
        import: &str,
        store: SocketAddr,
        names: &[StoredName],
        limit: Duration,
    ) -> Result<Vec<(PieceKey, PieceSeal)>, TargetFault> {
        let body = TransferBody {
            import,
            store,
            pieces: names,
        };
        self.transfer("/v1/kv/import", &body, limit)
    }

    /// Makes `pieces` of an import usable and drops the rest.
    pub(crate) fn commit(
        &self,
        import: &str,
        pieces: &[PieceKey],
        limit: Duration,
    ) -> Result<Vec<PieceKey>, TargetFault> {
        let body = CommitBody { import, pieces };
        let done: CommittedBody =
            self.caller
                .call(Method::POST, "/v1/kv/commit", Some(&body), Some(limit))?;
        Ok(done.pieces)
    }
}
