//! SHA-256.

/// The digest of `data` in hexadecimal digits.
pub fn hex(data: &[u8]) -> String {
    let words = digest(data);
    words.iter().map(|word| format!("{word:08x}")).collect()
}

fn digest(data: &[u8]) -> [u32; 8] {
    let primes = primes();
    let k: Vec<u32> = primes.iter().map(|it| fraction(f64::from(*it).cbrt())).collect();
    let mut state: [u32; 8] = std::array::from_fn(|at| fraction(f64::from(primes[at]).sqrt()));
    let mut padded = data.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((data.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut w = [0_u32; 64];
        for (word, bytes) in w.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes(bytes.try_into().unwrap());
        }
        for at in 16..64 {
            let (a, b) = (w[at - 15], w[at - 2]);
            let a = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let b = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            w[at] = w[at - 16].wrapping_add(a).wrapping_add(w[at - 7]).wrapping_add(b);
        }
        let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = state;
        for at in 0..64 {
            let s1 = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
            let one = h
                .wrapping_add(s1)
                .wrapping_add((e & f) ^ (!e & g))
                .wrapping_add(k[at])
                .wrapping_add(w[at]);
            let s0 = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
            let two = s0.wrapping_add((a & b) ^ (a & c) ^ (b & c));
            (h, g, f, e) = (g, f, e, d.wrapping_add(one));
            (d, c, b, a) = (c, b, a, one.wrapping_add(two));
        }
        for (sum, word) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
            *sum = sum.wrapping_add(word);
        }
    }
    state
}

/// The first 32 bits of the fraction of a root.
fn fraction(root: f64) -> u32 {
    (root.fract() * 4_294_967_296.0) as u32
}

/// The first 64 primes.
fn primes() -> Vec<u32> {
    let is_prime = |number: &u32| (2..*number).all(|it| !number.is_multiple_of(it));
    (2..).filter(is_prime).take(64).collect()
}
