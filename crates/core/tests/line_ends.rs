//! Guards against heads of answers that begin or end elsewhere than their servers mean, and against sound
//! ones that are taken for those: by how their lines end, however they are split.

use hooktrestle_core::direct::line_ends::LineEnds;
use hooktrestle_core::direct::line_ends::MixedLineEnds;

/// Whether an answer is accepted, whole and in two pieces.
fn is_accepted(answer: &str) -> bool {
    let whole = LineEnds::default().check(answer.as_bytes());
    for split in 0..answer.len() {
        let (first, rest) = answer.as_bytes().split_at(split);
        let mut line_ends = LineEnds::default();
        let pieces = line_ends.check(first).and_then(|()| line_ends.check(rest));
        assert_eq!(pieces, whole, "{answer:?} split at {split}");
    }
    whole != Err(MixedLineEnds)
}

#[test]
fn heads_with_line_ends_of_one_kind_are_accepted() {
    for line_end in ["\r\n", "\n"] {
        let lines = ["HTTP/1.1 200 OK", "a: b", "", "id: 0\ndata: x\r\n\r\n\nid: 1\r\n"];
        assert!(is_accepted(&lines.join(line_end)), "{line_end:?}");
        assert!(is_accepted(&format!("{line_end}{}", lines.join(line_end))), "{line_end:?}");
    }
}

#[test]
fn heads_with_line_ends_of_two_kinds_are_not_accepted() {
    let answers = [
        // The empty line is lost, and the first event ends with one.
        "HTTP/1.1 200 OK\r\na: b\r\nid: 0\ndata: x\n\n",
        "HTTP/1.1 200 OK\r\na: b\n\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\na: \n\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\na: b\r\n\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\na: b\r\n\n\nabc",
        "HTTP/1.1 200 OK\na: b\r\n\r\nabc",
    ];
    for answer in answers {
        assert!(!is_accepted(answer), "{answer:?}");
    }
}
