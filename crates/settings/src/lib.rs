//! Settings of both programs and the check of service documents, in YAML.
