//! The form of what is kept on disk: one line that tells what it is, how long and with which checksum, then the
//! payload. Pure. What does not fit is told from what does, and never believed.

use std::fmt;

/// The version of the form. Another is not read: it was written by a program that knows better, or worse.
const VERSION: u32 = 1;
/// The first word of every file.
const MAGIC: &str = "sagemast-state";

/// Why a file is not believed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unbelieved {
    /// It does not begin as these files do, or holds something else.
    Foreign,
    /// It was written by another version of the form.
    Version(u32),
    /// It is shorter or longer than it says, or its checksum does not fit: writing it was cut short, or it was
    /// changed.
    Torn,
}

impl fmt::Display for Unbelieved {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unbelieved::Foreign => f.write_str("it is not a state file of this kind"),
            Unbelieved::Version(version) => write!(f, "it has version {version}; {VERSION} is read"),
            Unbelieved::Torn => f.write_str("it is torn: its length or checksum does not fit"),
        }
    }
}

/// A file of this kind with this payload.
pub fn encode(kind: &str, payload: &[u8]) -> Vec<u8> {
    let sum = crc32fast::hash(payload);
    let mut file = format!("{MAGIC} {VERSION} {kind} {} {sum:08x}\n", payload.len()).into_bytes();
    file.extend_from_slice(payload);
    file
}

/// The payload of a file of this kind.
pub fn decode<'f>(kind: &str, file: &'f [u8]) -> Result<&'f [u8], Unbelieved> {
    let end = file.iter().position(|byte| *byte == b'\n');
    let Some(end) = end else {
        // Cut within its first line, or never ours.
        let ours = file.starts_with(MAGIC.as_bytes()) || MAGIC.as_bytes().starts_with(file);
        return Err(if ours { Unbelieved::Torn } else { Unbelieved::Foreign });
    };
    let (head, payload) = (std::str::from_utf8(&file[..end]), &file[end + 1..]);
    let words: Vec<&str> = head.map_err(|_| Unbelieved::Foreign)?.split(' ').collect();
    let [MAGIC, version, found, length, sum] = words[..] else { return Err(Unbelieved::Foreign) };
    let version: u32 = version.parse().map_err(|_| Unbelieved::Foreign)?;
    if version != VERSION {
        return Err(Unbelieved::Version(version));
    }
    if found != kind {
        return Err(Unbelieved::Foreign);
    }
    let whole =
        length.parse() == Ok(payload.len()) && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(payload));
    if whole { Ok(payload) } else { Err(Unbelieved::Torn) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_written_is_read_and_nothing_else_is_believed() {
        let file = encode("list", b"{\"seq\":4}\n{}");
        assert_eq!(decode("list", &file), Ok(&b"{\"seq\":4}\n{}"[..]));
        assert_eq!(decode("fleet", &file), Err(Unbelieved::Foreign));
        assert_eq!(decode("list", b"{}\n"), Err(Unbelieved::Foreign));
        assert_eq!(decode("list", &file.clone().repeat(2)), Err(Unbelieved::Torn));
        let later = String::from_utf8(file.clone()).unwrap().replacen(" 1 ", " 2 ", 1);
        assert_eq!(decode("list", later.as_bytes()), Err(Unbelieved::Version(2)));
        for cut in 0..file.len() {
            assert_eq!(decode("list", &file[..cut]), Err(Unbelieved::Torn), "cut after {cut} bytes");
        }
        for at in 0..file.len() {
            for bit in 0..8 {
                let mut spoilt = file.clone();
                spoilt[at] ^= 1 << bit;
                // The case of a hexadecimal digit of the checksum means nothing.
                let newline = file.iter().position(|byte| *byte == b'\n').unwrap();
                let digit = (newline - 8..newline).contains(&at);
                let same = digit && spoilt[at].eq_ignore_ascii_case(&file[at]);
                assert_eq!(decode("list", &spoilt).is_ok(), same, "bit {bit} of byte {at}");
            }
        }
    }
}
