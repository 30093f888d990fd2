//! Checks that words which only the wire protocols use occur in the codecs and nowhere else. The
//! rest of the program uses standard terms for them.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::path::{Path, PathBuf};

/// Words of the query fields, the engines' line protocol, the event bus and the platform's
/// settings. The code uses other terms for them.
const WIRE_WORDS: [&str; 24] = [
    "sort",
    "patience",
    "op",
    "weigh",
    "chunks",
    "spent",
    "wanted",
    "acct",
    "est_mb",
    "obj",
    "rid",
    "realms",
    "localities",
    "credit",
    "aim-stretch",
    "late-worth",
    "tells-cost",
    "most-grant",
    "note-period",
    "extra-share",
    "free-resends",
    "turn-gap",
    "topology",
    "in_service",
];

/// Files that may use the words: the codecs, and the demo's greeting, which prints an example
/// query.
const CODECS: [&str; 6] = [
    "gateway/src/demo/welcome.rs",
    "gateway/src/upstream/codec.rs",
    "gateway/src/postgres/query_fields.rs",
    "gateway/src/discovery/events.rs",
    "gateway/src/config.rs",
    "policy/src/wire/settings.rs",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the contents of the string literals in a source file. Literals in comments are skipped.
fn string_literals(source: &str) -> Vec<String> {
    let mut literals = Vec::new();
    for line in source.lines() {
        let mut literal: Option<String> = None;
        let mut characters = line.chars().peekable();
        while let Some(character) = characters.next() {
            match (&mut literal, character) {
                (None, '/') if characters.peek() == Some(&'/') => break,
                (None, '\'') if characters.peek() == Some(&'"') => {
                    characters.next();
                }
                (None, '"') => literal = Some(String::new()),
                (Some(_), '"') => literals.extend(literal.take()),
                (Some(text), '\\') => {
                    text.push(' ');
                    characters.next();
                }
                (Some(text), character) => text.push(character),
                (None, _) => {}
            }
        }
        // A literal that continues on the next line is cut at the end of this line.
        literals.extend(literal);
    }
    literals
}

fn words(literal: &str) -> impl Iterator<Item = &str> {
    literal.split(|character: char| !character.is_ascii_alphanumeric() && !"-_".contains(character))
}

#[test]
fn wire_words_occur_only_in_codecs() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    sources(&root.join("gateway/src"), &mut files);
    sources(&root.join("policy/src"), &mut files);
    assert!(files.len() > 100, "too few source files were found");
    let mut misplaced_words = Vec::new();
    for file in files {
        let name = file.strip_prefix(&root).unwrap().to_string_lossy();
        let is_test = name.contains("/tests/") || name.ends_with("tests.rs");
        if is_test || CODECS.contains(&&*name) || name.starts_with("policy/src/wire") {
            continue;
        }
        for literal in string_literals(&std::fs::read_to_string(&file).unwrap()) {
            let misplaced = words(&literal).find(|word| WIRE_WORDS.contains(word));
            misplaced_words
                .extend(misplaced.map(|word| format!("{name}: `{word}` in {literal:?}")));
        }
    }
    assert!(
        misplaced_words.is_empty(),
        "wire words outside the codecs:\n{}",
        misplaced_words.join("\n")
    );
}

#[test]
fn string_literals_are_found_and_comments_are_not() {
    let source = "let a = \"sort=1\"; // \"weigh\"\nlet quote = '\"'; f(\"x \\\" op\", \"y\");";
    assert_eq!(string_literals(source), ["sort=1", "x   op", "y"]);
}
