use super::*;
use sonic_rs::{JsonContainerTrait, JsonValueTrait};

fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

#[test]
fn what_is_nested_too_deep_is_refused_with_its_place_and_ends_no_process() {
    assert!(parse(nested(MOST_LEVELS).as_bytes()).is_ok());
    let too_deep = Err(JsonError::TooDeep { at: MOST_LEVELS });
    assert_eq!(parse(nested(MOST_LEVELS + 1).as_bytes()).map(drop), too_deep);
    assert_eq!(parse("[".repeat(1_000_000).as_bytes()).map(drop), too_deep);
    let tables = "{\"a\":".repeat(100_000);
    assert_eq!(parse(tables.as_bytes()).map(drop), Err(JsonError::TooDeep { at: MOST_LEVELS * 5 }));
}

#[test]
fn brackets_in_strings_and_side_by_side_are_no_levels() {
    let text = format!("[\"{}\\\"[\\\\\",{}]", "[".repeat(1000), "{},".repeat(1000) + "[]");
    let value = parse(text.as_bytes()).unwrap();
    assert_eq!(value.as_array().map(|items| items.len()), Some(1002));
    assert!(value.pointer([0].iter()).is_some_and(|text| text.is_str()));
}

#[test]
fn bytes_that_are_no_json_are_refused_with_the_parsers_words() {
    for text in [&b"{"[..], b"", b"\"\\", b"{\"a\":\xff}", b"]]]]"] {
        assert!(matches!(parse(text), Err(JsonError::Malformed { reason }) if !reason.is_empty()));
    }
}

#[test]
fn a_text_of_too_many_values_is_refused_before_it_is_parsed() {
    let list = |items: usize| format!("[{}1]", "1,".repeat(items - 1));
    assert!(parse(list(MOST_VALUES - 1).as_bytes()).is_ok());
    let refused = |text: &str| matches!(parse(text.as_bytes()), Err(JsonError::TooManyValues { .. }));
    assert!(refused(&list(MOST_VALUES)));
    assert!(refused(&format!("[{}[]]", "{},".repeat(MOST_VALUES))));
    let text = format!("[\"{}\"]", ",".repeat(MOST_VALUES * 2));
    assert!(parse(text.as_bytes()).is_ok(), "commas in strings are no values");
}
