//! Texts survive a URI, whatever they hold.

use percent_encoding::percent_decode_str;

/// Guards against text that makes a URI invalid, or is read as another text or as another part of it.
#[test]
fn any_text_is_read_as_it_was_written() {
    let texts = (0..=0x2ff_u32).filter_map(char::from_u32).map(|char| format!("a{char}b"));
    for text in texts.chain(["%41", "a&b=c", "a/../b", "?", "🦀", "é\u{0}"].map(String::from)) {
        let uri = format!("http://h/p/{0}?q={0}&r=1", uri::encode(&text));
        let uri: http::Uri = uri.parse().unwrap();
        let segment = uri.path().strip_prefix("/p/").unwrap();
        let value = uri.query().unwrap().strip_prefix("q=").unwrap().strip_suffix("&r=1").unwrap();
        assert!(!segment.contains('/') && !value.contains(['&', '=', '+', '#']), "{text:?}");
        for part in [segment, value] {
            assert_eq!(percent_decode_str(part).decode_utf8().unwrap(), text);
        }
    }
}
