//! Lines through measurements, and what a process has used.
#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::time::{Duration, Instant};

use wagtailreel_bench::slopes::{Slope, fit_line, read_cost, to_table};

#[test]
fn exact_line() {
    let fit = fit_line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-12 && (fit.intercept - 3.0).abs() < 1e-12);
    assert!(fit.residual < 1e-12);
}

#[test]
fn scattered_points() {
    let fit = fit_line(&[(0.0, 1.0), (0.0, 3.0), (1.0, 4.0), (2.0, 6.0)]).unwrap();
    // Normal equations by hand: mean (0.75, 3.5), slope 5.5 / 2.75.
    assert!((fit.slope - 2.0).abs() < 1e-12 && (fit.intercept - 2.0).abs() < 1e-12);
    assert!((fit.residual - 0.5_f64.sqrt()).abs() < 1e-12);
}

#[test]
fn too_few_sizes() {
    let error = fit_line(&[(1.0, 5.0), (1.0, 6.0), (2.0, 7.0)]).unwrap_err();
    assert!(error.to_string().contains("there are 2"));
}

#[test]
fn own_cost() {
    let pid = std::process::id();
    let before = read_cost(pid).unwrap();
    let start = Instant::now();
    // The kernel counts in steps of 10 ms.
    while start.elapsed() < Duration::from_secs(10) {
        if read_cost(pid).unwrap().cpu > before.cpu {
            assert!(before.memory > 1 << 20);
            return;
        }
    }
    panic!("10 s of work cost nothing");
}

#[test]
fn table_lines() {
    let points = vec![(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
    let slope = Slope {
        role: "entry".to_owned(),
        what: "processor time in us".to_owned(),
        per: "request".to_owned(),
        fit: fit_line(&points).unwrap(),
        points,
    };
    let table = to_table(&[slope]);
    let last = table.lines().last().unwrap();
    assert_eq!(
        last,
        "| entry | processor time in us | request | 2.000 | 3.0 | 0.00 | 0.0% | 1, 2, 4 |"
    );
}
