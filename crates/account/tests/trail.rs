//! The way of one request through all files.

use wagtailreel_account::Trail;

fn line(at: u32, message: &str, id: &str) -> String {
    format!(r#"{{"at":{at}.5,"process":"quito-1","message":"{message}","fields":{{"id":"{id}"}}}}"#)
}

fn trail(lines: &[String]) -> String {
    let mut trail = Trail::new("24a8");
    for line in lines {
        trail.take_line(line);
    }
    trail.to_text()
}

#[test]
fn ordered_lines() {
    let done = line(7, "request-done", "24a8");
    let attempt = line(6, "attempt-ended", "24a8");
    let other = line(6, "attempt-ended", "24a8b");
    let text = trail(&[done.clone(), other, attempt.clone(), "24a8 cut".to_owned()]);
    assert_eq!(text, format!("{attempt}\n{done}\n"));
}

#[test]
fn missing_lines() {
    assert!(trail(&[]).contains("no line names this request"));
    let text = trail(&[line(6, "attempt-ended", "24a8")]);
    assert!(text.contains("no line ends this request"), "{text}");
}
