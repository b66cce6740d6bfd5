//! Reads values from a process's metrics.

/// Sums the values of the series of `name` whose labels contain every one of `labels`, written as
/// `label="value"`; none if there is no such series.
pub fn sum_metric(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let values = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        let is_whole_name = rest.starts_with([' ', '{']);
        let has_labels = labels.iter().all(|label| rest.contains(label));
        let value = rest.rsplit(' ').next()?;
        (is_whole_name && has_labels).then(|| value.parse::<f64>().ok())?
    });
    values.reduce(|a, b| a + b)
}
