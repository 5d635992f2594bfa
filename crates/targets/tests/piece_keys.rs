//! Customers, models, versions and adapters share no key of a piece.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::{piece_chain, ModelName, PieceScope, VersionName, PIECE_TOKENS};
use common::fuzz_config;
use proptest::prelude::*;

type Fields = [String; 5];

fn scope([deployment, customer_scope, model, version, adapter]: &Fields) -> PieceScope {
    PieceScope {
        deployment: deployment.clone(),
        customer_scope: customer_scope.clone(),
        model: ModelName::new(model).unwrap(),
        version: VersionName::new(version).unwrap(),
        adapter: adapter.clone(),
    }
}

fn fields() -> impl Strategy<Value = Fields> {
    [
        "[ab]{2,3}",
        "[ab]{2,3}",
        "[ab]{2,3}",
        "[ab]{2,3}",
        "[ab]{1,3}",
    ]
}

/// Changes one field, or moves the bound between two; nothing for the sixth.
fn changed(mut fields: Fields, i: usize, by_move: bool) -> Fields {
    if by_move && i < 4 {
        let moved = fields[i].pop().unwrap();
        fields[i + 1].insert(0, moved);
    } else if let Some(field) = fields.get_mut(i) {
        field.push('c');
    }
    fields
}

/// A prompt of whole pieces; each letter stands for one piece of like words.
fn prompt(pieces: &str) -> String {
    let piece = |c: char| format!("{c} ").repeat(PIECE_TOKENS);
    pieces.chars().map(piece).collect()
}

proptest! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn keys_are_shared_by_scope_and_prefix_only(
        one in fields(),
        (field, by_move) in (0..6_usize, any::<bool>()),
        (one_text, other_text) in ("[xy]{1,4}", "[xy]{1,4}"),
    ) {
        let other = scope(&changed(one.clone(), field, by_move));
        let one = scope(&one);
        let keys = piece_chain(&one, &prompt(&one_text));
        let others = piece_chain(&other, &prompt(&other_text));
        let letters = one_text.bytes().zip(other_text.bytes());
        let common = letters.take_while(|(a, b)| a == b).count();
        let expected = if one == other { common } else { 0 };
        let shared = keys.iter().filter(|key| others.contains(key)).count();
        prop_assert_eq!(shared, expected);
        prop_assert_eq!(&keys[..expected], &others[..expected]);
    }
}
