//! The chunks of the model's weights, their digests, and the origin that hands them out.

use std::net::SocketAddr;

use crate::http::{listen, query};

pub const CHUNKS: u32 = 48;
pub const CHUNK_BYTES: usize = 49_152;

pub fn chunk(version: u64, index: u32) -> Vec<u8> {
    let mut state = version.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(index) << 17 | 1;
    let mut out = Vec::with_capacity(CHUNK_BYTES);
    while out.len() < CHUNK_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        out.extend(state.to_le_bytes());
    }
    out.truncate(CHUNK_BYTES);
    out
}

/// Starts the origin of weights, whose newest version is 1.
pub fn start_origin(addr: SocketAddr) -> std::io::Result<()> {
    listen(addr, move |mut conn| {
        while let Ok(Some(head)) = conn.head() {
            let target = head.word(1).to_owned();
            let version = query(&target, "version")
                .and_then(|it| it.parse().ok())
                .unwrap_or(1);
            let path = target.split('?').next().unwrap_or("");
            let model = path.rsplit('/').next().unwrap_or("");
            let sent = if path.starts_with("/manifest/") {
                let digests: Vec<String> = (0..CHUNKS)
                    .map(|it| format!("\"{}\"", sha256(&chunk(version, it))))
                    .collect();
                let body = format!(
                    "{{\"model\":\"{model}\",\"version\":{version},\"chunkBytes\":{CHUNK_BYTES},\
                     \"layers\":16,\"digests\":[{}]}}",
                    digests.join(",")
                );
                conn.answer(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
            } else if path.starts_with("/piece/") {
                let index = query(&target, "num")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0);
                conn.answer("200 OK", "", &chunk(version, index))
            } else {
                conn.answer("404 Not Found", "", b"")
            };
            if sent.is_err() {
                return;
            }
        }
    })
}

/// Returns the SHA-256 of `data` in hexadecimal.
fn sha256(data: &[u8]) -> String {
    let primes = |count: usize| -> Vec<u64> {
        (2u64..)
            .filter(|n| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0))
            .take(count)
            .collect()
    };
    // The first 32 bits of the fractions of square and cube roots, by whole-number roots.
    let root = |n: u64, power: u32| -> u32 {
        let shift = 32 * power;
        let wanted = u128::from(n) << shift;
        let (mut low, mut high) = (0u128, 1u128 << 40);
        while high - low > 1 {
            let middle = (low + high) / 2;
            let fits = match power {
                2 => middle * middle <= wanted,
                _ => middle
                    .checked_mul(middle)
                    .and_then(|it| it.checked_mul(middle))
                    .is_some_and(|it| it <= wanted),
            };
            if fits { low = middle } else { high = middle }
        }
        low as u32
    };
    let constants: Vec<u32> = primes(64).into_iter().map(|it| root(it, 3)).collect();
    let mut hash: Vec<u32> = primes(8).into_iter().map(|it| root(it, 2)).collect();
    let mut message = data.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend((data.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w: Vec<u32> = block
            .chunks(4)
            .map(|it| u32::from_be_bytes(it.try_into().unwrap()))
            .collect();
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ w[i - 15] >> 3;
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ w[i - 2] >> 10;
            w.push(
                w[i - 16]
                    .wrapping_add(s0)
                    .wrapping_add(w[i - 7])
                    .wrapping_add(s1),
            );
        }
        let mut v = hash.clone();
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7]
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(constants[i])
                .wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(majority);
            v = vec![
                t1.wrapping_add(t2),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(t1),
                v[4],
                v[5],
                v[6],
            ];
        }
        for (sum, value) in hash.iter_mut().zip(v) {
            *sum = sum.wrapping_add(value);
        }
    }
    hash.iter().map(|it| format!("{it:08x}")).collect()
}

#[cfg(test)]
mod tests {
    #[test]
    fn known_digest() {
        assert_eq!(
            super::sha256(b"abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
        );
    }
}
