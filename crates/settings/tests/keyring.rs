//! Finding out who holds a token.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use wagtailreel_settings::{Keyring, hash_token};

fn keyring() -> Keyring {
    let holders = ["scribes", "proofs", "misc"];
    let entry = |holder: &str| (holder.to_owned(), hash_token(&format!("token of {holder}")));
    Keyring::new(holders.into_iter().map(entry).collect())
}

#[test]
fn finds_holder() {
    let keyring = keyring();
    for holder in ["scribes", "proofs", "misc"] {
        let token = format!("token of {holder}");
        assert_eq!(keyring.find(&token), Some(holder));
    }
}

#[test]
fn refuses_others() {
    let hash = hash_token("token of misc").to_string();
    for token in ["", "token of", "Token of misc", "token of misc ", &hash] {
        assert_eq!(keyring().find(token), None);
    }
    assert_eq!(Keyring::default().find(""), None);
}

#[test]
fn shows_no_hash() {
    assert_eq!(
        format!("{:?}", keyring()),
        r#"{"scribes", "proofs", "misc"}"#
    );
}
