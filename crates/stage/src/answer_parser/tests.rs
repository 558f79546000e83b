use super::*;

/// What a client makes of these bytes, fed in pieces of this size, and of the end of the connection after them.
fn read(bytes: &[u8], piece: usize, end: ConnectionEnd) -> Result<FinalAnswer, Incomplete> {
    let mut parser = AnswerParser::default();
    let mut fed = 0;
    for piece in bytes.chunks(piece) {
        fed += piece.len();
        if let Some(mut answer) = parser.feed(piece) {
            answer.surplus_bytes += bytes.len() - fed;
            return Ok(answer);
        }
    }
    parser.finish(end)
}

fn answer(status: u16, body: &str, keeps_alive: bool) -> FinalAnswer {
    FinalAnswer { status, body: body.as_bytes().to_vec(), keeps_alive, surplus_bytes: 0 }
}

#[test]
fn every_framing_is_read_whole_in_pieces_of_any_size() {
    let cases = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", answer(200, "hello", true)),
        ("HTTP/1.1 503 x\r\nConnection: close\r\ncontent-length:0\r\n\r\n", answer(503, "", false)),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nT: x\r\n\r\n",
            answer(200, "hello", true),
        ),
        ("HTTP/1.1 200 OK\r\n\r\nhello", answer(200, "hello", false)),
        ("HTTP/1.1 102 wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", answer(200, "ok", true)),
        ("HTTP/1.1 204 none\r\n\r\n", answer(204, "", true)),
    ];
    for (bytes, expected) in cases {
        for piece in 1..=bytes.len() {
            let got = read(bytes.as_bytes(), piece, ConnectionEnd::Closed);
            assert_eq!(got, Ok(expected.clone()), "{bytes:?} by {piece}");
        }
    }
}

#[test]
fn an_answer_that_ends_at_any_earlier_byte_is_not_whole() {
    for whole in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ] {
        for end in [ConnectionEnd::Closed, ConnectionEnd::Reset] {
            assert_eq!(read(b"", 1, end), Err(Incomplete::Nothing));
            for length in 1..whole.len() {
                let cut = &whole.as_bytes()[..length];
                assert_eq!(read(cut, length, end), Err(Incomplete::Torn), "{length} of {whole:?}, {end:?}");
            }
        }
    }
}

#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nhello";
    assert_eq!(read(bytes, 7, ConnectionEnd::Reset), Err(Incomplete::Torn));
    assert_eq!(read(bytes, 7, ConnectionEnd::Closed), Ok(answer(200, "hello", false)));
}

#[test]
fn what_comes_behind_an_answer_is_counted() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let got = read(twice, twice.len(), ConnectionEnd::Closed).unwrap();
    assert_eq!((got.surplus_bytes, got.keeps_alive), (17, false));
}

#[test]
fn two_framings_and_noise_are_no_answer() {
    for bytes in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay0\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
        "ran 7\r\n\r\n",
    ] {
        assert_eq!(read(bytes.as_bytes(), 3, ConnectionEnd::Closed), Err(Incomplete::Torn), "{bytes:?}");
    }
    let noise = vec![b'x'; MAX_HEAD_BYTES + 1];
    assert_eq!(read(&noise, 4096, ConnectionEnd::Closed), Err(Incomplete::Torn));
}
