//! Rendezvous hashing: all processes compute the same order of candidates without communication.

use crate::Digest;

/// Returns the rendezvous score of `candidate` for `key`; the highest score ranks first.
pub fn rank_score(key: &[u8], candidate: &str) -> u64 {
    let mut buf = Vec::with_capacity(key.len() + candidate.len() + 1);
    buf.extend_from_slice(key);
    buf.push(0);
    buf.extend_from_slice(candidate.as_bytes());
    let digest = Digest::of(&buf);
    let mut first = [0_u8; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Returns the candidate that ranks first for `key`; the greater candidate wins a tie.
pub fn first_ranked<T, I>(key: &[u8], candidates: I) -> Option<T>
where
    T: Copy + Ord + ToString,
    I: IntoIterator<Item = T>,
{
    let candidates = candidates.into_iter();
    candidates.max_by_key(|it| (rank_score(key, &it.to_string()), *it))
}

/// Returns `candidates` ranked for `key`, best first. Equal scores are ordered by name.
pub fn rank<'a, I>(key: &[u8], candidates: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut scored: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|name| (rank_score(key, name), name))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}
