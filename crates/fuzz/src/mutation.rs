//! Small changes to inputs, by chance.

use trackbed::random::Random;

/// Changes made to one input, at most.
const MOST_CHANGES: u64 = 4;
const ABSURD_BYTES: [u8; 8] = [0, 1, 0x7f, 0x80, 0xff, b'"', b'{', b'\n'];
const ABSURD_NUMBERS: [u64; 6] = [0, 1, u32::MAX as u64, u64::MAX, 1 << 31, 1 << 63];
const ABSURD_TEXTS: [&str; 6] = ["-1", "1e308", "99999999999999999999", "0", "NaN", "18446744073709551615"];

/// Changes an input a few times.
pub fn mutate(input: &mut Vec<u8>, other: &[u8], random: &mut Random) {
    for _ in 0..random.below(MOST_CHANGES) + 1 {
        change(input, other, random);
    }
}

fn place(input: &[u8], random: &mut Random) -> usize {
    random.below(input.len() as u64 + 1) as usize
}

fn change(input: &mut Vec<u8>, other: &[u8], random: &mut Random) {
    let at = place(input, random);
    match random.below(9) {
        0 => flip_bit(input, at, random),
        1 => set_byte(input, at, ABSURD_BYTES[random.below(8) as usize]),
        2 => input.truncate(at),
        3 => input.insert(at, random.draw() as u8),
        4 => {
            let end = (at + random.below(16) as usize).min(input.len());
            input.drain(at..end);
        }
        5 => {
            let from = place(other, random);
            let to = (from + random.below(64) as usize).min(other.len());
            input.splice(at..at, other[from..to].iter().copied());
        }
        6 => overwrite(input, at, &ABSURD_NUMBERS[random.below(6) as usize].to_le_bytes()[..4]),
        7 => overwrite(input, at, &ABSURD_NUMBERS[random.below(6) as usize].to_le_bytes()),
        _ => replace_digits(input, at, ABSURD_TEXTS[random.below(6) as usize]),
    }
}

fn flip_bit(input: &mut [u8], at: usize, random: &mut Random) {
    if let Some(byte) = input.get_mut(at) {
        *byte ^= 1 << random.below(8);
    }
}

fn set_byte(input: &mut [u8], at: usize, value: u8) {
    if let Some(byte) = input.get_mut(at) {
        *byte = value;
    }
}

fn overwrite(input: &mut [u8], at: usize, bytes: &[u8]) {
    if let Some(place) = input.get_mut(at..at + bytes.len()) {
        place.copy_from_slice(bytes);
    }
}

/// Puts a text in the place of the next decimal number.
fn replace_digits(input: &mut Vec<u8>, at: usize, text: &str) {
    let Some(start) = input[at..].iter().position(u8::is_ascii_digit).map(|found| at + found) else { return };
    let length = input[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    input.splice(start..start + length, text.bytes());
}
